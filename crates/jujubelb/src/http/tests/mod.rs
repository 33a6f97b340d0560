use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};

use rocket::{State, routes};
use tokio::sync::Notify;

use super::Server;
use crate::model::Span;

struct Gate {
    arrived: Mutex<mpsc::Sender<()>>,
    open: Arc<Notify>,
}

#[rocket::get("/slow")]
async fn slow(gate: &State<Gate>) -> String {
    gate.arrived.lock().unwrap().send(()).unwrap();
    gate.open.notified().await;
    "x".repeat(1 << 20)
}

fn start() -> (Server, mpsc::Receiver<()>, Arc<Notify>) {
    let (arrived, coming) = mpsc::channel();
    let open = Arc::new(Notify::new());
    let gate = Gate {
        arrived: Mutex::new(arrived),
        open: open.clone(),
    };
    let address = "127.0.0.1:0".parse().unwrap();
    let server = Server::start("test", address, 2, |rocket| {
        rocket.manage(gate).mount("/", routes![slow])
    });
    (server.unwrap(), coming, open)
}

fn request(server: &Server) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream
        .write_all(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    stream
}

/// Guards against a planned stop that cuts off a request, and against one that
/// waits for connections without a request.
#[test]
fn draining_finishes_requests_and_closes_idle_connections() {
    let (server, coming, open) = start();
    let address = server.address();
    let _idle = TcpStream::connect(address).unwrap();
    let mut stream = request(&server);
    coming.recv().unwrap();
    let drained = std::thread::spawn(move || server.drain(Span::from_secs(600)));
    // The drain has begun when no connection is accepted any more.
    while TcpStream::connect(address).is_ok() {
        std::thread::yield_now();
    }
    open.notify_one();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    assert!(answer.len() > 1 << 20, "{} bytes", answer.len());
    assert!(drained.join().unwrap());
}

/// Guards against a stop that never ends because of one request.
#[test]
fn draining_ends_at_its_limit() {
    let (server, coming, _open) = start();
    let _stream = request(&server);
    coming.recv().unwrap();
    assert!(!server.drain(Span::from_millis(50)));
}

/// Guards against an address in use that is noticed only by callers.
#[test]
fn an_address_in_use_is_an_error_that_names_it() {
    let (server, _coming, _open) = start();
    let address = server.address();
    let second = Server::start("second", address, 1, |rocket| rocket);
    let text = second.unwrap_err().to_string();
    assert!(text.contains(&address.to_string()), "{text}");
    server.abort();
}
