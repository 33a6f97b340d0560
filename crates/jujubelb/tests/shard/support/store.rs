//! An in-memory store with injected faults.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Mutex;

use indexmap::IndexSet;
use jujubelb::model::Span;
use jujubelb::store::{Entry, Expect, LeaseId, MAX_VALUE_BYTES, Store, StoreError, Version};

/// Fault of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteFault {
    /// The write is refused and has no effect.
    Refuse,
    /// The write takes effect and the reply is lost.
    LoseReply,
    /// The write has no effect and there is no reply.
    LoseRequest,
    /// There is no reply, and the write takes effect at `deliver_delayed`.
    Delay,
}

#[derive(Debug, Clone)]
struct Write {
    key: String,
    value: Vec<u8>,
    expect: Expect,
}

#[derive(Debug, Default)]
struct Inner {
    data: BTreeMap<String, Entry>,
    version: u64,
    leases: IndexSet<u64>,
    faults: VecDeque<WriteFault>,
    delayed: Vec<Write>,
    down: bool,
    /// First value written to each segment key, in order.
    segments: Vec<(String, Vec<u8>)>,
    seen_segments: IndexSet<String>,
    /// Whether conflicting writes of segments are reported as successful.
    fencing_disabled: bool,
}

type Hook = Box<dyn FnOnce() + Send>;

/// The simulated store.
#[derive(Default)]
pub struct FakeStore {
    inner: Mutex<Inner>,
    hook: Mutex<Option<Hook>>,
}

impl FakeStore {
    fn with<T>(&self, f: impl FnOnce(&mut Inner) -> T) -> T {
        f(&mut self.inner.lock().unwrap())
    }

    /// Applies these faults to the next writes, in order.
    pub fn fail_writes(&self, faults: impl IntoIterator<Item = WriteFault>) {
        self.with(|s| s.faults.extend(faults));
    }

    /// Removes all planned faults and ends an outage.
    pub fn clear_faults(&self) {
        self.with(|s| {
            s.faults.clear();
            s.down = false;
        });
    }

    /// Starts or ends an outage, in which all calls are refused.
    pub fn set_down(&self, down: bool) {
        self.with(|s| s.down = down);
    }

    pub fn is_down(&self) -> bool {
        self.with(|s| s.down)
    }

    /// Disables the condition of segment writes, so that the oracle can detect missing fencing.
    pub fn disable_fencing(&self) {
        self.with(|s| s.fencing_disabled = true);
    }

    /// Applies the delayed writes.
    pub fn deliver_delayed(&self) {
        self.with(|s| {
            for write in std::mem::take(&mut s.delayed) {
                let _ = s.write(&write);
            }
        });
    }

    /// Returns the segments written since the last call.
    pub fn take_segments(&self) -> Vec<(String, Vec<u8>)> {
        self.with(|s| std::mem::take(&mut s.segments))
    }

    /// Runs the hook after the next write was sent and before it takes effect.
    pub fn before_next_write(&self, hook: impl FnOnce() + Send + 'static) {
        *self.hook.lock().unwrap() = Some(Box::new(hook));
    }

    /// Changes a stored value without changing its version.
    pub fn corrupt(&self, key: &str, f: impl FnOnce(&mut Vec<u8>)) {
        self.with(|s| f(&mut s.data.get_mut(key).unwrap().value));
    }

    pub fn keys(&self) -> Vec<String> {
        self.with(|s| s.data.keys().cloned().collect())
    }
}

impl Inner {
    fn write(&mut self, write: &Write) -> Result<Version, StoreError> {
        if write.value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge {
                size: write.value.len(),
                limit: MAX_VALUE_BYTES,
            });
        }
        let current = self.data.get(&write.key).map(|e| e.version);
        let holds = match write.expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Version(v) => current == Some(v),
        };
        let segment = write.key.contains("/seg/");
        let forced = segment && self.fencing_disabled;
        if !holds && !forced {
            return Err(StoreError::Conflict { current });
        }
        self.version += 1;
        let version = Version(self.version);
        if segment && self.seen_segments.insert(write.key.clone()) {
            self.segments.push((write.key.clone(), write.value.clone()));
        }
        if holds {
            let entry = Entry {
                key: write.key.clone(),
                value: write.value.clone(),
                version,
            };
            self.data.insert(write.key.clone(), entry);
        }
        Ok(version)
    }

    fn check(&self) -> Result<(), StoreError> {
        match self.down {
            true => Err(StoreError::Refused("the store is down".into())),
            false => Ok(()),
        }
    }
}

impl Store for FakeStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        self.with(|s| {
            s.check()?;
            Ok(s.data.get(key).cloned())
        })
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError> {
        self.with(|s| {
            s.check()?;
            let matching = s.data.values().filter(|e| e.key.starts_with(prefix));
            let later = matching.filter(|e| e.key.as_str() > after);
            Ok(later.take(limit).cloned().collect())
        })
    }

    fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        _lease: Option<LeaseId>,
    ) -> Result<Version, StoreError> {
        let write = Write {
            key: key.into(),
            value: value.into(),
            expect,
        };
        let hook = self.hook.lock().unwrap().take();
        if let Some(hook) = hook {
            hook();
        }
        let lost = || StoreError::Unknown("the answer was lost".into());
        self.with(|s| {
            s.check()?;
            match s.faults.pop_front() {
                None => s.write(&write),
                Some(WriteFault::Refuse) => Err(StoreError::Refused("busy".into())),
                Some(WriteFault::LoseRequest) => Err(lost()),
                Some(WriteFault::LoseReply) => {
                    let _ = s.write(&write);
                    Err(lost())
                }
                Some(WriteFault::Delay) => {
                    s.delayed.push(write);
                    Err(lost())
                }
            }
        })
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<(), StoreError> {
        self.with(|s| {
            s.check()?;
            let current = s.data.get(key).map(|e| e.version);
            match expect {
                Expect::Version(v) if current != Some(v) => Err(StoreError::Conflict { current }),
                _ => {
                    s.data.remove(key);
                    Ok(())
                }
            }
        })
    }

    fn watch(&self, key: &str, after: Version, _wait: Span) -> Result<Option<Entry>, StoreError> {
        Ok(self.get(key)?.filter(|e| e.version > after))
    }

    fn grant(&self, _ttl: Span) -> Result<LeaseId, StoreError> {
        self.with(|s| {
            s.check()?;
            s.version += 1;
            s.leases.insert(s.version);
            Ok(LeaseId(s.version))
        })
    }

    fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.with(|s| {
            s.check()?;
            match s.leases.contains(&lease.0) {
                true => Ok(()),
                false => Err(StoreError::LeaseEnded),
            }
        })
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.with(|s| {
            s.check()?;
            s.leases.shift_remove(&lease.0);
            Ok(())
        })
    }
}
