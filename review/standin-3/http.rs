//! HTTP/1.1 server and client over blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        self.query.iter().find(|(n, _)| n == name).map_or("", |(_, v)| v)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

pub enum Answer {
    Reply(u16, String),
    /// The connection stays open without a response.
    Silent,
    /// The connection is closed without a response.
    Close,
}

pub type Handler = Arc<dyn Fn(Request) -> Answer + Send + Sync>;

pub fn serve(address: SocketAddr, handler: Handler) {
    let listener = TcpListener::bind(address).unwrap_or_else(|e| {
        eprintln!("can't listen on {address}: {e}");
        std::process::exit(2);
    });
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            let _ = thread::Builder::new()
                .stack_size(256 << 10)
                .spawn(move || connection(stream, handler));
        }
    });
}

fn connection(mut stream: TcpStream, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        match handler(request) {
            Answer::Reply(status, body) => {
                let text = format!(
                    "HTTP/1.1 {status} -\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
            }
            Answer::Silent => {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(60)));
                let mut bytes = [0; 1024];
                while matches!(stream.read(&mut bytes), Ok(1..)) {}
                return;
            }
            Answer::Close => return,
        }
    }
}

fn decode(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        match b[i] {
            b'%' if i + 2 < b.len() => {
                let hex = std::str::from_utf8(&b[i + 1..i + 3]).unwrap_or("20");
                out.push(u8::from_str_radix(hex, 16).unwrap_or(b' '));
                i += 2;
            }
            b'+' => out.push(b' '),
            c => out.push(c),
        }
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let (head, body) = read_message(stream, buffer)?;
    let mut lines = head.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter(|p| !p.is_empty()).map(|p| {
        let (name, value) = p.split_once('=').unwrap_or((p, ""));
        (decode(name), decode(value))
    });
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.collect(),
        headers: headers(lines),
        body,
    })
}

fn headers<'a>(lines: impl Iterator<Item = &'a str>) -> Vec<(String, String)> {
    lines
        .filter_map(|l| l.split_once(':'))
        .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
        .collect()
}

fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<(String, String)> {
    let mut bytes = [0; 16 << 10];
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break at;
        }
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(k) => buffer.extend_from_slice(&bytes[..k]),
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end + 4);
    let found = headers(head.split("\r\n"));
    let length = found.iter().find(|(n, _)| n == "content-length");
    let length: usize = length.and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        match stream.read(&mut bytes) {
            Ok(0) | Err(_) => return None,
            Ok(k) => buffer.extend_from_slice(&bytes[..k]),
        }
    }
    let body = String::from_utf8_lossy(&buffer[..length]).into_owned();
    buffer.drain(..length);
    Some((head, body))
}

/// Sends one request on a connection of its own. `None` if there is no answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        timeout.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let (head, body) = read_message(&mut stream, &mut Vec::new())?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some((status, body))
}
