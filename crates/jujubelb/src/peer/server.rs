//! Server for calls of peers over TCP.
//!
//! The server starts each connection with a random nonce, which enters each hash on the
//! connection. A call recorded on one connection is therefore rejected on any other.

use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;

use serde::{Deserialize, Serialize};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::timeout;

use super::frame::{self, FrameError};
use super::seal::{self, Header};
use super::{Call, DropReason, Reply, SharedState};
use crate::model::{Code, NodeName, Span};

/// Connections served at a time: more than a deployment of the target scale has processes.
/// Together with [`MAX_CALL_BYTES`] this bounds the buffers to 64 MiB.
const MAX_CONNECTIONS: usize = 256;

/// Largest frame of a call.
pub(crate) const MAX_CALL_BYTES: usize = 256 << 10;

/// Largest frame of a reply. A configuration of the target scale takes about 1 MiB.
pub(crate) const MAX_REPLY_BYTES: usize = 8 << 20;

/// Length of the random nonce that the server sends first on a connection.
pub(crate) const NONCE_BYTES: usize = 16;

/// Time without a complete call after which a connection is closed.
const IDLE_TIMEOUT: Span = Span::from_secs(60);

/// Time limit for sending a reply.
const SEND_TIMEOUT: Span = Span::from_secs(10);

/// Handler for calls of peers.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one call of the authenticated process `from`.
    fn handle(&self, from: NodeName, call: Call) -> impl Future<Output = Reply> + Send;
}

/// A call or reply with the name of its receiver, which keeps a message for one process
/// from being accepted by another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Addressed<T> {
    pub(crate) to: NodeName,
    pub(crate) body: T,
}

/// Returns the hash context of a call or reply. `counter` is 0 for a call and the call's
/// counter for a reply, so that a reply is valid for one call only.
pub(crate) fn hash_context(kind: &[u8], nonce: &[u8; NONCE_BYTES], counter: u64) -> Vec<u8> {
    [kind, nonce.as_slice(), &counter.to_le_bytes()].concat()
}

/// `kind` in the hash context of calls.
pub(crate) const CALL: &[u8] = b"call";
/// `kind` in the hash context of replies.
pub(crate) const REPLY: &[u8] = b"reply";

/// Accepts and serves connections until `stop` becomes true.
pub(super) async fn serve<H: Handler>(
    listener: TcpListener,
    shared: Arc<SharedState>,
    handler: Arc<H>,
    mut stop: watch::Receiver<bool>,
) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(error:% = error; "could not accept a connection of a peer");
                tokio::time::sleep(Span::from_millis(100).to_std()).await;
                continue;
            }
        };
        let Ok(slot) = slots.clone().try_acquire_owned() else {
            shared.counters.count_dropped(DropReason::Crowded);
            continue;
        };
        let (shared, handler, mut stop) = (shared.clone(), handler.clone(), stop.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = serve_connection(stream, &shared, &*handler) => {}
                _ = stop.wait_for(|stop| *stop) => {}
            }
            drop(slot);
        });
    }
}

async fn serve_connection<H: Handler>(mut stream: TcpStream, shared: &SharedState, handler: &H) {
    let _ = stream.set_nodelay(true);
    let nonce: [u8; NONCE_BYTES] = rand::random();
    if stream.write_all(&nonce).await.is_err() {
        return;
    }
    let mut last_counter = 0;
    loop {
        let frame = match timeout(
            IDLE_TIMEOUT.to_std(),
            frame::read(&mut stream, MAX_CALL_BYTES),
        )
        .await
        {
            Ok(Ok(frame)) => frame,
            Ok(Err(FrameError::Oversized)) => {
                return shared.counters.count_dropped(DropReason::Oversized);
            }
            Ok(Err(FrameError::Closed | FrameError::Broken(_))) | Err(_) => return,
        };
        let (header, call) = match check_call(shared, &nonce, last_counter, &frame) {
            Ok(accepted) => accepted,
            Err(reason) => {
                log::debug!(reason:% = reason; "dropped a call of a peer and closed its connection");
                return shared.counters.count_dropped(reason);
            }
        };
        last_counter = header.counter;
        let reply = handler.handle(header.node.clone(), call).await;
        shared.counters.calls_answered.fetch_add(1, Relaxed);
        let Some(reply) = seal_reply(shared, &nonce, &header, reply) else {
            return;
        };
        match timeout(SEND_TIMEOUT.to_std(), frame::write(&mut stream, &reply)).await {
            Ok(Ok(())) => {}
            _ => return,
        }
    }
}

/// Authenticates and decodes a call. Counters have to increase on a connection.
pub(crate) fn check_call(
    shared: &SharedState,
    nonce: &[u8; NONCE_BYTES],
    last_counter: u64,
    frame: &[u8],
) -> Result<(Header, Call), DropReason> {
    let (header, body) = seal::open(&shared.keys(), &hash_context(CALL, nonce, 0), frame)?;
    if header.counter <= last_counter {
        return Err(DropReason::Replayed);
    }
    let addressed: Addressed<Call> =
        postcard::from_bytes(body).map_err(|_| DropReason::Malformed)?;
    if addressed.to != shared.node {
        return Err(DropReason::Misdirected);
    }
    Ok((header, addressed.body))
}

fn seal_reply(
    shared: &SharedState,
    nonce: &[u8; NONCE_BYTES],
    call: &Header,
    reply: Reply,
) -> Option<Vec<u8>> {
    let encode = |reply: Reply| {
        let to = call.node.clone();
        let body = postcard::to_allocvec(&Addressed { to, body: reply }).ok()?;
        let hash_context = hash_context(REPLY, nonce, call.counter);
        seal::seal(&shared.keys(), &hash_context, &shared.header(), &body).ok()
    };
    let sealed = encode(reply)?;
    if sealed.len() <= MAX_REPLY_BYTES {
        return Some(sealed);
    }
    let text = "the reply exceeds the size limit; narrow the query".to_owned();
    encode(Reply::Code(Code::TooLarge, text))
}
