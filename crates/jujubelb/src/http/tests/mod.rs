use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::{Arc, Mutex};

use rocket::{State, routes};
use tokio::sync::Notify;

use super::Server;
use crate::model::Span;

struct BlockedRequest {
    arrived: Mutex<mpsc::Sender<()>>,
    release: Arc<Notify>,
}

#[rocket::get("/slow")]
async fn slow(blocked: &State<BlockedRequest>) -> String {
    blocked.arrived.lock().unwrap().send(()).unwrap();
    blocked.release.notified().await;
    "x".repeat(1 << 20)
}

fn start() -> (Server, mpsc::Receiver<()>, Arc<Notify>) {
    let (arrived, arrivals) = mpsc::channel();
    let release = Arc::new(Notify::new());
    let blocked = BlockedRequest {
        arrived: Mutex::new(arrived),
        release: release.clone(),
    };
    let address = "127.0.0.1:0".parse().unwrap();
    let server = Server::start("test", address, 2, |rocket| {
        rocket.manage(blocked).mount("/", routes![slow])
    });
    (server.unwrap(), arrivals, release)
}

fn request(server: &Server) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream
        .write_all(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        .unwrap();
    stream
}

/// Guards against a planned stop that aborts a request, and against one that waits for
/// connections without a request.
#[test]
fn draining_finishes_requests_and_closes_idle_connections() {
    let (server, arrivals, release) = start();
    let address = server.address();
    let _idle = TcpStream::connect(address).unwrap();
    let mut stream = request(&server);
    arrivals.recv().unwrap();
    let drained = std::thread::spawn(move || server.drain(Span::from_secs(600)));
    // The drain has started when no connection is accepted any more.
    while TcpStream::connect(address).is_ok() {
        std::thread::yield_now();
    }
    release.notify_one();
    let mut response = Vec::new();
    stream.read_to_end(&mut response).unwrap();
    assert!(response.len() > 1 << 20, "{} bytes", response.len());
    assert!(drained.join().unwrap());
}

/// Guards against a planned stop that one request blocks indefinitely.
#[test]
fn draining_ends_at_its_limit() {
    let (server, arrivals, _release) = start();
    let _stream = request(&server);
    arrivals.recv().unwrap();
    assert!(!server.drain(Span::from_millis(50)));
}

/// Guards against starting without an error when the address is in use.
#[test]
fn an_address_in_use_is_an_error_that_names_it() {
    let (server, _arrivals, _release) = start();
    let address = server.address();
    let second = Server::start("second", address, 1, |rocket| rocket);
    let text = second.unwrap_err().to_string();
    assert!(text.contains(&address.to_string()), "{text}");
    server.abort();
}
