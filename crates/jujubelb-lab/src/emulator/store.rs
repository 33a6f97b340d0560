//! The platform's key-value store: keys with revisions, transactions, leases and a history
//! that is forgotten. Pure state; the present time is an argument.

use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};
use std::time::Duration;

use indexmap::{IndexMap, IndexSet};

/// A change of a key, or its current state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Item {
    pub(crate) key: String,
    /// `None` if the key was removed.
    pub(crate) value: Option<Vec<u8>>,
    pub(crate) revision: u64,
    /// Revision at which the key was created.
    pub(crate) created: u64,
    /// Lease to which the key is bound; 0 for none.
    pub(crate) lease: u64,
}

/// A transaction.
#[derive(Debug, Clone, Default)]
pub(crate) struct Txn {
    /// Keys and the revisions of their last change; 0 for a key that doesn't exist.
    pub(crate) expected: Vec<(String, u64)>,
    /// Keys, values and leases.
    pub(crate) puts: Vec<(String, Vec<u8>, u64)>,
    pub(crate) deletes: Vec<String>,
}

/// Why a transaction had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TxnFailure {
    /// A key is not at its expected revision; holds the current state of the expected keys.
    Conflict(Vec<Item>),
    /// There is no such lease.
    NoLease,
}

#[derive(Debug)]
struct Lease {
    length: Duration,
    ends: Duration,
}

/// The state of the store. Times are counted from the start of the emulator.
#[derive(Debug)]
pub(crate) struct Store {
    /// Grows with each change.
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Changes with the time at which they were made, oldest first.
    history: VecDeque<(Duration, Item)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
    leases: IndexMap<u64, Lease>,
    last_lease: u64,
    /// How long changes are kept.
    kept: Duration,
}

impl Store {
    pub(crate) fn new(kept: Duration) -> Self {
        Self {
            revision: 1,
            items: BTreeMap::new(),
            history: VecDeque::new(),
            forgotten: 0,
            leases: IndexMap::new(),
            last_lease: 0,
            kept,
        }
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Up to `limit` keys with a prefix that follow `after`, and whether there are more.
    pub(crate) fn range(&self, prefix: &str, after: &str, limit: usize) -> (Vec<Item>, bool) {
        let from = match after >= prefix {
            true => Excluded(after),
            false => std::ops::Bound::Included(prefix),
        };
        let mut found = self
            .items
            .range::<str, _>((from, Unbounded))
            .map(|(_, item)| item)
            .take_while(|item| item.key.starts_with(prefix));
        let items = found.by_ref().take(limit).cloned().collect();
        (items, found.next().is_some())
    }

    /// Changes of keys with a prefix after a revision; `None` if they are forgotten.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> Option<Vec<Item>> {
        if after < self.forgotten {
            return None;
        }
        let changes = self.history.iter().map(|(_, item)| item);
        let wanted = changes.filter(|i| i.revision > after && i.key.starts_with(prefix));
        Some(wanted.cloned().collect())
    }

    /// Makes all changes of a transaction, or none. Returns their revision.
    pub(crate) fn txn(&mut self, txn: Txn, now: Duration) -> Result<u64, TxnFailure> {
        let current = |key: &str| self.items.get(key).map_or(0, |i| i.revision);
        if txn.expected.iter().any(|(key, at)| current(key) != *at) {
            let items = txn.expected.iter().filter_map(|(k, _)| self.items.get(k));
            return Err(TxnFailure::Conflict(items.cloned().collect()));
        }
        let known = |lease: &u64| *lease == 0 || self.leases.contains_key(lease);
        if !txn.puts.iter().all(|(_, _, lease)| known(lease)) {
            return Err(TxnFailure::NoLease);
        }
        self.revision += 1;
        for (key, value, lease) in txn.puts {
            self.put(key, value, lease, now);
        }
        for key in txn.deletes {
            self.remove(&key, now);
        }
        Ok(self.revision)
    }

    /// Writes one key without a condition.
    pub(crate) fn write(&mut self, key: &str, value: Vec<u8>, now: Duration) -> u64 {
        self.revision += 1;
        self.put(key.to_owned(), value, 0, now);
        self.revision
    }

    /// Removes one key.
    pub(crate) fn delete(&mut self, key: &str, now: Duration) {
        self.revision += 1;
        self.remove(key, now);
    }

    fn put(&mut self, key: String, value: Vec<u8>, lease: u64, now: Duration) {
        let created = self.items.get(&key).map_or(self.revision, |i| i.created);
        let item = Item {
            key: key.clone(),
            value: Some(value),
            revision: self.revision,
            created,
            lease,
        };
        self.history.push_back((now, item.clone()));
        self.items.insert(key, item);
    }

    fn remove(&mut self, key: &str, now: Duration) {
        if let Some(item) = self.items.remove(key) {
            let gone = Item {
                value: None,
                revision: self.revision,
                ..item
            };
            self.history.push_back((now, gone));
        }
    }

    pub(crate) fn grant(&mut self, length: Duration, now: Duration) -> u64 {
        self.last_lease += 1;
        let ends = now + length;
        self.leases.insert(self.last_lease, Lease { length, ends });
        self.last_lease
    }

    /// Renews a lease. Returns its length, or `None` if it has ended.
    pub(crate) fn renew(&mut self, lease: u64, now: Duration) -> Option<Duration> {
        let lease = self.leases.get_mut(&lease)?;
        lease.ends = now + lease.length;
        Some(lease.length)
    }

    /// Ends a lease and removes its keys. Returns whether there was one.
    pub(crate) fn end_lease(&mut self, lease: u64, now: Duration) -> bool {
        let known = self.leases.swap_remove(&lease).is_some();
        self.remove_unleased(now);
        known
    }

    /// Ends the leases that are due, and forgets old changes.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.leases.retain(|_, lease| lease.ends > now);
        self.remove_unleased(now);
        while let Some((made, item)) = self.history.front()
            && *made + self.kept < now
        {
            self.forgotten = item.revision;
            self.history.pop_front();
        }
    }

    /// Moves the ends of all leases, as a store does that was down.
    pub(crate) fn extend_leases(&mut self, by: Duration) {
        for lease in self.leases.values_mut() {
            lease.ends += by;
        }
    }

    /// Forgets all changes so far.
    pub(crate) fn forget_history(&mut self) {
        self.forgotten = self.revision;
        self.history.clear();
    }

    fn remove_unleased(&mut self, now: Duration) {
        let ended = |i: &&Item| i.lease != 0 && !self.leases.contains_key(&i.lease);
        let keys: IndexSet<String> = self
            .items
            .values()
            .filter(ended)
            .map(|i| i.key.clone())
            .collect();
        for key in keys {
            self.delete(&key, now);
        }
    }
}
