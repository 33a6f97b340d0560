//! A store whose answers a test scripts, and a leader's term that begins with what it holds.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, timeout};

use super::super::election::ElectionWin;
use super::super::leader::{ActiveTerm, load_term};
use super::super::state::Node;
use crate::dispatch::{EarlierLeaders, LeaderTerm, Succession, Term, VoterRecord};
use crate::model::Time;
use crate::platform::{LeaseId, Revision};

/// How long the beginning of a term may take. Only ends a test that hangs.
const LIMIT: Duration = Duration::from_secs(4);

/// What the store answers to a call with this path and query; `None` holds the call open.
type Answer = fn(&str) -> Option<String>;

/// Value of a parameter in the query of a call.
pub(super) fn query_value(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
    let (_, value) = pairs.find(|(n, _)| *n == name)?;
    Some(value.replace("%2F", "/"))
}

pub(super) fn page(items: &[String], has_more: bool) -> String {
    let items = items.join(",");
    format!(r#"{{"items":[{items}],"has_more":{has_more},"store_revision":9}}"#)
}

pub(super) fn changes(events: &[String], revision: u64) -> String {
    let events = events.join(",");
    format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#)
}

async fn serve_connection(mut stream: TcpStream, answer: Answer) {
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
        let Some(body) = answer(path) else {
            std::future::pending().await
        };
        let length = body.len();
        let reply = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
        request.clear();
    }
}

/// Serves a store that answers each call by its path and query.
pub(super) async fn serve_store(answer: Answer) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve_connection(stream, answer));
        }
    });
    address
}

/// A leader's term, as it begins with what the store holds.
pub(super) async fn begin_term(node: &Node) -> ActiveTerm {
    let win = ElectionWin {
        term: Term {
            token: 10,
            number: 1,
        },
        lease: LeaseId(1),
        nonce: 1,
        chain_revision: Revision(1),
        lease_requested: node.now(),
        earlier: EarlierLeaders::new(&Succession::empty(1), node.now()),
        voters: VoterRecord::default(),
        leader: LeaderTerm {
            nonce: 1,
            address: node.settings.peer_address,
        },
        after_handover: false,
        workers: 0,
    };
    let renewed = Arc::new(Mutex::new(Time::ZERO));
    let loading = timeout(LIMIT, load_term(node, &win, renewed));
    let loaded = loading.await.expect("the state is loaded in time");
    loaded.expect("a term")
}
