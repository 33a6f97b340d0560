//! The host list, which lags behind the hosts' actual state.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use indexmap::IndexMap;
use jujubelb::hosts::{HostEntry, HostListResponse};
use jujubelb::model::{Span, Time};
use rocket::serde::json::Json;
use rocket::{Build, Rocket, State, get, routes};

use super::platform::Clock;

/// Time from a change to its appearance in the list.
pub const LAG: Span = Span::from_secs(1);

#[derive(Debug)]
struct Listed {
    leaving: bool,
    /// When the list shows the state.
    shown: Time,
    /// What the list shows until then, and since when: nothing for a new host.
    before: Option<(bool, Time)>,
}

impl Listed {
    /// The state in the list at this time, and since when.
    fn at(&self, now: Time) -> Option<(bool, Time)> {
        if self.shown <= now {
            Some((self.leaving, self.shown))
        } else {
            self.before
        }
    }
}

/// The list.
#[derive(Debug, Default)]
pub struct HostTable {
    hosts: Mutex<IndexMap<SocketAddr, Listed>>,
}

impl HostTable {
    /// Adds a live host, or changes whether it is leaving.
    pub fn set(&self, now: Time, address: SocketAddr, leaving: bool) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let before = hosts.get(&address).and_then(|h| h.at(now));
        let shown = now + LAG;
        hosts.insert(
            address,
            Listed {
                leaving,
                shown,
                before,
            },
        );
    }

    /// The list as shown at this time. Its version is the time of the newest change shown.
    pub fn answer(&self, now: Time, after: u64) -> HostListResponse {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = hosts.values().filter_map(|h| h.at(now));
        let version = changes
            .map(|(_, since)| since)
            .max()
            .unwrap_or_default()
            .as_micros();
        let state = |(address, h): (&SocketAddr, &Listed)| {
            Some(HostEntry {
                address: address.ip(),
                port: Some(address.port()),
                leaving: h.at(now)?.0,
            })
        };
        HostListResponse {
            version,
            hosts: (version != after).then(|| hosts.iter().filter_map(state).collect()),
        }
    }
}

#[get("/v1/hosts?<after>")]
fn list(hosts: &State<(Arc<HostTable>, Clock)>, after: Option<u64>) -> Json<HostListResponse> {
    let (table, clock) = &**hosts;
    Json(table.answer(clock.now(), after.unwrap_or(0)))
}

/// Adds the list's route to a server.
pub(super) fn mount(rocket: Rocket<Build>, table: Arc<HostTable>, clock: Clock) -> Rocket<Build> {
    rocket.manage((table, clock)).mount("/", routes![list])
}

#[cfg(test)]
mod tests;
