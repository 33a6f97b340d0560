//! Group commit: collects changes, records and answers for the next segment.

use super::io::{OfferReply, Output, RequestId};
use crate::journal::{Change, Segment, WriterId, encoded_len};
use crate::model::{Code, Epoch, Record, Span, Time};
use crate::store::MAX_VALUE_BYTES;

/// Shortest time between the starts of two appends, which bounds the store's
/// load to 7 writes/s for each shard. To be tuned.
pub(super) const APPEND_EVERY: Span = Span::from_millis(150);

/// Wait after an append that failed, before jitter. To be tuned.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Longest time without an append. An append shows that this owner was not
/// replaced, which extends its renewal authority; a store outage of an hour
/// has to fit into what is left of it. To be tuned.
const IDLE_APPEND: Span = Span::from_secs(300);

/// Age of an append at which callers get an answer of unknown outcome, and
/// after half of which no further work is taken in. Urgent work has 2.8 s. To be tuned.
const PATIENCE: Span = Span::from_millis(2_000);

/// Bytes of changes and records in a segment. The rest of a value is for
/// the segment's own fields.
const SEGMENT_BYTES: usize = MAX_VALUE_BYTES - (64 << 10);

/// Records that wait while the store is away. To be tuned.
const RECORDS_WAITING: usize = 2_000;

/// Records of other processes in one item; an item has to fit into a segment. To be tuned.
const RECORDS_TOGETHER: usize = 50;

/// The answer that goes out once an item is stored.
#[derive(Debug, Clone)]
pub(super) enum Reply {
    Submitted(RequestId, Code),
    Cancelled(RequestId, Code),
    Offer(RequestId, OfferReply),
}

impl Reply {
    fn stored(self) -> Output {
        match self {
            Self::Submitted(ticket, code) => Output::Submitted(ticket, code),
            Self::Cancelled(ticket, code) => Output::Cancelled(ticket, code),
            Self::Offer(ticket, answer) => Output::OfferReply(ticket, Code::Done, Some(answer)),
        }
    }

    fn failed(self, code: Code) -> Output {
        match self {
            Self::Submitted(ticket, _) => Output::Submitted(ticket, code),
            Self::Cancelled(ticket, _) => Output::Cancelled(ticket, code),
            Self::Offer(ticket, _) => Output::OfferReply(ticket, code, None),
        }
    }
}

/// What is stored together.
#[derive(Debug, Default)]
pub(super) struct Item {
    pub change: Option<Change>,
    pub records: Vec<Record>,
    pub reply: Option<Reply>,
}

impl Item {
    fn size(&self) -> usize {
        self.change.as_ref().map_or(0, encoded_len) + encoded_len(&self.records)
    }
}

#[derive(Debug)]
struct Inflight {
    segment: Segment,
    replies: Vec<Reply>,
    /// Records that go with no change; they are stored with a later segment if this one fails.
    kept: Vec<Record>,
    began: Time,
}

/// What is to be stored and what is being stored.
#[derive(Debug)]
pub(super) struct Outbox {
    items: Vec<Item>,
    inflight: Option<Inflight>,
    seq: u64,
    /// Start of the last append.
    last: Time,
    /// No append before this time.
    not_before: Time,
    /// Whether the last append failed.
    pub failing: bool,
    /// Start of the last append that was confirmed. The renewal authority counts from it.
    pub confirmed: Time,
    /// Records dropped because the store was away for long.
    pub dropped: u64,
}

impl Outbox {
    pub(super) fn new(now: Time, opened: Time) -> Self {
        Self {
            items: Vec::new(),
            inflight: None,
            seq: 0,
            last: now,
            not_before: now,
            failing: false,
            confirmed: opened,
            dropped: 0,
        }
    }

    /// Records that are not stored yet of decisions that need no change and so
    /// are in effect already.
    pub(super) fn unstored(&self) -> impl Iterator<Item = &Record> {
        let kept = self.inflight.iter().flat_map(|inflight| &inflight.kept);
        let waiting = self.items.iter().filter(|item| item.change.is_none());
        kept.chain(waiting.flat_map(|item| &item.records))
    }

    pub(super) fn push(&mut self, item: Item) {
        self.items.push(item);
    }

    /// Takes records of other processes, in items small enough for a segment.
    pub(super) fn push_records(&mut self, records: Vec<Record>) {
        for records in records.chunks(RECORDS_TOGETHER) {
            self.push(Item {
                records: records.to_vec(),
                ..Item::default()
            });
        }
    }

    /// Whether new work can be taken in: an append is possible soon.
    pub(super) fn is_open(&self, now: Time) -> bool {
        let slow = |inflight: &Inflight| now.since(inflight.began).as_micros() * 2;
        let stuck = self.inflight.as_ref().map(slow);
        let stuck = stuck.is_some_and(|age| age > PATIENCE.as_micros());
        !stuck && (!self.failing || now >= self.not_before)
    }

