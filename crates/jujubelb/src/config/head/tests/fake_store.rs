//! An in-memory store with a script of faults.

use std::collections::VecDeque;
use std::sync::Mutex;

use indexmap::IndexMap;

use crate::config::head::ApplyError;
use crate::config::head::{ApplyOutcome, Change, ContentCache, HEAD_KEY, Head, Sweeper, apply};
use crate::model::{Span, Time, WallTime};
use crate::store::{Entry, Expect, LeaseId, Store, StoreError, Version};

/// The fault of one call.
#[derive(Debug, Clone)]
pub(super) enum Fault {
    /// The call succeeds.
    None,
    /// The store refuses the call.
    Refused,
    /// The call takes effect but the reply is lost.
    ReplyLost,
    /// The request is lost and has no effect.
    RequestLost,
    /// The reply is lost and the write takes effect this many calls later.
    Late(usize),
    /// A read returns the state from before this many writes.
    Stale(usize),
    /// This many sweeps run before the call, 2,000 s apart.
    Sweep(usize),
    /// Another change is applied before the call.
    Race(Box<Change>),
}

#[derive(Default)]
struct State {
    current: IndexMap<String, (Vec<u8>, Version)>,
    /// The states before each write, newest last, for stale reads.
    history: Vec<IndexMap<String, (Vec<u8>, Version)>>,
    version: u64,
    faults: VecDeque<Fault>,
    /// Writes that take effect after this many further calls.
    late_writes: Vec<(usize, Write)>,
    /// All heads that were written, in order.
    heads: Vec<Head>,
    /// Changes applied by `Fault::Race`, with their results.
    race_results: Vec<(Change, Result<ApplyOutcome, ApplyError>)>,
    /// Above zero during a nested change or sweep, whose calls have no faults.
    nesting: usize,
    sweeper: Sweeper,
    clock: Time,
}

#[derive(Clone)]
struct Write {
    key: String,
    value: Option<Vec<u8>>,
    expect: Expect,
}

impl State {
    fn write(&mut self, write: &Write) -> Result<Version, StoreError> {
        let current = self.current.get(&write.key).map(|(_, v)| *v);
        let holds = match write.expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Version(v) => current == Some(v),
        };
        if !holds && (write.value.is_some() || current.is_some()) {
            return Err(StoreError::Conflict { current });
        }
        self.history.push(self.current.clone());
        self.version += 1;
        let version = Version(self.version);
        match &write.value {
            Some(value) => {
                if write.key == HEAD_KEY {
                    self.heads
                        .push(serde_json::from_slice(value).expect("a head"));
                }
                self.current
                    .insert(write.key.clone(), (value.clone(), version));
            }
            None => {
                self.current.shift_remove(&write.key);
            }
        }
        Ok(version)
    }

    fn apply_late_writes(&mut self) {
        for (wait, _) in &mut self.late_writes {
            *wait = wait.saturating_sub(1);
        }
        let due = |(wait, _): &mut (usize, Write)| *wait == 0;
        let due: Vec<_> = self.late_writes.extract_if(.., due).collect();
        for (_, write) in due {
            let _ = self.write(&write);
        }
    }
}

#[derive(Default)]
pub(super) struct FakeStore(Mutex<State>);

