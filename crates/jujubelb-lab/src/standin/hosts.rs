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
struct ListedHost {
    leaving: bool,
    /// Time from which the list contains the current state.
    visible_at: Time,
    /// State in the list until then, and since when; absent for a new host.
    previous: Option<(bool, Time)>,
}

impl ListedHost {
    /// The state in the list at this time, and since when.
    fn visible_state(&self, now: Time) -> Option<(bool, Time)> {
        if self.visible_at <= now {
            Some((self.leaving, self.visible_at))
        } else {
            self.previous
        }
    }
}

/// All hosts with their current state and their delayed state in the list.
#[derive(Debug, Default)]
pub struct HostTable {
    hosts: Mutex<IndexMap<SocketAddr, ListedHost>>,
}

impl HostTable {
    /// Adds a live host, or changes whether it is leaving.
    pub fn set(&self, now: Time, address: SocketAddr, leaving: bool) {
        let mut hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let previous = hosts.get(&address).and_then(|h| h.visible_state(now));
        let visible_at = now + LAG;
        hosts.insert(
            address,
            ListedHost {
                leaving,
                visible_at,
                previous,
            },
        );
    }

    /// Returns the list at this time; its version is the time of its newest change in microseconds.
    pub fn answer(&self, now: Time, after: u64) -> HostListResponse {
        let hosts = self.hosts.lock().unwrap_or_else(PoisonError::into_inner);
        let changes = hosts.values().filter_map(|h| h.visible_state(now));
        let version = changes
            .map(|(_, since)| since)
            .max()
            .unwrap_or_default()
            .as_micros();
        let state = |(address, h): (&SocketAddr, &ListedHost)| {
            Some(HostEntry {
                address: address.ip(),
                port: Some(address.port()),
                leaving: h.visible_state(now)?.0,
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
