//! Placement: capacity, quotas, fair sharing, interference, reaction and attribution of failures.

use serde::{Deserialize, Serialize};

use crate::model::{ServiceName, Span, WorkerName};

mod attribution;
mod capacity;
mod choose;
mod fair;
pub(crate) mod headroom;
pub(crate) mod interference;
mod policy;
mod quota;
mod ramp;
mod reaction;

pub use policy::PlacementPolicy;

/// Latency of a service's endpoints on one worker over one interval.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LatencyReport {
    /// The service.
    pub service: ServiceName,
    /// The worker host of the endpoints.
    pub worker: WorkerName,
    /// Mean latency of the endpoints, without queueing in the entry process.
    pub mean: Span,
    /// Requests measured.
    pub count: u32,
    /// Mean requests in flight, in thousandths of the endpoints' slots.
    pub load: u32,
    /// Age of the measurement when it was sent.
    pub age: Span,
}
