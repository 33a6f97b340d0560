//! Customers of the operator's configuration.

use std::fmt;

use arcstr::ArcStr;

/// A key with which the callers of a customer identify themselves.
#[derive(Clone, PartialEq, Eq, Hash)]
pub(crate) struct Key {
    /// Stands for the key in the history and in messages.
    pub(crate) id: ArcStr,
    /// What callers send. Never shown, so that it is in no file of the soak by which a log of a
    /// host could be taken to contain it.
    pub(crate) text: ArcStr,
}

impl fmt::Debug for Key {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "Key({})", self.id)
    }
}

/// What a configuration holds of a customer.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Customer {
    pub(crate) name: ArcStr,
    pub(crate) keys: Vec<Key>,
    /// Share of the customer when the workers are full.
    pub(crate) weight: u32,
    /// Millicores that its tasks may occupy on all workers together; 0 for no limit.
    pub(crate) max_cpu: u64,
    /// Mebibytes that its tasks may occupy on all workers together; 0 for no limit.
    pub(crate) max_memory: u64,
}
