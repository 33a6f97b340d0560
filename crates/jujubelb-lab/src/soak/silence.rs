//! Silence of the open connections of a process, without a proxy.
//!
//! A host announces the address that it listens on, so that no proxy can stand between hosts. A
//! socket filter that drops each segment has the effect of a path that is gone: neither data nor a
//! reset arrives, and connections that are opened later work.

use std::io;
use std::ops::RangeInclusive;

use rustix::process::{Pid, PidfdFlags, PidfdGetfdFlags, pidfd_getfd, pidfd_open};
use socket2::{SockFilter, Socket};

/// `BPF_RET | BPF_K` with the value 0: each segment is dropped.
const DROP_ALL: SockFilter = SockFilter::new(0x06, 0, 0, 0);

/// Makes the open connections of a process silent that use one of these ports at either end.
/// Returns how many. The process must be a child of this one, or this one.
pub(crate) fn silence(pid: Pid, ports: RangeInclusive<u16>) -> io::Result<usize> {
    let process = pidfd_open(pid, PidfdFlags::empty())?;
    let mut silenced = 0;
    for entry in std::fs::read_dir(format!("/proc/{}/fd", pid.as_raw_nonzero()))? {
        let entry = entry?;
        // Files may be closed meanwhile.
        let is_socket = std::fs::read_link(entry.path())
            .is_ok_and(|target| target.to_string_lossy().starts_with("socket:"));
        let number = entry.file_name().to_string_lossy().parse::<i32>();
        let (true, Ok(number)) = (is_socket, number) else {
            continue;
        };
        let Ok(file) = pidfd_getfd(&process, number, PidfdGetfdFlags::empty()) else {
            continue;
        };
        let socket = Socket::from(file);
        // A listening socket has no peer.
        let (Ok(local), Ok(peer)) = (socket.local_addr(), socket.peer_addr()) else {
            continue;
        };
        let port = |address: socket2::SockAddr| address.as_socket().map(|a| a.port());
        let uses = |port: Option<u16>| port.is_some_and(|p| ports.contains(&p));
        if uses(port(local)) || uses(port(peer)) {
            socket.attach_filter(&[DROP_ALL])?;
            silenced += 1;
        }
    }
    Ok(silenced)
}

#[cfg(test)]
mod tests;
