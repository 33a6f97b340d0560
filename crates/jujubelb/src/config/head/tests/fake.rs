//! An in-memory store with scripted faults.

use std::collections::VecDeque;
use std::sync::Mutex;

use indexmap::IndexMap;

use crate::config::head::ApplyError;
use crate::config::head::{ApplyOutcome, Change, ContentCache, HEAD, Head, Sweeper, apply};
use crate::model::{Span, Time, WallTime};
use crate::store::{Entry, Expect, LeaseId, Store, StoreError, Version};

/// What happens to one call.
#[derive(Debug, Clone)]
pub(super) enum Fault {
    /// Nothing unusual.
    Fine,
    /// The store refuses it.
    Refused,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It is lost and takes no effect.
    RequestLost,
    /// The answer is lost and the write takes effect some calls later.
    Late(usize),
    /// A read returns the state from some versions ago.
    Stale(usize),
    /// This many sweeps run before the call, each long after the one before it.
    Sweep(usize),
    /// Another operator applies a change before the call.
    Race(Box<Change>),
}

#[derive(Default)]
struct State {
    now: IndexMap<String, (Vec<u8>, Version)>,
    /// States before each write, newest last, for stale reads.
    past: Vec<IndexMap<String, (Vec<u8>, Version)>>,
    version: u64,
    faults: VecDeque<Fault>,
    late: Vec<(usize, Write)>,
    /// Every head that was ever written.
    heads: Vec<Head>,
    /// Results of racing changes.
    raced: Vec<(Change, Result<ApplyOutcome, ApplyError>)>,
    depth: usize,
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
        let current = self.now.get(&write.key).map(|(_, v)| *v);
        let holds = match write.expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Version(v) => current == Some(v),
        };
        if !holds && (write.value.is_some() || current.is_some()) {
            return Err(StoreError::Conflict { current });
        }
        self.past.push(self.now.clone());
        self.version += 1;
        let version = Version(self.version);
        match &write.value {
            Some(value) => {
                if write.key == HEAD {
                    self.heads
                        .push(serde_json::from_slice(value).expect("a head"));
                }
                self.now.insert(write.key.clone(), (value.clone(), version));
            }
            None => {
                self.now.shift_remove(&write.key);
            }
        }
        Ok(version)
    }

    fn land_late(&mut self) {
        for (wait, _) in &mut self.late {
            *wait = wait.saturating_sub(1);
        }
        let due = |(wait, _): &mut (usize, Write)| *wait == 0;
        let due: Vec<_> = self.late.extract_if(.., due).collect();
        for (_, write) in due {
            let _ = self.write(&write);
        }
    }
}

#[derive(Default)]
pub(super) struct Fake(Mutex<State>);

impl Fake {
    pub(super) fn script(&self, faults: impl IntoIterator<Item = Fault>) {
        self.0.lock().expect("no panic").faults = faults.into_iter().collect();
    }

    pub(super) fn heads(&self) -> Vec<Head> {
        self.0.lock().expect("no panic").heads.clone()
    }

    pub(super) fn raced(&self) -> Vec<(Change, Result<ApplyOutcome, ApplyError>)> {
        self.0.lock().expect("no panic").raced.clone()
    }

    pub(super) fn keys(&self) -> Vec<String> {
        self.0
            .lock()
            .expect("no panic")
            .now
            .keys()
            .cloned()
            .collect()
    }

    /// Lets writes that are still on their way take effect.
    pub(super) fn settle(&self) {
        let mut state = self.0.lock().expect("no panic");
        for (wait, _) in &mut state.late {
            *wait = 1;
        }
        state.land_late();
    }

    fn fault(&self) -> Fault {
        let fault = {
            let mut state = self.0.lock().expect("no panic");
            state.land_late();
            if state.depth > 0 {
                return Fault::Fine;
            }
            state.faults.pop_front().unwrap_or(Fault::Fine)
        };
        if let Fault::Sweep(steps) = fault {
            (0..steps).for_each(|_| self.sweep());
            return Fault::Fine;
        }
        let Fault::Race(change) = fault else {
            return fault;
        };
        self.0.lock().expect("no panic").depth += 1;
        let result = apply(self, &mut ContentCache::default(), &change, WallTime::ZERO);
        let mut state = self.0.lock().expect("no panic");
        state.depth -= 1;
        state.raced.push((*change, result));
        Fault::Fine
    }

    /// One step of the sweeper, without faults.
    pub(super) fn sweep(&self) {
        let (mut sweeper, now) = {
            let mut state = self.0.lock().expect("no panic");
            state.depth += 1;
            state.clock = state.clock + Span::from_secs(2_000);
            (std::mem::take(&mut state.sweeper), state.clock)
        };
        let _ = sweeper.step(self, now);
        let mut state = self.0.lock().expect("no panic");
        state.depth -= 1;
        state.sweeper = sweeper;
    }

    fn write(&self, write: Write) -> Result<Version, StoreError> {
        let fault = self.fault();
        let mut state = self.0.lock().expect("no panic");
        match fault {
            Fault::Refused => Err(StoreError::Refused("down".into())),
            Fault::RequestLost => Err(StoreError::Unknown("lost".into())),
            Fault::AnswerLost => {
                let _ = state.write(&write);
                Err(StoreError::Unknown("lost".into()))
            }
            Fault::Late(calls) => {
                state.late.push((calls, write));
                Err(StoreError::Unknown("lost".into()))
            }
            _ => state.write(&write),
        }
    }
}

impl Store for Fake {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let fault = self.fault();
        let state = self.0.lock().expect("no panic");
        let view = match fault {
            Fault::Refused => return Err(StoreError::Refused("down".into())),
            Fault::RequestLost | Fault::AnswerLost | Fault::Late(_) => {
                return Err(StoreError::Unknown("lost".into()));
            }
            Fault::Stale(back) if state.past.len() >= back && back > 0 => {
                &state.past[state.past.len() - back]
            }
            _ => &state.now,
        };
        Ok(view.get(key).map(|(value, version)| Entry {
            key: key.into(),
            value: value.clone(),
            version: *version,
        }))
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError> {
        let state = self.0.lock().expect("no panic");
        let mut keys: Vec<_> = state.now.keys().filter(|k| k.starts_with(prefix)).collect();
        keys.sort();
        Ok(keys
            .into_iter()
            .filter(|k| k.as_str() > after)
            .take(limit)
            .map(|key| Entry {
                key: key.clone(),
                value: state.now[key].0.clone(),
                version: state.now[key].1,
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
