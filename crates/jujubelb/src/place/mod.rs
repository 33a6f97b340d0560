//! Placement of tasks on workers: capacity, quotas, fair sharing, interference between
//! tasks and services and its mitigation, and attribution of failures.

use serde::{Deserialize, Serialize};

use crate::model::{ServiceName, Span, WorkerName};

mod attribution;
mod capacity;
mod fair_queue;
pub(crate) mod headroom;
pub(crate) mod interference;
mod mitigation;
mod policy;
mod quota;
mod selection;
pub(crate) mod share;
mod slow_start;

pub use policy::PlacementPolicy;
pub(crate) use quota::component_min;

/// Latency of a service's endpoints on one worker in one reporting interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// Service of the endpoints.
    pub service: ServiceName,
    /// Worker on whose host the endpoints run.
    pub worker: WorkerName,
    /// Mean latency of the endpoints, without the time queued in the entry process.
    pub mean: Span,
    /// Number of requests measured.
    pub count: u32,
    /// Mean number of requests in flight, in permille of the endpoints' slots.
    pub load: u32,
    /// Age of the measurement when it was sent.
    pub age: Span,
}
