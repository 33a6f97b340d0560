use std::io::{ErrorKind, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use rustix::process::getpid;

use super::silence;

/// Guards against a silence that resets connections, reaches new ones, or has no effect.
#[test]
fn open_connections_go_silent_and_new_ones_work() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let open = || {
        let client = TcpStream::connect(address).unwrap();
        let timeout = Some(Duration::from_millis(300));
        client.set_read_timeout(timeout).unwrap();
        (client, listener.accept().unwrap().0)
    };
    let (mut client, mut server) = open();
    let count = silence(getpid(), address.port()..=address.port()).unwrap();
    assert_eq!(count, 2);
    server.write_all(b"1").unwrap();
    drop(server);
    let error = client.read(&mut [0]).unwrap_err();
    assert_eq!(error.kind(), ErrorKind::WouldBlock);
    let (mut client, mut server) = open();
    server.write_all(b"2").unwrap();
    assert_eq!(client.read(&mut [0]).unwrap(), 1);
}
