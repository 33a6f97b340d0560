//! Leaders of earlier terms that are not known to have stopped.
//!
//! An earlier leader may go on after the next one was elected, and extend the leases of
//! workers that no later leader has reached. The leaders of which this is possible are kept
//! in the store with the time since each one's successor was elected, so that a leader that
//! is replaced itself doesn't make the next one wait anew.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::UNREACHABLE_WORKER_WAIT;
use crate::model::{Span, Time};

/// Most earlier leaders that are kept one by one. A leader that was lost is replaced after
/// 2 s at the earliest and is kept for 17 s, so more are not expected.
pub const MAX_EARLIER_LEADERS: usize = 16;

/// Part of the elapsed time by which ages grow, because a host's clock may be 2 % fast.
const AGE_RATE_PERCENT: u64 = 98;

/// The term of a leader, as its host is asked for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderTerm {
    /// Random number that identifies the term.
    pub nonce: u64,
    /// Address on which the leader's host takes calls of other hosts.
    pub address: SocketAddr,
}

/// An earlier leader that may still act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EarlierLeader {
    /// Its term; `None` stands for any number of leaders that can't be asked.
    pub term: Option<LeaderTerm>,
    /// Lower bound of the time since its successor was elected. For several leaders, that
    /// of the one whose successor was elected last.
    pub age: Span,
}

impl EarlierLeader {
    /// The same leader after a time by this host's clock.
    fn after(self, elapsed: Span) -> Self {
        let micros = elapsed.as_micros() * AGE_RATE_PERCENT / 100;
        Self {
            age: Span::from_micros(self.age.as_micros().saturating_add(micros)),
            ..self
        }
    }

    /// Whether it has noticed by now that its term is over, whatever happened to it.
    fn has_expired(&self) -> bool {
        self.age >= UNREACHABLE_WORKER_WAIT
    }

    /// Time by this host's clock after which it has certainly expired.
    fn time_left(&self) -> Span {
        UNREACHABLE_WORKER_WAIT
            .saturating_sub(self.age)
            .scale_up(100, AGE_RATE_PERCENT)
    }
}

/// What the store holds about earlier leaders. Each election writes it, and the leader
/// rewrites it while its list is not empty.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Succession {
    /// Nonce of the term that wrote this.
    pub nonce: u64,
    /// Leaders before that term that may still act, oldest first.
    /// There are at most [`MAX_EARLIER_LEADERS`]. A leader that is not listed extends no
    /// lease any longer, though a lease that it has extended may last.
    pub earlier: Vec<EarlierLeader>,
}

impl Succession {
    /// That of the first term, or of one before which all leaders have stopped.
    pub fn empty(nonce: u64) -> Self {
        Self {
            nonce,
            earlier: Vec::new(),
        }
    }

    /// That of a term before which there may have been any leaders.
    pub fn unknown(nonce: u64) -> Self {
        Self {
            nonce,
            earlier: vec![EarlierLeader {
                term: None,
                age: Span::ZERO,
            }],
        }
    }

    /// That of the term that follows `last`. `stored` is what the store held when `last` was
    /// the newest term; it tells nothing about the leaders before `last` unless that term
    /// wrote it. `resigned` says whether `last` is known to have stopped.
    pub fn following(last: LeaderTerm, resigned: bool, stored: Option<&Self>, nonce: u64) -> Self {
        let mut next = match stored.filter(|s| s.nonce == last.nonce) {
            Some(stored) => Self {
                nonce,
                earlier: stored.earlier.clone(),
            },
            None => Self::unknown(nonce),
        };
        next.earlier.retain(|l| !l.has_expired());
        if !resigned {
            next.earlier.push(EarlierLeader {
                term: Some(last),
                age: Span::ZERO,
            });
        }
        let excess = next.earlier.len().saturating_sub(MAX_EARLIER_LEADERS);
        if excess > 0 {
            let merged = next.earlier.drain(..=excess).map(|l| l.age).min();
            next.earlier.insert(
                0,
                EarlierLeader {
                    term: None,
                    age: merged.unwrap_or_default(),
                },
            );
        }
        next
    }
}

/// The earlier leaders that may still act, as a leader follows them during its term.
#[derive(Debug, Clone)]
pub struct EarlierLeaders {
    /// With their ages at `since`.
    leaders: Vec<EarlierLeader>,
    since: Time,
    /// No leader that is not in `leaders` extends a lease after this.
    last_stop: Time,
}

impl EarlierLeaders {
    /// Those that the record of this term lists, which was stored before `now`.
    pub fn new(record: &Succession, now: Time) -> Self {
        Self {
            leaders: record.earlier.clone(),
            since: now,
            last_stop: now,
        }
    }

    /// Those that may still act now, with their ages.
    pub fn at(&self, now: Time) -> Vec<EarlierLeader> {
        let elapsed = now.since(self.since);
        let aged = self.leaders.iter().map(|l| l.after(elapsed));
        aged.filter(|l| !l.has_expired()).collect()
    }

    /// Records that leaders not listed may have extended leases until `at`.
    pub(super) fn extended_until(&mut self, at: Time) {
        self.last_stop = self.last_stop.max(at);
    }

    /// Records that no earlier leader can have an effect any more.
    pub(super) fn clear(&mut self) {
        self.leaders.clear();
    }

    /// Records that the leader of a term is known to have stopped. Returns its age, or `None`
    /// if it was not listed any more.
    pub(super) fn stopped(&mut self, nonce: u64, now: Time) -> Option<Span> {
        self.expire(now);
        let is_stopped = |l: &EarlierLeader| l.term.is_some_and(|t| t.nonce == nonce);
        let i = self.leaders.iter().position(is_stopped)?;
        let leader = self.leaders.remove(i);
        // It may have extended a lease until just now.
        self.last_stop = self.last_stop.max(now);
        Some(leader.after(now.since(self.since)).age)
    }

    /// Removes the leaders that have noticed by now that their terms are over.
    fn expire(&mut self, now: Time) {
        let since = self.since;
        let mut last = self.last_stop;
        self.leaders.retain(|leader| {
            let end = since + leader.time_left();
            let acts = now < end;
            if !acts {
                last = last.max(end);
            }
            acts
        });
        self.last_stop = last;
    }

    /// Time since an earlier leader can last have extended a lease; `None` while one may.
    pub(super) fn quiet_for(&mut self, now: Time) -> Option<Span> {
        self.expire(now);
        self.leaders.is_empty().then(|| now.since(self.last_stop))
    }
}
