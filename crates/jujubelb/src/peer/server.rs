//! Answers calls of peers over TCP.
//!
//! The server opens each connection with random bytes. They are part of each
//! hash on the connection, so a call recorded on another connection is worthless.

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

/// Connections served at a time: more than the processes of a deployment at
/// target scale, and with the limit of a call bounded to 64 MiB of buffers.
const MAX_CONNECTIONS: usize = 256;

/// Largest call in bytes.
pub(crate) const MAX_CALL_BYTES: usize = 256 << 10;

/// Largest reply in bytes; a configuration at target scale has about 1 MiB.
pub(crate) const MAX_REPLY_BYTES: usize = 8 << 20;

/// Random bytes that open a connection.
pub(crate) const NONCE_BYTES: usize = 16;

/// Time after which a connection without calls is closed.
const IDLE_TIMEOUT: Span = Span::from_secs(60);

/// Time for sending a reply.
const SEND_TIMEOUT: Span = Span::from_secs(10);

/// Answers the calls of peers.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one call.
    fn handle(&self, from: NodeName, call: Call) -> impl Future<Output = Reply> + Send;
}

/// A call with the process it is meant for.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Addressed<T> {
    pub(crate) to: NodeName,
    pub(crate) body: T,
}

/// What the hash of a call or reply depends on besides the message.
pub(crate) fn hash_context(kind: &[u8], nonce: &[u8; NONCE_BYTES], counter: u64) -> Vec<u8> {
    [kind, nonce.as_slice(), &counter.to_le_bytes()].concat()
}

/// Kind of a call's context.
pub(crate) const CALL: &[u8] = b"call";
/// Kind of a reply's context.
pub(crate) const REPLY: &[u8] = b"reply";

/// Accepts connections until the process stops.
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
                log::warn!(error:% = error; "a peer's connection could not be accepted");
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
                log::debug!(reason:% = reason; "a call of a peer was dropped");
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

/// Checks a call. Its counter has to grow on the connection.
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
    let text = "the answer is larger than a reply may be; ask for less".to_owned();
    encode(Reply::Code(Code::TooLarge, text))
}
