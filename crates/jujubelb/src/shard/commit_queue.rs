//! Group commit: collects changes, records and replies for the next segment of the log.

use super::io::{OfferReply, Output, RequestId};
use crate::journal::{Change, Segment, WriterId, encoded_len};
use crate::model::{Code, Epoch, Record, Span, Time};
use crate::store::MAX_VALUE_BYTES;

/// Minimum time between the starts of two appends, which limits the store's
/// load to 7 writes/s per shard.
pub(super) const MIN_APPEND_INTERVAL: Span = Span::from_millis(150);

/// Delay after a failed append, without jitter.
const APPEND_RETRY_DELAY: Span = Span::from_secs(1);

/// Maximum time between appends. A confirmed append proves that this owner was
/// not replaced, which restarts its lease renewal window; what is left of the
/// window just before the next append has to outlast a store outage of an hour.
const MAX_APPEND_INTERVAL: Span = Span::from_secs(300);

/// Age of an append at which waiting requests are answered with an unknown
/// outcome. New requests are rejected from half of this age. Urgent requests
/// have a deadline of 2.8 s.
const REPLY_TIMEOUT: Span = Span::from_millis(2_000);

/// Maximum size of the changes and records in a segment. The rest of a store
/// value is for the segment's other fields.
const MAX_SEGMENT_BYTES: usize = MAX_VALUE_BYTES - (64 << 10);

/// Most items of records that are retained after a failed append.
const MAX_WAITING_ITEMS: usize = 2_000;

/// Most records of other processes in one item. An item has to fit into a segment.
const MAX_RECORDS_PER_ITEM: usize = 50;

/// Reply that is sent once an item is stored.
#[derive(Debug, Clone)]
pub(super) enum PendingReply {
    Submitted(RequestId, Code),
    Cancelled(RequestId, Code),
    Offer(RequestId, OfferReply),
}

impl PendingReply {
    fn into_output(self) -> Output {
        match self {
            Self::Submitted(request, code) => Output::Submitted(request, code),
            Self::Cancelled(request, code) => Output::Cancelled(request, code),
            Self::Offer(request, reply) => Output::OfferReply(request, Code::Done, Some(reply)),
        }
    }

    fn into_failure(self, code: Code) -> Output {
        match self {
            Self::Submitted(request, _) => Output::Submitted(request, code),
            Self::Cancelled(request, _) => Output::Cancelled(request, code),
            Self::Offer(request, _) => Output::OfferReply(request, code, None),
        }
    }
}

/// A change with its records and reply, which are stored in the same segment.
#[derive(Debug, Default)]
pub(super) struct CommitItem {
    pub change: Option<Change>,
    pub records: Vec<Record>,
    pub reply: Option<PendingReply>,
}

impl CommitItem {
    fn size(&self) -> usize {
        self.change.as_ref().map_or(0, encoded_len) + encoded_len(&self.records)
    }
}

#[derive(Debug)]
struct InflightAppend {
    segment: Segment,
    replies: Vec<PendingReply>,
    /// Records without a change. They are stored with a later segment if this append fails.
    standalone_records: Vec<Record>,
    started: Time,
}

/// Items that wait to be stored, and the append in flight.
#[derive(Debug)]
pub(super) struct CommitQueue {
    items: Vec<CommitItem>,
    inflight: Option<InflightAppend>,
    seq: u64,
    /// Start of the last append, or the owner's start.
    last_append: Time,
    /// Earliest start of the next append. Delayed after a failed one.
    earliest_append: Time,
    /// Whether the last append failed.
    pub last_failed: bool,
    /// Start of the last confirmed append, from which the lease renewal window counts.
    pub last_confirmed: Time,
    /// Number of items of records dropped after failed appends.
    pub dropped_items: u64,
}

impl CommitQueue {
    pub(super) fn new(now: Time, opened: Time) -> Self {
        Self {
            items: Vec::new(),
            inflight: None,
            seq: 0,
            last_append: now,
            earliest_append: now,
            last_failed: false,
            last_confirmed: opened,
            dropped_items: 0,
        }
    }

    /// Returns the unstored records of decisions that need no change and are
    /// therefore already in effect.
    pub(super) fn unstored_records(&self) -> impl Iterator<Item = &Record> {
        let standalone_records = self
            .inflight
            .iter()
            .flat_map(|inflight| &inflight.standalone_records);
        let waiting = self.items.iter().filter(|item| item.change.is_none());
        standalone_records.chain(waiting.flat_map(|item| &item.records))
    }

    pub(super) fn push(&mut self, item: CommitItem) {
        self.items.push(item);
    }

    /// Adds records of other processes, split into items that fit into a segment.
    pub(super) fn push_records(&mut self, records: Vec<Record>) {
        for records in records.chunks(MAX_RECORDS_PER_ITEM) {
            self.push(CommitItem {
                records: records.to_vec(),
                ..CommitItem::default()
            });
        }
    }

