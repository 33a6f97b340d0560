//! Authentication of messages by a keyed hash over header and body. The header carries the
//! sender's incarnation and a counter, which protect against replay.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::key::KeyRing;
use crate::model::{Incarnation, NodeName};

/// Length of the keyed hash that precedes each message.
const HASH_BYTES: usize = 32;

/// Width of the replay window. A datagram whose counter is this far or further behind the
/// highest one received is dropped.
const REPLAY_WINDOW_BITS: u64 = u64::BITS as u64;

/// Previous incarnations remembered for each sender. A message of one of them is a replay.
const MAX_RETIRED_INCARNATIONS: usize = 16;

/// Senders remembered. All of them hold a valid key, so the bound only limits memory in
/// case of misconfiguration.
const MAX_SENDERS: usize = 4_096;

/// Identifies a message and its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Header {
    /// Name of the sender.
    pub(crate) node: NodeName,
    /// The sender's incarnation.
    pub(crate) incarnation: Incarnation,
    /// Sequence number, which grows with each message of this incarnation.
    pub(crate) counter: u64,
}

/// Why a message was dropped. Dropping a message changes no state except a counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, derive_more::Display)]
#[display(rename_all = "kebab-case")]
pub enum DropReason {
    /// Exceeds the size limit for its kind of message.
    Oversized,
    /// Can't be decoded, or its header and body name different senders.
    Malformed,
    /// The hash doesn't match with any active key.
    Unauthenticated,
    /// Received before, or too old for the replay window.
    Replayed,
    /// Addressed to another process, sent under this process's own name, or a reply of
    /// another process than the called one.
    Misdirected,
    /// The limit of connections or of remembered senders is reached.
    Crowded,
}

impl DropReason {
    /// All reasons in the order of their declaration, by which counters are indexed.
    pub const ALL: [Self; 6] = [
        Self::Oversized,
        Self::Malformed,
        Self::Unauthenticated,
        Self::Replayed,
        Self::Misdirected,
        Self::Crowded,
    ];
}

/// Encodes a message and prepends its keyed hash. The context binds the message to its
/// purpose: [`open`] needs the same one.
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

/// Verifies the hash of a message and returns its header and body.
pub(crate) fn open<'a>(
    keys: &KeyRing,
    context: &[u8],
    message: &'a [u8],
) -> Result<(Header, &'a [u8]), DropReason> {
    let (hash, rest) = message
        .split_first_chunk::<HASH_BYTES>()
        .ok_or(DropReason::Malformed)?;
    // `blake3::Hash` compares in constant time.
    let valid = keys
        .all()
        .iter()
        .any(|key| key.hash(context, rest) == *hash);
    if !valid {
        return Err(DropReason::Unauthenticated);
    }
    postcard::take_from_bytes(rest).map_err(|_| DropReason::Malformed)
}

/// Replay window of one sender.
#[derive(Debug, Clone)]
struct Sender {
    incarnation: Incarnation,
    highest: u64,
    /// Bit `n` is set if the counter `highest - n` was received.
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

/// Rejects replayed datagrams, with one sliding window for each sender.
#[derive(Debug, Default)]
pub(crate) struct ReplayFilter {
    senders: IndexMap<NodeName, Sender>,
}

impl ReplayFilter {
    /// Records an authenticated header, or rejects it as replayed.
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
