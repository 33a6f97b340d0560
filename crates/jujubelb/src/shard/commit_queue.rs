//! Group commit: collects changes, records and answers for the next segment.

use super::io::{OfferReply, Output, RequestId};
use crate::journal::{Change, Segment, Writer, encoded_len};
use crate::model::{Code, Epoch, Record, Span, Time};
use crate::store::VALUE_LIMIT;

/// Shortest time between the starts of two appends, which bounds the store's
/// load to 7 writes/s for each shard. To be tuned.
pub(super) const MIN_APPEND_INTERVAL: Span = Span::from_millis(150);

/// Wait after an append that failed, before jitter. To be tuned.
const APPEND_RETRY_DELAY: Span = Span::from_secs(1);

/// Longest time without an append. An append shows that this owner was not
/// replaced, which extends its renewal authority; a store outage of an hour
/// has to fit into what is left of it. To be tuned.
const MAX_APPEND_INTERVAL: Span = Span::from_secs(300);

/// Age of an append at which callers get an answer of unknown outcome, and
/// after half of which no further work is taken in. Urgent work has 2.8 s. To be tuned.
const REPLY_TIMEOUT: Span = Span::from_millis(2_000);

/// Bytes of changes and records in a segment. The rest of a value is for
/// the segment's own fields.
const MAX_SEGMENT_BYTES: usize = VALUE_LIMIT - (64 << 10);

/// Records that wait while the store is away. To be tuned.
const MAX_WAITING_ITEMS: usize = 2_000;

/// Records of other processes in one item; an item has to fit into a segment. To be tuned.
const MAX_RECORDS_PER_ITEM: usize = 50;

/// The answer that goes out once an item is stored.
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
            Self::Offer(request, answer) => Output::OfferReply(request, Code::Done, Some(answer)),
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

/// What is stored together.
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
    /// Records that go with no change; they are stored with a later segment if this one fails.
    standalone_records: Vec<Record>,
    started: Time,
}

/// What is to be stored and what is being stored.
#[derive(Debug)]
pub(super) struct CommitQueue {
    items: Vec<CommitItem>,
    inflight: Option<InflightAppend>,
    seq: u64,
    /// Start of the last append.
    last_append: Time,
    /// No append before this time.
    earliest_append: Time,
    /// Whether the last append failed.
    pub last_failed: bool,
    /// Start of the last append that was confirmed. The renewal authority counts from it.
    pub last_confirmed: Time,
    /// Records dropped because the store was away for long.
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

    /// Records that are not stored yet of decisions that need no change and so
    /// are in effect already.
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

    /// Takes records of other processes, in items small enough for a segment.
    pub(super) fn push_records(&mut self, records: Vec<Record>) {
        for records in records.chunks(MAX_RECORDS_PER_ITEM) {
            self.push(CommitItem {
                records: records.to_vec(),
                ..CommitItem::default()
            });
        }
    }

    /// Whether new work can be taken in: an append is possible soon.
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

    /// Makes the next segment, if it is time for it.
    pub(super) fn next_segment(
        &mut self,
        now: Time,
        epoch: Epoch,
        writer: &Writer,
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

    /// Number of items that fit into one segment; at least one.
    fn batch_len(&self) -> usize {
        let mut bytes = 0;
        let fits = |item: &&CommitItem| {
            bytes += item.size();
            bytes <= MAX_SEGMENT_BYTES
        };
        let count = self.items.iter().take_while(fits).count();
        count.max(1).min(self.items.len())
    }

    /// Takes in a confirmed append; gives the segment and the answers.
    pub(super) fn confirm(&mut self, seq: u64) -> Option<(Segment, Vec<Output>)> {
        let inflight = self.inflight.take_if(|i| i.segment.seq == seq)?;
        self.last_confirmed = inflight.started;
        self.last_failed = false;
        let replies = inflight.replies.into_iter().map(PendingReply::into_output);
        Some((inflight.segment, replies.collect()))
    }

    /// Takes in a failed append. All waiting changes are given up, because they
    /// may build on those of the failed append; records of decisions that need no
    /// stored change are kept. Gives the answers, or nothing if no such append is in flight.
    pub(super) fn fail(&mut self, seq: u64, now: Time) -> Option<Vec<Output>> {
        self.inflight.as_ref().filter(|i| i.segment.seq == seq)?;
        let replies = self.abandon(Code::StoreUnavailable, Code::StoreUnavailable);
        self.last_failed = true;
        // Spread over half a period, so that the shards do not come back at once.
        let jitter = (self.seq.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) % 500;
        self.earliest_append = now + APPEND_RETRY_DELAY + Span::from_millis(jitter);
        Some(replies)
    }

    /// Gives up everything. Answers that wait for the append in flight get `inflight`, others `waiting`.
    pub(super) fn abandon(&mut self, inflight: Code, waiting: Code) -> Vec<Output> {
        let mut answers = Vec::new();
        if let Some(append) = self.inflight.take() {
            answers.extend(append.replies.into_iter().map(|r| r.into_failure(inflight)));
            let standalone_records = CommitItem {
                records: append.standalone_records,
                ..CommitItem::default()
            };
            self.items.insert(0, standalone_records);
        }
        for item in &mut self.items {
            answers.extend(item.reply.take().map(|r| r.into_failure(waiting)));
        }
        self.items
            .retain(|item| item.change.is_none() && !item.records.is_empty());
        let excess = self.items.len().saturating_sub(MAX_WAITING_ITEMS);
        self.items.drain(..excess);
        self.dropped_items += excess as u64;
        answers
    }

    /// Answers those who have waited too long for an append without a result.
    /// Their changes stay planned, so the outcome is unknown.
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

    /// The store answers again; ends the wait after a failed append.
    pub(super) fn note_store_reachable(&mut self, now: Time) {
        self.earliest_append = self.earliest_append.min(now);
    }
}
