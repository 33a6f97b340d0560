//! Rule on configurations: hosts in touch follow the newest one after its bound.

use std::time::Duration;

use arcstr::ArcStr;

use super::{CONTACT, Calm, RESOLUTION, Violation};
use crate::emulator::history::{Record, What};

/// Time after the acknowledgement of a configuration from which it applies.
pub(super) const CONFIG: Duration = Duration::from_millis(2_500);

pub(super) fn check(record: &Record, calm: &Calm, found: &mut Vec<Violation>) {
    let mut newest: Option<(Duration, &[ArcStr])> = None;
    for event in &record.events {
        match &event.what {
            What::Configured { prefixes, .. } => newest = Some((event.at, prefixes)),
            What::QueueShown {
                host,
                prefix,
                asked,
                exists,
            } => {
                let Some((acknowledged, prefixes)) = newest else {
                    continue;
                };
                let due = *asked > acknowledged + CONFIG + RESOLUTION;
                let in_touch = calm.holds(asked.saturating_sub(CONTACT), event.at);
                if due && in_touch && prefixes.contains(prefix) != *exists {
                    let state = if *exists { "exists" } else { "does not exist" };
                    found.push(Violation {
                        rule: "CONFIG",
                        at: event.at,
                        subject: None,
                        text: format!(
                            "host {host} says that {prefix} {state}, {:.3} s after the change",
                            (*asked - acknowledged).as_secs_f64()
                        ),
                    });
                }
            }
            _ => {}
        }
    }
}
