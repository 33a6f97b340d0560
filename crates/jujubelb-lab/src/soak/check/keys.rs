//! Rules on keys of customers: which calls are served, and that no log shows a key.

use std::time::Duration;

use arcstr::ArcStr;
use indexmap::{IndexMap, IndexSet};

use super::config::CONFIG;
use super::{CONTACT, Calm, RESOLUTION, Violation};
use crate::emulator::customers::Customer;
use crate::emulator::history::{Answer, Record, What};

pub(super) fn check(record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
    let mut keys = Keys::default();
    // A configuration may be in force shortly before it is recorded.
    let mut configured = record
        .events
        .iter()
        .filter_map(|event| match &event.what {
            What::Configured { customers, .. } => Some((event.at, customers)),
            _ => None,
        })
        .peekable();
    let mut ever = IndexSet::new();
    for event in &record.events {
        while let Some((_, customers)) = configured.next_if(|(at, _)| *at <= event.at + RESOLUTION)
        {
            ever.extend(ids(customers));
        }
        let mut add = |rule, text| {
            found.push(Violation {
                rule,
                at: event.at,
                subject: None,
                text,
            });
        };
        match &event.what {
            What::Configured { customers, .. } => keys.apply(event.at, customers),
            What::KeyAnswered {
                host,
                key,
                asked,
                status,
            } => {
                let served = (200..300).contains(status);
                let Some(key) = key.as_ref().filter(|k| ever.contains(&k.id)) else {
                    if served {
                        let text = format!(
                            "host {host} answers {status} to a call with {key:?}, which no \
                             configuration held"
                        );
                        add("ROUTE", text);
                    }
                    continue;
                };
                let Some(&(since, held)) = keys.states.get(&key.id) else {
                    continue;
                };
                let due = *asked > since + CONFIG + RESOLUTION;
                let in_touch = calm.holds_for(*host, asked.saturating_sub(CONTACT), event.at);
                let is_late = if held { *status == 401 } else { served };
                if due && in_touch && is_late {
                    let change = if held { "added" } else { "withdrawn" };
                    let after = (*asked - since).as_secs_f64();
                    let text = format!(
                        "host {host} answers {status} to {key:?}, which was {change} {after:.3} s \
                         before the call"
                    );
                    add("CONFIG", text);
                }
            }
            What::SubmitAnswered { job, answer } => {
                let customer = record.jobs.get(job).map(|j| &j.customer);
                if customer == Some(&None) && *answer == Answer::Status(401) {
                    let text = format!("the submission of {job} to a public queue is answered 401");
                    add("CONFIG", text);
                }
            }
            What::KeyLogged { host, key } => {
                add(
                    "LEAK",
                    format!("the output of host {host} contains {key:?}"),
                );
            }
            _ => {}
        }
    }
}

fn ids(customers: &[Customer]) -> impl Iterator<Item = &ArcStr> {
    customers.iter().flat_map(|c| &c.keys).map(|k| &k.id)
}

/// Which keys the newest configuration holds.
#[derive(Default)]
struct Keys<'a> {
    /// Since when each key that was ever held is held, or is not held any more. A configuration
    /// that leaves a key as it was doesn't delay the bound.
    states: IndexMap<&'a ArcStr, (Duration, bool)>,
}

impl<'a> Keys<'a> {
    fn apply(&mut self, at: Duration, customers: &'a [Customer]) {
        let held: IndexSet<&ArcStr> = ids(customers).collect();
        for (id, state) in &mut self.states {
            if state.1 != held.contains(*id) {
                *state = (at, !state.1);
            }
        }
        for id in held {
            self.states.entry(id).or_insert((at, true));
        }
    }
}