impl FakeStore {
    pub(super) fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.0.lock().expect("no panic").faults = faults.into_iter().collect();
    }

    pub(super) fn heads(&self) -> Vec<Head> {
        self.0.lock().expect("no panic").heads.clone()
    }

    pub(super) fn race_results(&self) -> Vec<(Change, Result<ApplyOutcome, ApplyError>)> {
        self.0.lock().expect("no panic").race_results.clone()
    }

    pub(super) fn keys(&self) -> Vec<String> {
        self.0
            .lock()
            .expect("no panic")
            .current
            .keys()
            .cloned()
            .collect()
    }

    /// Makes all late writes take effect.
    pub(super) fn apply_all_late_writes(&self) {
        let mut state = self.0.lock().expect("no panic");
        for (wait, _) in &mut state.late_writes {
            *wait = 1;
        }
        state.apply_late_writes();
    }

    /// Takes the next fault; runs its sweeps or its racing change.
    fn fault(&self) -> Fault {
        let fault = {
            let mut state = self.0.lock().expect("no panic");
            state.apply_late_writes();
            if state.nesting > 0 {
                return Fault::None;
            }
            state.faults.pop_front().unwrap_or(Fault::None)
        };
        if let Fault::Sweep(steps) = fault {
            (0..steps).for_each(|_| self.sweep());
            return Fault::None;
        }
        let Fault::Race(change) = fault else {
            return fault;
        };
        self.0.lock().expect("no panic").nesting += 1;
        let result = apply(self, &mut ContentCache::default(), &change, WallTime::ZERO);
        let mut state = self.0.lock().expect("no panic");
        state.nesting -= 1;
        state.race_results.push((*change, result));
        Fault::None
    }

    /// Runs one step of the sweeper, 2,000 s after the previous one, without faults.
    pub(super) fn sweep(&self) {
        let (mut sweeper, now) = {
            let mut state = self.0.lock().expect("no panic");
            state.nesting += 1;
            state.clock = state.clock + Span::from_secs(2_000);
            (std::mem::take(&mut state.sweeper), state.clock)
        };
        let _ = sweeper.step(self, now);
        let mut state = self.0.lock().expect("no panic");
        state.nesting -= 1;
        state.sweeper = sweeper;
    }

    fn write(&self, write: Write) -> Result<Version, StoreError> {
        let fault = self.fault();
        let mut state = self.0.lock().expect("no panic");
        match fault {
            Fault::Refused => Err(StoreError::Refused("down".into())),
            Fault::RequestLost => Err(StoreError::Unknown("lost".into())),
            Fault::ReplyLost => {
                let _ = state.write(&write);
                Err(StoreError::Unknown("lost".into()))
            }
            Fault::Late(calls) => {
                state.late_writes.push((calls, write));
                Err(StoreError::Unknown("lost".into()))
            }
            _ => state.write(&write),
        }
    }
}

impl Store for FakeStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let fault = self.fault();
        let state = self.0.lock().expect("no panic");
        let view = match fault {
            Fault::Refused => return Err(StoreError::Refused("down".into())),
            Fault::RequestLost | Fault::ReplyLost | Fault::Late(_) => {
                return Err(StoreError::Unknown("lost".into()));
            }
            Fault::Stale(back) if state.history.len() >= back && back > 0 => {
                &state.history[state.history.len() - back]
            }
            _ => &state.current,
        };
        Ok(view.get(key).map(|(value, version)| Entry {
            key: key.into(),
            value: value.clone(),
            version: *version,
        }))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError> {
        let state = self.0.lock().expect("no panic");
        let mut keys: Vec<_> = state
            .current
            .keys()
            .filter(|k| k.starts_with(prefix))
            .collect();
        keys.sort();
        Ok(keys
            .into_iter()
            .filter(|k| k.as_str() > after)
            .take(limit)
            .map(|key| Entry {
                key: key.clone(),
                value: state.current[key].0.clone(),
                version: state.current[key].1,
            })
            .collect())
    }

    fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        _lease: Option<LeaseId>,
    ) -> Result<Version, StoreError> {
        self.write(Write {
            key: key.into(),
            value: Some(value.into()),
            expect,
        })
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<(), StoreError> {
        let write = Write {
            key: key.into(),
            value: None,
            expect,
        };
        self.write(write).map(drop)
    }

    fn watch(&self, _: &str, _: Version, _: Span) -> Result<Option<Entry>, StoreError> {
        Ok(None)
    }

    fn grant(&self, _: Span) -> Result<LeaseId, StoreError> {
        Err(StoreError::Refused("not used".into()))
    }

    fn renew(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }

    fn revoke(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}
