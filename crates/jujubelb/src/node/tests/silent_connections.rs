//! Connections to the store that go silent for good, without a reset, while new ones work.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Barrier, watch};
use tokio::time::{Duration, sleep, timeout};

use super::super::main::watch_operator_keys;
use super::super::state::{Node, lock};
use super::node_with_store;

/// How long a process may take until it has followed a change. Only ends a test that hangs.
const LIMIT: Duration = Duration::from_secs(20);

/// Connections that the process holds beside those of its watches.
const SPARE_CONNECTIONS: usize = 4;

/// Key of which reads wait for each other, so that each needs a connection of its own.
const JOINT_KEY: &str = "joint";

/// A store that holds a configuration, whose version is also its revision.
struct SilentStore {
    version: watch::Sender<u64>,
    joint_reads: Barrier,
    state: Mutex<Connections>,
}

#[derive(Default)]
struct Connections {
    accepted: usize,
    /// Connections accepted before this one are silent.
    answered_from: usize,
    /// Paths of the calls that arrived on silent connections.
    unanswered: Vec<String>,
}

impl SilentStore {
    async fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let store = Arc::new(Self {
            version: watch::Sender::new(1),
            joint_reads: Barrier::new(SPARE_CONNECTIONS),
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

    /// Makes all open connections silent.
    fn silence(&self) {
        let mut state = lock(&self.state);
        state.answered_from = state.accepted;
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
            if self.is_silent(connection) {
                lock(&self.state).unanswered.push(path.to_owned());
                std::future::pending().await
            }
            let body = self.answer(path).await;
            if self.is_silent(connection) {
                std::future::pending().await
            }
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
        let item = config_item(version);
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

fn config_item(version: u64) -> String {
    use base64::Engine;
    let config = format!(r#"{{"version":{version}}}"#);
    let value = base64::prelude::BASE64_STANDARD.encode(config);
    format!(r#"{{"key":"op/config","value":"{value}","revision":{version}}}"#)
}

async fn await_version(node: &Node, version: u64) {
    let known = async {
        while node.config().is_none_or(|c| c.operator.version != version) {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(LIMIT, known).await.expect("the version is known");
}

/// Guards against a watch that tries one silent connection after the other, each until its
/// timeout, so that a change is in force seconds after its bound.
#[tokio::test]
async fn a_watch_skips_idle_connections_that_went_silent_with_its_own() {
    let (store, address) = SilentStore::start().await;
    let node = Arc::new(node_with_store(address));
    let watch = tokio::spawn(watch_operator_keys(node.clone()));
    await_version(&node, 1).await;
    let reads = (0..SPARE_CONNECTIONS).map(|_| {
        let node = node.clone();
        tokio::spawn(async move { node.kv.get(JOINT_KEY).await.unwrap() })
    });
    for read in reads.collect::<Vec<_>>() {
        read.await.unwrap();
    }
    while store.version.receiver_count() == 0 {
        sleep(Duration::from_millis(5)).await;
    }
    store.silence();
    store.version.send_replace(2);
    await_version(&node, 2).await;
    watch.abort();
    assert_eq!(lock(&store.state).unanswered, Vec::<String>::new());
}