    /// Whether new requests can be accepted because an append is possible soon.
    pub(super) fn is_accepting(&self, now: Time) -> bool {
        let slow = |inflight: &InflightAppend| now.since(inflight.started).as_micros() * 2;
        let stuck = self.inflight.as_ref().map(slow);
        let stuck = stuck.is_some_and(|age| age > REPLY_TIMEOUT.as_micros());
        !stuck && (!self.last_failed || now >= self.earliest_append)
    }

    /// Whether the last append failed and the next one is not due yet.
    pub(super) fn is_waiting_to_retry(&self, now: Time) -> bool {
        self.last_failed && self.inflight.is_none() && now < self.earliest_append
    }

    /// Number of waiting items.
    pub(super) fn waiting_items(&self) -> usize {
        self.items.len()
    }

    /// Starts the next append and returns its segment, if an append is due.
    pub(super) fn next_segment(
        &mut self,
        now: Time,
        epoch: Epoch,
        writer: &WriterId,
    ) -> Option<Segment> {
        let idle = now.since(self.last_append) >= MAX_APPEND_INTERVAL;
        if self.inflight.is_some() || (self.items.is_empty() && !idle) {
            return None;
        }
        if now < self.earliest_append || now.since(self.last_append) < MIN_APPEND_INTERVAL {
            return None;
        }
        self.seq += 1;
        self.last_append = now;
        let mut segment = Segment {
            epoch,
            writer: writer.clone(),
            seq: self.seq,
            changes: Vec::new(),
            records: Vec::new(),
        };
        let mut replies = Vec::new();
        let mut standalone_records = Vec::new();
        let batch = self.batch_len();
        for item in self.items.drain(..batch) {
            if item.change.is_none() {
                standalone_records.extend(item.records.iter().cloned());
            }
            segment.changes.extend(item.change);
            segment.records.extend(item.records);
            replies.extend(item.reply);
        }
        self.inflight = Some(InflightAppend {
            segment: segment.clone(),
            replies,
            standalone_records,
            started: now,
        });
        Some(segment)
    }

    /// Number of items for the next segment: as many as fit, at least one.
    fn batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |item: &&CommitItem| {
            bytes += item.size();
            bytes <= MAX_SEGMENT_BYTES
        };
        let count = self.items.iter().take_while(fits).count();
        count.max(1).min(self.items.len())
    }

    /// Handles a confirmed append. Returns the segment and the replies that waited
    /// for it, or `None` if this append is not in flight.
    pub(super) fn confirm(&mut self, seq: u64) -> Option<(Segment, Vec<Output>)> {
        let inflight = self.inflight.take_if(|i| i.segment.seq == seq)?;
        self.last_confirmed = inflight.started;
        self.last_failed = false;
        let replies = inflight.replies.into_iter().map(PendingReply::into_output);
        Some((inflight.segment, replies.collect()))
    }

    /// Handles a failed append. All waiting changes are discarded, because they
    /// may depend on those of the failed append; records without a change are
    /// retained. Returns the replies, or `None` if this append is not in flight.
    pub(super) fn fail(&mut self, seq: u64, now: Time) -> Option<Vec<Output>> {
        self.inflight.as_ref().filter(|i| i.segment.seq == seq)?;
        let replies = self.abandon(Code::StoreUnavailable, Code::StoreUnavailable);
        self.last_failed = true;
        // Spreads the retries over half the delay, so that the shards do not retry at once.
        let jitter = (self.seq.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) % 500;
        self.earliest_append = now + APPEND_RETRY_DELAY + Span::from_millis(jitter);
        Some(replies)
    }

    /// Discards all changes. Requests that wait for the append in flight are
    /// answered with `inflight`, all others with `waiting`.
    pub(super) fn abandon(&mut self, inflight: Code, waiting: Code) -> Vec<Output> {
        let mut replies = Vec::new();
        if let Some(append) = self.inflight.take() {
            replies.extend(append.replies.into_iter().map(|r| r.into_failure(inflight)));
            let standalone_records = CommitItem {
                records: append.standalone_records,
                ..CommitItem::default()
            };
            self.items.insert(0, standalone_records);
        }
        for item in &mut self.items {
            replies.extend(item.reply.take().map(|r| r.into_failure(waiting)));
        }
        self.items
            .retain(|item| item.change.is_none() && !item.records.is_empty());
        let excess = self.items.len().saturating_sub(MAX_WAITING_ITEMS);
        self.items.drain(..excess);
        self.dropped_items += excess as u64;
        replies
    }

    /// Answers all waiting requests if the append in flight takes too long. Their
    /// changes remain planned, so the outcome is unknown.
    pub(super) fn expire_replies(&mut self, now: Time) -> Vec<Output> {
        let Some(inflight) = &mut self.inflight else {
            return Vec::new();
        };
        if now.since(inflight.started) < REPLY_TIMEOUT {
            return Vec::new();
        }
        let waiting = self.items.iter_mut().filter_map(|item| item.reply.take());
        let replies = inflight.replies.drain(..).chain(waiting);
        replies
            .map(|r| r.into_failure(Code::StoreUnknown))
            .collect()
    }

    /// Ends the wait after a failed append, because the store responds again.
    pub(super) fn note_store_reachable(&mut self, now: Time) {
        self.earliest_append = self.earliest_append.min(now);
    }
}
