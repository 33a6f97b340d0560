use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};

use super::*;
use crate::model::Code;
use crate::telemetry::{Clock, Queues, queue};

/// Counts the calls that reach the handler.
struct CountingHandler(Arc<AtomicUsize>);

impl Handler for CountingHandler {
    async fn handle(&self, _: NodeName, _: Call) -> Reply {
        self.0.fetch_add(1, SeqCst);
        Reply::Code(Code::Done, String::new())
    }
}

struct Process {
    peers: Peers,
    calls: Arc<AtomicUsize>,
    key: PathBuf,
    _thread: PeerThread,
    _dir: tempfile::TempDir,
}

fn start(node: &str, key: u8, seeds: &[(&str, SocketAddr)]) -> Process {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("key");
    std::fs::write(&file, format!("{key:040}\n")).unwrap();
    let identity = Identity {
        node: node.into(),
        incarnation: Incarnation(1),
        role: Role::Entry,
        domain: "d".into(),
        address: "127.0.0.1:0".parse().unwrap(),
        keys: vec![file.clone()],
        seeds: seeds.iter().map(|(n, a)| ((*n).into(), *a)).collect(),
    };
    let calls = Arc::new(AtomicUsize::new(0));
    let (events, _) = queue(&Queues::default(), "peers", 16);
    let (peers, thread) = Peers::start(
        identity,
        Clock::start(),
        CountingHandler(calls.clone()),
        events,
    )
    .unwrap();
    Process {
        peers,
        calls,
        key: file,
        _thread: thread,
        _dir: dir,
    }
}

fn call(from: &Process, to: &str) -> Result<Reply, CallError> {
    let call = Call::Config(Revision(0));
    from.peers
        .call_blocking(&to.into(), call, Span::from_secs(20))
}

/// Guards against executing calls with a wrong key or calls for another process.
#[test]
fn only_calls_with_valid_key_and_receiver_are_handled() {
    let b = start("b", 1, &[]);
    let address = b.peers.address();
    let a = start("a", 1, &[("b", address), ("c", address)]);
    for _ in 0..3 {
        assert!(call(&a, "b").is_ok());
    }
    assert_eq!(b.calls.load(SeqCst), 3);
    assert!(matches!(call(&a, "c"), Err(CallError::Unknown(_))));
    assert!(matches!(call(&a, "nobody"), Err(CallError::Unavailable(_))));
    let unauthorized = start("a", 2, &[("b", address)]);
    assert!(matches!(
        call(&unauthorized, "b"),
        Err(CallError::Unknown(_))
    ));
    assert_eq!(b.calls.load(SeqCst), 3);
    let counters = b.peers.counters();
    // The call on a pooled connection was retried once on a new one.
    assert_eq!(counters.dropped(DropReason::Misdirected), 2);
    // Includes heartbeats with the wrong key, hence no exact number.
    assert!(counters.dropped(DropReason::Unauthenticated) >= 1);
    std::fs::write(&b.key, "x").unwrap();
    assert!(
        call(&a, "b").is_ok(),
        "an unreadable key file replaced the key"
    );
}

/// Guards against a stated length that makes the receiver allocate memory or wait for data.
#[test]
fn oversized_and_malformed_frames_close_the_connection() {
    let b = start("b", 1, &[]);
    let cases: [(&[u8], DropReason); 2] = [
        (&[0xff; 4], DropReason::Oversized),
        (&[0, 0, 0, 3, 1, 2, 3], DropReason::Malformed),
    ];
    for (bytes, reason) in cases {
        let mut stream = TcpStream::connect(b.peers.address()).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert_eq!(answer.len(), 16, "only the nonce");
        assert_eq!(b.peers.counters().dropped(reason), 1);
    }
    assert_eq!(b.calls.load(SeqCst), 0);
}

/// Guards against a call reported as sent although nothing listens, and against a sent call
/// reported as not sent.
#[test]
fn failures_tell_whether_the_call_was_sent() {
    let unused_address = crate::http::test_server::unused_address();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let silent_address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.write_all(&[0; 16]).unwrap();
        let _ = stream.read(&mut [0; 64]);
    });
    let a = start("a", 1, &[("x", unused_address), ("m", silent_address)]);
    let code = |to| call(&a, to).unwrap_err().code();
    assert_eq!(code("x"), Code::PeerUnavailable);
    assert_eq!(code("m"), Code::PeerUnknown);
}
