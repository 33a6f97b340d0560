//! HTTP server for tests that sends fixed responses, one per connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};

/// Starts a server that sends the n-th response on the n-th connection and closes it.
pub(crate) fn serve(responses: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for response in responses {
            let (mut stream, _) = listener.accept().unwrap();
            let mut request = Vec::new();
            let mut chunk = [0; 4_096];
            while !is_complete(&request) {
                let length = stream.read(&mut chunk).unwrap();
                if length == 0 {
                    break;
                }
                request.extend_from_slice(&chunk[..length]);
            }
            let _ = stream.write_all(&response);
        }
    });
    address
}

/// A response with a status and a JSON body.
pub(crate) fn json(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} Text\r\nContent-Type: application/json\r\n\
         Content-Length: {length}\r\nConnection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

/// An address on which nothing listens.
pub(crate) fn unused_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |value| value.parse().unwrap());
    body.len() >= length
}
