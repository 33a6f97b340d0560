//! A store with the operator's configuration, whose connections can go silent.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Barrier, watch};
use tokio::time::{Duration, timeout};

use super::super::state::lock;

/// Number of reads of [`JOINT_KEY`] that wait for each other.
pub(super) const JOINT_READS: usize = 4;

/// Key of which reads wait for each other, so that each needs a connection of its own.
pub(super) const JOINT_KEY: &str = "joint";

/// Host name of the queues.
pub(super) const HOST: &str = "q.example";

/// A store that holds a configuration, whose version is also its revision. Version `n` has the
/// queues `/q1/` to `/qn/`.
pub(super) struct ConfigStore {
    /// Further fields of a version, each after a comma.
    fields: fn(u64) -> String,
    pub(super) version: watch::Sender<u64>,
    joint_reads: Barrier,
    state: Mutex<Calls>,
}

#[derive(Default)]
struct Calls {
    /// Number of connections so far.
    accepted: usize,
    /// Connections before this one are silent.
    answered_from: usize,
    answered: Vec<String>,
    /// Calls that arrived on silent connections.
    unanswered: Vec<String>,
    is_without_watches: bool,
}

impl ConfigStore {
    pub(super) async fn start() -> (Arc<Self>, SocketAddr) {
        Self::start_with(|_| String::new()).await
    }

    /// Starts a store whose versions have further fields, each after a comma.
    pub(super) async fn start_with(fields: fn(u64) -> String) -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Self {
            fields,
            version: watch::Sender::new(1),
            joint_reads: Barrier::new(JOINT_READS),
            state: Mutex::default(),
        });
        let accepting = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(accepting.clone().serve_connection(stream));
            }
        });
        (store, address)
    }

    /// Makes all open connections silent; new ones are answered.
    pub(super) fn silence(&self) {
        let mut state = lock(&self.state);
        state.answered_from = state.accepted;
    }

    /// Makes all connections silent, also those to come.
    pub(super) fn silence_for_good(&self) {
        lock(&self.state).answered_from = usize::MAX;
    }

    /// Leaves watches without an answer, as in a gap of the history.
    pub(super) fn leave_watches_unanswered(&self) {
        lock(&self.state).is_without_watches = true;
    }

    /// Number of connections so far.
    pub(super) fn connections(&self) -> usize {
        lock(&self.state).accepted
    }

    /// Whether a watch waits for a change.
    pub(super) fn is_watched(&self) -> bool {
        self.version.receiver_count() > 0
    }

    /// Calls to a path that were answered.
    pub(super) fn answered(&self, path: &str) -> usize {
        let calls = &lock(&self.state).answered;
        calls.iter().filter(|c| c.starts_with(path)).count()
    }

    /// Calls that arrived on silent connections.
    pub(super) fn unanswered(&self) -> Vec<String> {
        lock(&self.state).unanswered.clone()
    }

    fn is_silent(&self, connection: usize) -> bool {
        connection < lock(&self.state).answered_from
    }

    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        let connection = {
            let mut state = lock(&self.state);
            state.accepted += 1;
            state.accepted - 1
        };
        let mut request = Vec::new();
        loop {
            while !request.ends_with(b"\r\n\r\n") {
                match stream.read_u8().await {
                    Ok(byte) => request.push(byte),
                    Err(_) => return,
                }
            }
            let head = String::from_utf8_lossy(&request).into_owned();
            let path = head.split(' ').nth(1).unwrap_or_default();
            if self.is_silent(connection) || path == "/hang" {
                lock(&self.state).unanswered.push(path.to_owned());
                std::future::pending().await
            }
            let body = self.answer(path).await;
            let is_watch = path.starts_with("/kv-watch");
            if self.is_silent(connection) || is_watch && lock(&self.state).is_without_watches {
                std::future::pending().await
            }
            lock(&self.state).answered.push(path.to_owned());
            let length = body.len();
            let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            if stream.write_all(reply.as_bytes()).await.is_err() {
                return;
            }
            request.clear();
        }
    }

    async fn answer(&self, path: &str) -> String {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            let (_, value) = pairs.find(|(n, _)| *n == name)?;
            value.parse::<u64>().ok()
        };
        if query == format!("key={JOINT_KEY}") {
            self.joint_reads.wait().await;
        }
        if call == "/kv-watch" {
            let wait = Duration::from_millis(number("wait_ms").unwrap());
            let after = number("after").unwrap();
            let mut version = self.version.subscribe();
            // An answer without events is as good as one with them.
            let _ = timeout(wait, version.wait_for(|v| *v > after)).await;
        }
        let version = *self.version.borrow();
        let item = config_item(version, &(self.fields)(version));
        match call {
            "/kv-watch" if number("after") < Some(version) => {
                format!(r#"{{"events":[{item}],"store_revision":{version}}}"#)
            }
            "/kv-watch" => format!(r#"{{"events":[],"store_revision":{version}}}"#),
            "/kv-range" => {
                format!(r#"{{"items":[{item}],"has_more":false,"store_revision":{version}}}"#)
            }
            _ => item.replacen('{', &format!(r#"{{"store_revision":{version},"#), 1),
        }
    }
}

fn config_item(version: u64, fields: &str) -> String {
    use base64::Engine;
    let route = |n| format!(r#"{{"host":"{HOST}","prefix":"/q{n}/","service":"s"}}"#);
    let routes: Vec<String> = (1..=version).map(route).collect();
    let config = format!(
        r#"{{"version":{version},"routes":[{}]{fields}}}"#,
        routes.join(",")
    );
    let value = base64::prelude::BASE64_STANDARD.encode(config);
    format!(r#"{{"key":"op/config","value":"{value}","revision":{version}}}"#)
}
