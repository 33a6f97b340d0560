//! Calls to the policy service that names the workers for a step.

use std::net::SocketAddr;

use arcstr::ArcStr;
use reqwest::Method;
use serde::{Deserialize, Serialize};

use super::client::{Call, CallError, Client};
use crate::dispatch::{TicketGrant, TicketRequest};
use crate::model::{Span, WorkerName};

/// Time for an answer. The service takes its time for each worker that is named
/// and serves the calls of a host in turn.
const LIMIT: Span = Span::from_secs(5);

#[derive(Debug, Serialize)]
struct WireQuestion<'a> {
    step: String,
    workers: &'a [WorkerName],
}

#[derive(Debug, Deserialize)]
struct WireGrant {
    #[serde(default)]
    granted: Vec<(WorkerName, ArcStr)>,
    valid_ms: f64,
}

/// Client of the policy service.
#[derive(Debug, Clone)]
pub struct Advice {
    client: Client,
    address: SocketAddr,
}

impl Advice {
    /// A client of the service at an address.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Asks which workers may run a step.
    pub async fn ask(&self, question: &TicketRequest) -> Result<TicketGrant, CallError> {
        let body = WireQuestion {
            step: question.step.to_string(),
            workers: &question.workers,
        };
        let answer = self
            .client
            .call(Call {
                peer: self.address,
                method: Method::POST,
                path: "/advise",
                query: &[],
                headers: &[],
                body: Some(&body),
                limit: LIMIT,
            })
            .await?;
        match answer.status.as_u16() {
            200 => Ok(grant(answer.json()?)),
            _ => Err(answer.unexpected()),
        }
    }
}

fn grant(wire: WireGrant) -> TicketGrant {
    TicketGrant {
        tickets: wire.granted,
        lifetime: Span::from_micros((wire.valid_ms.max(0.0) * 1e3) as u64),
    }
}

/// Decodes an answer; for tests of the format.
#[cfg(test)]
pub(crate) fn decode_grant(text: &str) -> Result<TicketGrant, serde_json::Error> {
    serde_json::from_str(text).map(grant)
}
