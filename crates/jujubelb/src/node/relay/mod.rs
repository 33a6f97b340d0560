//! Other hosts that call workers for the leader.
//!
//! A call to a worker costs a leader about ten times as much processor time as the
//! decision behind it, and the payload of a job crosses the link of the leader's host once
//! for each task. With many workers, or on a slow link, the leader therefore hands its
//! calls in batches to relays: hosts that announce themselves to the leader, of which it
//! chooses some in each failure domain.
//!
//! A relay decides nothing and keeps no state. Each call carries the term's fencing token,
//! start orders and leases carry a time on the worker's clock after which they have no
//! effect, and the leader treats a call without a result like a worker's missing answer. A
//! relay that was paused, or that serves a term that is over, is therefore as harmless as
//! an order that a worker executes late.

mod calls;
mod carrier;
mod gateway;
mod message;
mod selection;
#[cfg(test)]
mod tests;

pub(crate) use carrier::{Carrier, announce_host};
#[cfg(test)]
pub(crate) use gateway::RELAY_MARGIN;
pub(crate) use gateway::{OpenGateway, WorkerGateway, maintain_relays};
pub(crate) use message::{HostReport, RelayBatch, RelayResults};