    /// Whether the last append failed and the next one is not due yet.
    pub(super) fn is_waiting_to_retry(&self, now: Time) -> bool {
        self.failing && self.inflight.is_none() && now < self.not_before
    }

    /// Number of waiting items.
    pub(super) fn waiting(&self) -> usize {
        self.items.len()
    }

    /// Makes the next segment, if it is time for it.
    pub(super) fn next(&mut self, now: Time, epoch: Epoch, writer: &WriterId) -> Option<Segment> {
        let idle = now.since(self.last) >= IDLE_APPEND;
        if self.inflight.is_some() || (self.items.is_empty() && !idle) {
            return None;
        }
        if now < self.not_before || now.since(self.last) < APPEND_EVERY {
            return None;
        }
        self.seq += 1;
        self.last = now;
        let mut segment = Segment {
            epoch,
            writer: writer.clone(),
            seq: self.seq,
            changes: Vec::new(),
            records: Vec::new(),
        };
        let mut replies = Vec::new();
        let mut kept = Vec::new();
        let batch = self.batch();
        for item in self.items.drain(..batch) {
            if item.change.is_none() {
                kept.extend(item.records.iter().cloned());
            }
            segment.changes.extend(item.change);
            segment.records.extend(item.records);
            replies.extend(item.reply);
        }
        self.inflight = Some(Inflight {
            segment: segment.clone(),
            replies,
            kept,
            began: now,
        });
        Some(segment)
    }

    /// Number of items that fit into one segment; at least one.
    fn batch(&self) -> usize {
        let mut bytes = 0;
        let fits = |item: &&Item| {
            bytes += item.size();
            bytes <= SEGMENT_BYTES
        };
        let count = self.items.iter().take_while(fits).count();
        count.max(1).min(self.items.len())
    }

    /// Takes in a confirmed append; gives the segment and the answers.
    pub(super) fn stored(&mut self, seq: u64) -> Option<(Segment, Vec<Output>)> {
        let inflight = self.inflight.take_if(|i| i.segment.seq == seq)?;
        self.confirmed = inflight.began;
        self.failing = false;
        let replies = inflight.replies.into_iter().map(Reply::stored);
        Some((inflight.segment, replies.collect()))
    }

    /// Takes in a failed append. All waiting changes are given up, because they
    /// may build on those of the failed append; records of decisions that need no
    /// stored change are kept. Gives the answers, or nothing if no such append is in flight.
    pub(super) fn failed(&mut self, seq: u64, now: Time) -> Option<Vec<Output>> {
        self.inflight.as_ref().filter(|i| i.segment.seq == seq)?;
        let replies = self.give_up(Code::StoreUnavailable, Code::StoreUnavailable);
        self.failing = true;
        // Spread over half a period, so that the shards do not come back at once.
        let jitter = (self.seq.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) % 500;
        self.not_before = now + RETRY_AFTER + Span::from_millis(jitter);
        Some(replies)
    }

    /// Gives up everything. Answers that wait for the append in flight get `inflight`, others `waiting`.
    pub(super) fn give_up(&mut self, inflight: Code, waiting: Code) -> Vec<Output> {
        let mut answers = Vec::new();
        if let Some(given) = self.inflight.take() {
            answers.extend(given.replies.into_iter().map(|r| r.failed(inflight)));
            let kept = Item {
                records: given.kept,
                ..Item::default()
            };
            self.items.insert(0, kept);
        }
        for item in &mut self.items {
            answers.extend(item.reply.take().map(|r| r.failed(waiting)));
        }
        self.items
            .retain(|item| item.change.is_none() && !item.records.is_empty());
        let excess = self.items.len().saturating_sub(RECORDS_WAITING);
        self.items.drain(..excess);
        self.dropped += excess as u64;
        answers
    }

    /// Answers those who have waited too long for an append without a result.
    /// Their changes stay planned, so the outcome is unknown.
    pub(super) fn expire(&mut self, now: Time) -> Vec<Output> {
        let Some(inflight) = &mut self.inflight else {
            return Vec::new();
        };
        if now.since(inflight.began) < PATIENCE {
            return Vec::new();
        }
        let waiting = self.items.iter_mut().filter_map(|item| item.reply.take());
        let replies = inflight.replies.drain(..).chain(waiting);
        replies.map(|r| r.failed(Code::StoreUnknown)).collect()
    }

    /// The store answers again; ends the wait after a failed append.
    pub(super) fn store_answers(&mut self, now: Time) {
        self.not_before = self.not_before.min(now);
    }
}
