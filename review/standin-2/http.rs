//! Plain HTTP/1.1: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn query(&self, key: &str) -> &str {
        let row = self.query.iter().find(|(k, _)| k == key);
        row.map_or("", |(_, v)| v)
    }

    pub fn header(&self, name: &str) -> &str {
        let row = self.headers.iter().find(|(k, _)| k == name);
        row.map_or("", |(_, v)| v)
    }
}

/// What a server does with a request.
pub enum Reply {
    Answer(u16, String),
    /// Closes the connection without an answer.
    Close,
    /// Leaves the connection open for a while and never answers.
    Silent,
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        if bytes[i] == b'%' && i + 2 < bytes.len() {
            if let Ok(b) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(b);
                i += 3;
                continue;
            }
        }
        out.push(if bytes[i] == b'+' { b' ' } else { bytes[i] });
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some((first.trim_end().to_owned(), headers));
        }
        if let Some((k, v)) = line.split_once(':') {
            headers.push((k.to_ascii_lowercase(), v.trim().to_owned()));
        }
    }
}

fn length(headers: &[(String, String)]) -> usize {
    let row = headers.iter().find(|(k, _)| k == "content-length");
    row.and_then(|(_, v)| v.parse().ok()).unwrap_or(0)
}

fn read_request(reader: &mut impl BufRead) -> Option<Request> {
    let (first, headers) = read_head(reader)?;
    let mut words = first.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let query = query.split('&').filter_map(|p| p.split_once('='));
    let query = query.map(|(k, v)| (decode(k), decode(v))).collect();
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body).ok()?;
    let path = path.to_owned();
    Some(Request {
        method,
        path,
        query,
        headers,
        body,
    })
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Reply) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        match handle(&request) {
            Reply::Answer(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    reason(status),
                    body.len()
                );
                writer.write_all((head + &body).as_bytes()).ok()?;
            }
            Reply::Close => return None,
            Reply::Silent => {
                // The peer gives up and closes; nothing more is read or answered.
                thread::sleep(Duration::from_secs(30));
                return None;
            }
        }
    }
}

/// Serves an address until the process ends. No more than `most` connections are open at a time;
/// further ones are closed at once. With EXCESS=wait in the environment they are not accepted
/// before one of the others closes.
pub fn serve(
    address: SocketAddr,
    most: usize,
    handle: impl Fn(&Request) -> Reply + Send + Sync + Clone + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let open = Arc::new(AtomicUsize::new(0));
    let waits = std::env::var("EXCESS").is_ok_and(|e| e == "wait");
    thread::spawn(move || {
        loop {
            while waits && open.load(SeqCst) >= most {
                thread::sleep(Duration::from_millis(1));
            }
            let Ok((stream, _)) = listener.accept() else {
                continue;
            };
            if open.load(SeqCst) >= most {
                continue;
            }
            open.fetch_add(1, SeqCst);
            let (handle, open) = (handle.clone(), open.clone());
            let serve = move || {
                serve_connection(stream, &handle);
                open.fetch_sub(1, SeqCst);
            };
            let _ = thread::Builder::new().stack_size(256 << 10).spawn(serve);
        }
    });
    Ok(())
}

/// Makes one call on a connection of its own. `None` without a complete answer.
pub fn call(
    peer: SocketAddr,
    method: &str,
    path: &str,
    host: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, Vec<u8>)> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&peer, timeout).ok()?;
    stream.set_nodelay(true).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let left = until.saturating_duration_since(Instant::now());
    stream
        .set_read_timeout(Some(left.max(Duration::from_millis(1))))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = read_head(&mut reader)?;
    let status = first.split(' ').nth(1)?.parse().ok()?;
    let mut body = vec![0; length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, body))
}
