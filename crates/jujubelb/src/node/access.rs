//! Decides whether a call may use a queue, by the key that it presents.

use derive_more::Display;
use indexmap::IndexMap;

use super::known_config::ConfigEvidence;
use crate::model::{CustomerName, Span, Time};
use crate::platform::{KeyDigest, OperatorConfig, QueueConfig};

/// Shortest time between two log lines for calls refused for the same cause. Callers without a
/// key can bring about any number of these calls.
const REFUSAL_LINE_PAUSE: Span = Span::from_millis(500);

/// What a call does to jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub(crate) enum AccessCause {
    /// The queue needs a key, and there is none.
    Missing,
    /// The key belongs to no customer.
    Unknown,
    /// There is no key or its customer isn't known, and a newer configuration may allow the call.
    Unconfirmed,
    /// The key is known and can't be confirmed: it may have been withdrawn in the meantime.
    NoEvidence,
}

/// Whether a call may use a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access<'a> {
    /// The queue needs no key.
    Public,
    /// The key belongs to this customer.
    Customer(&'a CustomerName),
    /// The call is refused. Names the customer if the key is known.
    Refused(AccessCause, Option<&'a CustomerName>),
}

/// Bounds the log lines for refused calls.
#[derive(Debug, Default)]
pub(crate) struct RefusalLog(IndexMap<AccessCause, RefusalCount>);

/// The refused calls of one cause.
#[derive(Debug, Default)]
struct RefusalCount {
    last_line: Option<Time>,
    /// Number of calls since that line.
    calls: u64,
}

impl RefusalLog {
    /// Counts a refused call. Returns the number of calls since the last line for this cause,
    /// with this one, if a line is due.
    pub(crate) fn count(&mut self, cause: AccessCause, now: Time) -> Option<u64> {
        let count = self.0.entry(cause).or_default();
        count.calls += 1;
        let is_recent = |line| now.since(line) < REFUSAL_LINE_PAUSE;
        if count.last_line.is_some_and(is_recent) {
            return None;
        }
        count.last_line = Some(now);
        Some(std::mem::take(&mut count.calls))
    }
}

/// Decides on a call by the active configuration and the evidence that it is the newest. `strict`
/// says that a key is of no use while it may have been withdrawn; otherwise reads are served.
pub(crate) fn decide<'a>(
    operator: &'a OperatorConfig,
    queue: &QueueConfig,
    key: Option<&KeyDigest>,
    kind: CallKind,
    evidence: ConfigEvidence,
    strict: bool,
) -> Access<'a> {
    let Some(keys) = operator.keys.as_ref().filter(|_| queue.needs_key) else {
        return Access::Public;
    };
    let Some(customer) = key.and_then(|k| keys.owner(k)) else {
        // A customer that could not be decoded may own the key.
        let is_certain = evidence.in_force && (key.is_none() || keys.is_complete());
        let cause = match (is_certain, key) {
            (false, _) => AccessCause::Unconfirmed,
            (true, None) => AccessCause::Missing,
            (true, Some(_)) => AccessCause::Unknown,
        };
        return Access::Refused(cause, None);
    };
    let is_proven = evidence.is_recent && !(strict && evidence.superseded);
    let is_tolerated = !strict && kind == CallKind::Read;
    match is_proven || is_tolerated {
        true => Access::Customer(customer),
        false => Access::Refused(AccessCause::NoEvidence, Some(customer)),
    }
}
