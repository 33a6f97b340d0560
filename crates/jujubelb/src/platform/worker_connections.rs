//! Connections to workers.
//!
//! A worker accepts 64 connections from all hosts together, so that one that is not going to be used
//! again takes a place that another host may need. A process that stops leading closes its
//! connections to workers, and one that stops relaying lets them become idle.

use serde::Serialize;

use super::client::{CallError, HttpClient, HttpRequest, HttpResponse};
use super::connections::ConnectionCounts;
use crate::model::Span;

/// How long an idle connection is kept. A process that calls a worker does so more often, since a
/// poll lasts 2 s at most.
const IDLE_TIMEOUT: Span = Span::from_secs(10);

/// Connections of this process to workers, of its terms as the leader and as a relay.
#[derive(Debug, Clone)]
pub(crate) struct WorkerConnections {
    client: HttpClient,
}

impl Default for WorkerConnections {
    fn default() -> Self {
        let client = HttpClient::new(IDLE_TIMEOUT);
        Self { client }
    }
}

impl WorkerConnections {
    pub(super) async fn call<B: Serialize>(
        &self,
        call: HttpRequest<'_, B>,
    ) -> Result<HttpResponse, CallError> {
        self.client.call(call).await
    }

    /// Closes all connections, those in use when their call ends.
    pub(crate) fn close_all(&self) {
        self.client.close_all();
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_unused(&self) {
        self.client.close_unused();
    }

    /// Numbers of connections to all workers.
    pub(crate) fn connection_counts(&self) -> ConnectionCounts {
        self.client.connection_counts()
    }
}
