//! Customers in the operator's configuration, and the keys that callers present.

use std::fmt;

use indexmap::IndexMap;
use indexmap::map::Entry;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::store_entries::{MAX_NAME_BYTES, WireCapacity};
use crate::dispatch::CustomerPolicy;
use crate::model::{CustomerName, Resources};

/// Header in which a caller presents its key.
pub const KEY_HEADER: &str = "Authorization";

/// Scheme of [`KEY_HEADER`], which precedes the key.
pub const KEY_SCHEME: &str = "Token";

/// Longest list of problems that is logged for one configuration.
const MAX_LOGGED_PROBLEMS: usize = 20;

/// Digest that stands for a key. The key can't be derived from it, and no form of it for people
/// shows even the digest.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        Self(blake3::hash(key.as_bytes()).into())
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Digest of the key in the value of [`KEY_HEADER`]; `None` without a key of this scheme.
pub fn decode_key(header: Option<&str>) -> Option<KeyDigest> {
    let (scheme, key) = header?.trim().split_once(' ')?;
    let key = key.trim();
    (scheme.eq_ignore_ascii_case(KEY_SCHEME) && !key.is_empty()).then(|| KeyDigest::of(key))
}

/// The keys of a deployment with customers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerKeys {
    owners: IndexMap<KeyDigest, CustomerName>,
    /// Number of customers that could not be decoded. Their keys are not in `owners`.
    unreadable: usize,
}

impl CustomerKeys {
    /// The customer to whom a key belongs.
    pub fn owner(&self, key: &KeyDigest) -> Option<&CustomerName> {
        self.owners.get(key)
    }

    /// Whether all customers could be decoded, so that a key without an owner is unknown.
    pub fn is_complete(&self) -> bool {
        self.unreadable == 0
    }
}

/// The customers of a configuration, with their keys.
#[derive(Debug, Default)]
pub(super) struct Customers {
    pub(super) policy: IndexMap<CustomerName, CustomerPolicy>,
    pub(super) keys: CustomerKeys,
}

/// One customer. The values of its fields are not shown in errors, since a key may be among them.
struct Customer {
    name: CustomerName,
    keys: Vec<KeyDigest>,
    policy: CustomerPolicy,
    has_weight: bool,
}

impl Customer {
    fn decode(name: CustomerName, entry: &Value) -> Result<Self, &'static str> {
        let keys: Vec<String> = field(entry, "api_keys")?.unwrap_or_default();
        let weight: u32 = field(entry, "weight")?.unwrap_or_default();
        // A list would be decoded as well, and an empty one as no limit.
        if entry
            .get("max_count")
            .is_some_and(|limit| !limit.is_object())
        {
            return Err("max_count");
        }
        let limit: Option<WireCapacity> = field(entry, "max_count")?;
        let limit = limit.map_or_else(Resources::default, |l| {
            Resources::new(l.cpu.0, l.mem_mb.0.0, l.gpu)
        });
        Ok(Self {
            name,
            // An empty key would let a caller in that presents none.
            keys: keys
                .iter()
                .map(|key| key.trim())
                .filter(|key| !key.is_empty())
                .map(KeyDigest::of)
                .collect(),
            policy: CustomerPolicy {
                weight: weight.max(1),
                limit,
            },
            has_weight: weight > 0,
        })
    }
}

/// Decodes a field of an entry; `None` if it is missing. An error names the field only.
fn field<T: DeserializeOwned>(
    entry: &Value,
    name: &'static str,
) -> Result<Option<T>, &'static str> {
    let value = entry.get(name);
    value
        .map(|v| T::deserialize(v))
        .transpose()
        .map_err(|_| name)
}

fn decode_name(entry: &Value) -> Option<CustomerName> {
    let name = entry.get("name")?.as_str()?;
    (!name.is_empty() && name.len() <= MAX_NAME_BYTES).then(|| CustomerName::from(name))
}

/// Logs the first problems of a configuration, and how many there are.
struct ProblemLog {
    version: u64,
    count: usize,
}

impl ProblemLog {
    /// Whether the next problem is to be logged.
    fn admits(&mut self) -> bool {
        self.count += 1;
        self.count <= MAX_LOGGED_PROBLEMS
    }

    fn finish(&self) {
        if self.count > MAX_LOGGED_PROBLEMS {
            log::error!(version = self.version, problems = self.count, logged = MAX_LOGGED_PROBLEMS; "more problems with customers of the configuration than are logged");
        }
    }
}

/// Decodes the customers of a configuration. One that can't be decoded is logged and counted.
pub(super) fn decode_customers(version: u64, list: &Value) -> Customers {
    let mut customers = Customers::default();
    let mut problems = ProblemLog { version, count: 0 };
    let Some(entries) = list.as_array() else {
        customers.keys.unreadable = 1;
        log::error!(version = version; "the customers of the configuration are not a list; no key is known");
        return customers;
    };
    for (position, entry) in entries.iter().enumerate() {
        let Some(name) = decode_name(entry) else {
            customers.keys.unreadable += 1;
            if problems.admits() {
                log::error!(version = version, position = position; "customer without a usable name; its keys are not known");
            }
            continue;
        };
        match Customer::decode(name.clone(), entry) {
            Ok(customer) => customers.add(customer, &mut problems),
            Err(wrong) => {
                customers.keys.unreadable += 1;
                if problems.admits() {
                    log::error!(version = version, customer:% = name, field = wrong; "customer can't be decoded: wrong type or range; its keys are not known");
                }
            }
        }
    }
    problems.finish();
    customers
}

impl Customers {
    fn add(&mut self, customer: Customer, problems: &mut ProblemLog) {
        let version = problems.version;
        let name = customer.name;
        if !customer.has_weight && problems.admits() {
            log::warn!(version = version, customer:% = name; "customer without a weight; it counts as 1");
        }
        match self.policy.entry(name.clone()) {
            Entry::Vacant(entry) => {
                entry.insert(customer.policy);
            }
            Entry::Occupied(_) if problems.admits() => {
                log::error!(version = version, customer:% = name; "customer listed twice; the first weight and limit are used, and all its keys");
            }
            Entry::Occupied(_) => {}
        }
        for digest in customer.keys {
            let owner = self
                .keys
                .owners
                .entry(digest)
                .or_insert_with(|| name.clone());
            if *owner != name && problems.admits() {
                log::error!(version = version, customer:% = name, owner:% = owner; "a key of this customer belongs to an earlier one; the earlier one keeps it");
            }
        }
    }
}
