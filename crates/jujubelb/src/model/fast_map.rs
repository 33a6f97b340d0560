//! Map for the state that scheduling passes read millions of times a second.

use indexmap::IndexMap;

/// An [`IndexMap`] with a hash that is several times as fast as the default one. It is
/// seeded in each process, but does not resist an attacker who chooses keys by the time that
/// lookups take. Callers choose the identifiers of jobs, but can't observe that time.
pub(crate) type FastMap<K, V> = IndexMap<K, V, foldhash::fast::RandomState>;
