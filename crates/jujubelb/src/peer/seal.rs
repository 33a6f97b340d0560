//! Authentication of messages: a keyed hash over header and body, with the
//! sender's incarnation and a counter against replay.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::key::KeyRing;
use crate::model::{Incarnation, NodeName};

/// Bytes of the keyed hash before each message.
const HASH_BYTES: usize = 32;

/// Datagrams that may overtake each other, as bits of the window.
const REPLAY_WINDOW_BITS: u64 = u64::BITS as u64;

/// Former incarnations remembered for each sender. A message of one of them is a replay.
const MAX_RETIRED_INCARNATIONS: usize = 16;

/// Senders remembered. All of them hold a key, so the bound guards only against misconfiguration.
const MAX_SENDERS: usize = 4_096;

/// Identity of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// The sender.
    pub(crate) node: NodeName,
    /// The sender's incarnation.
    pub(crate) incarnation: Incarnation,
    /// Counted by the sender in this incarnation.
    pub(crate) counter: u64,
}

/// Why a message was dropped. Dropping changes no state but a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum DropReason {
    /// Larger than the limit of its kind.
    Oversized,
    /// No valid encoding.
    Malformed,
    /// No valid key made its hash.
    Unauthenticated,
    /// Seen before, or too old to tell.
    Replayed,
    /// Sent to another process, or in this process's own name.
    Misdirected,
    /// All connections are in use.
    Crowded,
}

impl DropReason {
    /// All reasons.
    pub const ALL: [Self; 6] = [
        Self::Oversized,
        Self::Malformed,
        Self::Unauthenticated,
        Self::Replayed,
        Self::Misdirected,
        Self::Crowded,
    ];
}

/// Encodes and authenticates a message. The context binds it to its use.
pub(crate) fn seal(
    keys: &KeyRing,
    context: &[u8],
    header: &Header,
    body: &[u8],
) -> Result<Vec<u8>, postcard::Error> {
    let header = postcard::to_allocvec(header)?;
    let mut message = vec![0; HASH_BYTES];
    message.extend_from_slice(&header);
    message.extend_from_slice(body);
    let hash = keys.active().hash(context, &message[HASH_BYTES..]);
    message[..HASH_BYTES].copy_from_slice(hash.as_bytes());
    Ok(message)
}

/// Checks a message and gives its header and body.
pub(crate) fn open<'a>(
    keys: &KeyRing,
    context: &[u8],
    message: &'a [u8],
) -> Result<(Header, &'a [u8]), DropReason> {
    let (hash, rest) = message
        .split_first_chunk::<HASH_BYTES>()
        .ok_or(DropReason::Malformed)?;
    // The comparison takes the same time for each wrong hash.
    let valid = keys
        .all()
        .iter()
        .any(|key| key.hash(context, rest) == *hash);
    if !valid {
        return Err(DropReason::Unauthenticated);
    }
    postcard::take_from_bytes(rest).map_err(|_| DropReason::Malformed)
}

/// What was received from one sender.
#[derive(Debug, Clone)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` stands for the counter `highest - n`.
    seen: u64,
    retired: Vec<Incarnation>,
}

impl Sender {
    fn new(header: &Header) -> Self {
        Self {
            incarnation: header.incarnation,
            highest: header.counter,
            seen: 1,
            retired: Vec::new(),
        }
    }

    fn accept_counter(&mut self, header: &Header) -> bool {
        if header.incarnation != self.incarnation {
            return self.restart(header);
        }
        if header.counter > self.highest {
            let ahead = header.counter - self.highest;
            self.seen = if ahead < REPLAY_WINDOW_BITS {
                self.seen << ahead
            } else {
                0
            } | 1;
            self.highest = header.counter;
            return true;
        }
        let behind = self.highest - header.counter;
        if behind >= REPLAY_WINDOW_BITS || self.seen >> behind & 1 == 1 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }

    fn restart(&mut self, header: &Header) -> bool {
        if self.retired.contains(&header.incarnation) {
            return false;
        }
        if self.retired.len() == MAX_RETIRED_INCARNATIONS {
            self.retired.remove(0);
        }
        self.retired.push(self.incarnation);
        self.incarnation = header.incarnation;
        self.highest = header.counter;
        self.seen = 1;
        true
    }
}

/// Protection of datagrams against replay, one window for each sender.
#[derive(Debug, Default)]
pub(crate) struct ReplayFilter {
    senders: IndexMap<NodeName, Sender>,
}

impl ReplayFilter {
    /// Takes an authenticated header in. A repeated one is refused.
    pub(crate) fn check(&mut self, header: &Header) -> Result<(), DropReason> {
        if let Some(sender) = self.senders.get_mut(&header.node) {
            return if sender.accept_counter(header) {
                Ok(())
            } else {
                Err(DropReason::Replayed)
            };
        }
        if self.senders.len() == MAX_SENDERS {
            return Err(DropReason::Crowded);
        }
        self.senders
            .insert(header.node.clone(), Sender::new(header));
        Ok(())
    }
}
