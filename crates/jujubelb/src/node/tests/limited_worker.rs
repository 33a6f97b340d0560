//! A worker that accepts a limited number of connections, of which open ones can go silent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, sleep};

use super::super::state::lock;

/// Time that the worker takes to answer a call.
const ANSWER_TIME: Duration = Duration::from_millis(5);

/// Time until the worker has noticed that a connection was closed.
const NOTICE_TIME: Duration = Duration::from_millis(1);

/// A worker that closes connections beyond its limit at once, and that notices when a client has
/// closed one. It never closes a silent connection by itself.
pub(super) struct LimitedWorker {
    limit: usize,
    /// Whether a silent connection keeps its place although its client has closed it.
    keeps_silent: bool,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// Number of connections so far, without those that were refused.
    accepted: usize,
    open: usize,
    most_open: usize,
    refused: usize,
    /// Paths of all calls that have arrived.
    received: Vec<String>,
    /// Connections before this one are silent.
    answered_from: usize,
}

impl LimitedWorker {
    pub(super) async fn start(limit: usize) -> (Arc<Self>, SocketAddr) {
        Self::start_with(limit, false).await
    }

    /// Starts a worker that never learns that a silent connection was closed.
    pub(super) async fn start_unaware(limit: usize) -> (Arc<Self>, SocketAddr) {
        Self::start_with(limit, true).await
    }

    async fn start_with(limit: usize, keeps_silent: bool) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let worker = Arc::new(Self {
            limit,
            keeps_silent,
            state: Mutex::default(),
        });
        let accepting = worker.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // Connections that were closed before are noticed first.
                sleep(NOTICE_TIME).await;
                let Some(connection) = accepting.admit() else {
                    continue;
                };
                let worker = accepting.clone();
                tokio::spawn(async move {
                    worker.serve_connection(stream, connection).await;
                    worker.closed(connection);
                });
            }
        });
        (worker, address)
    }

    fn admit(&self) -> Option<usize> {
        let mut state = lock(&self.state);
        if state.open >= self.limit {
            state.refused += 1;
            return None;
        }
        state.open += 1;
        state.most_open = state.most_open.max(state.open);
        state.accepted += 1;
        Some(state.accepted - 1)
    }

    fn closed(&self, connection: usize) {
        let mut state = lock(&self.state);
        let is_silent = connection < state.answered_from;
        if !(is_silent && self.keeps_silent) {
            state.open -= 1;
        }
    }

    /// Makes all open connections silent; new ones are answered.
    pub(super) fn silence(&self) {
        let mut state = lock(&self.state);
        state.answered_from = state.accepted;
    }

    pub(super) fn open(&self) -> usize {
        lock(&self.state).open
    }

    /// Largest number of connections that were open at the same time.
    pub(super) fn most_open(&self) -> usize {
        lock(&self.state).most_open
    }

    /// Number of connections that were closed because of the limit.
    pub(super) fn refused(&self) -> usize {
        lock(&self.state).refused
    }

    /// Number of calls to a path that have arrived.
    pub(super) fn received(&self, path: &str) -> usize {
        let received = &lock(&self.state).received;
        received.iter().filter(|p| *p == path).count()
    }

    async fn serve_connection(&self, mut stream: TcpStream, connection: usize) {
        let mut request = Vec::new();
        let mut bytes = [0; 4096];
        loop {
            match stream.read(&mut bytes).await {
                Ok(0) | Err(_) => return,
                Ok(count) => request.extend_from_slice(&bytes[..count]),
            }
            let Some(path) = complete_request(&request) else {
                continue;
            };
            lock(&self.state).received.push(path);
            request.clear();
            sleep(ANSWER_TIME).await;
            if connection < lock(&self.state).answered_from {
                continue;
            }
            let body = r#"{"clock_ms":1,"running":[],"finished":[]}"#;
            let length = body.len();
            let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            if stream.write_all(reply.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// Path of a request; `None` while a part of it is missing.
fn complete_request(bytes: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let length = lines.find_map(|l| l.strip_prefix("content-length: "));
    let length = length.map_or(0, |l| l.parse().unwrap());
    let path = head.split(' ').nth(1)?.to_owned();
    (body.len() >= length).then_some(path)
}
