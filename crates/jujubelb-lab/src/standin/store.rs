//! In-memory store with compare-and-swap, leases and watches, and with injected faults.

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use jujubelb::model::Span;
use jujubelb::store::{Entry, Expect, LeaseId, MAX_VALUE_BYTES, Store, StoreError, Version};

/// Injected faults of the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Faults {
    /// Every call is refused.
    pub down: bool,
    /// Each call takes this much longer.
    pub delay: Span,
    /// The response to each n-th write is lost after the write took effect; 0 means none.
    pub lose: u32,
}

/// Number and size of the calls so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Calls {
    /// Reads and waiting watches.
    pub reads: u64,
    /// Writes, deletes and lease calls.
    pub writes: u64,
    /// Bytes of keys and values transferred.
    pub bytes: u64,
}

#[derive(Debug)]
struct Value {
    bytes: Vec<u8>,
    version: Version,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Span,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    keys: BTreeMap<String, Value>,
    leases: IndexMap<LeaseId, Lease>,
    version: u64,
    faults: Faults,
    calls: Calls,
}

/// The store. Calls from several threads are served one after the other.
#[derive(Debug, Default)]
pub struct MemoryStore {
    state: Mutex<State>,
    changed: Condvar,
}

impl MemoryStore {
    /// Replaces all injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Calls that were not refused by an outage.
    pub fn calls(&self) -> Calls {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a call: counts it, applies delay and outage, expires leases.
    fn begin_call(&self, write: bool, bytes: usize) -> Result<MutexGuard<'_, State>, StoreError> {
        let delay = self.lock().faults.delay;
        if delay > Span::ZERO {
            std::thread::sleep(delay.to_std());
        }
        let mut state = self.lock();
        if state.faults.down {
            return Err(StoreError::Refused("the service is down".into()));
        }
        state.calls.writes += u64::from(write);
        state.calls.reads += u64::from(!write);
        state.calls.bytes += bytes as u64;
        state.expire(Instant::now());
        Ok(state)
    }

    /// Completes a write: wakes the watchers and, if that fault is set, loses the response.
    fn finish_write<T>(&self, state: &State, result: T) -> Result<T, StoreError> {
        self.changed.notify_all();
        let lose = u64::from(state.faults.lose);
        if lose > 0 && state.calls.writes.is_multiple_of(lose) {
            return Err(StoreError::Unknown("the answer was lost".into()));
        }
        Ok(result)
    }
}

impl State {
    fn expire(&mut self, now: Instant) {
        let ended: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, t)| t.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.remove_lease(lease);
        }
    }

    fn remove_lease(&mut self, lease: LeaseId) {
        self.leases.shift_remove(&lease);
        self.keys.retain(|_, v| v.lease != Some(lease));
    }

    fn check_condition(&self, key: &str, expect: Expect) -> Result<(), StoreError> {
        let current = self.keys.get(key).map(|v| v.version);
        let holds = match expect {
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current == Some(version),
            Expect::Any => true,
        };
        if holds {
            Ok(())
        } else {
            Err(StoreError::Conflict { current })
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.keys.get(key).map(|v| Entry {
            key: key.to_owned(),
            value: v.bytes.clone(),
            version: v.version,
        })
    }
}

impl Store for MemoryStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let mut state = self.begin_call(false, key.len())?;
        let entry = state.entry(key);
        state.calls.bytes += entry.as_ref().map_or(0, |e| e.value.len() as u64);
        Ok(entry)
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError> {
        let mut state = self.begin_call(false, prefix.len())?;
        let from = if after > prefix { after } else { prefix };
        let entries: Vec<Entry> = state
            .keys
            .range(from.to_owned()..)
            .map(|(k, _)| k.as_str())
            .filter(|k| *k > after)
            .take_while(|k| k.starts_with(prefix))
            .take(limit)
            .filter_map(|k| state.entry(k))
            .collect();
        state.calls.bytes += entries.iter().map(|e| e.value.len() as u64).sum::<u64>();
        Ok(entries)
    }

    fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Version, StoreError> {
        let mut state = self.begin_call(true, key.len() + value.len())?;
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge {
                size: value.len(),
                limit: MAX_VALUE_BYTES,
            });
        }
        if lease.is_some_and(|l| !state.leases.contains_key(&l)) {
            return Err(StoreError::LeaseEnded);
        }
        state.check_condition(key, expect)?;
        state.version += 1;
        let version = Version(state.version);
        let stored = Value {
            bytes: value.to_vec(),
            version,
            lease,
        };
        state.keys.insert(key.to_owned(), stored);
        self.finish_write(&state, version)
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<(), StoreError> {
        let mut state = self.begin_call(true, key.len())?;
        if state.keys.contains_key(key) {
            state.check_condition(key, expect)?;
        }
        state.keys.remove(key);
        self.finish_write(&state, ())
    }

    fn watch(&self, key: &str, after: Version, wait: Span) -> Result<Option<Entry>, StoreError> {
        let until = Instant::now() + wait.to_std();
        let mut state = self.begin_call(false, key.len())?;
        loop {
            if let Some(entry) = state.entry(key).filter(|e| e.version > after) {
                return Ok(Some(entry));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left == Duration::ZERO {
                return Ok(None);
            }
            let woken = self.changed.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError> {
        let mut state = self.begin_call(true, 8)?;
        state.version += 1;
        let lease = LeaseId(state.version);
        let expires_at = Instant::now() + ttl.to_std();
        state.leases.insert(lease, Lease { ttl, expires_at });
        self.finish_write(&state, lease)
    }

    fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let mut state = self.begin_call(true, 8)?;
        let now = Instant::now();
        let Some(granted) = state.leases.get_mut(&lease) else {
            return Err(StoreError::LeaseEnded);
        };
        granted.expires_at = now + granted.ttl.to_std();
        self.finish_write(&state, ())
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let mut state = self.begin_call(true, 8)?;
        state.remove_lease(lease);
        self.finish_write(&state, ())
    }
}

#[cfg(test)]
mod tests;
