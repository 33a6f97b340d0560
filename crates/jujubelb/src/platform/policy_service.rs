//! Client of the policy service, which names the workers that may run a step.

use std::net::SocketAddr;

use arcstr::ArcStr;
use reqwest::Method;
use serde::{Deserialize, Serialize};

use super::client::{CallError, HttpClient, HttpRequest};
use super::numbers::Millis;
use crate::dispatch::{TicketGrant, TicketRequest};
use crate::model::{Span, WorkerName};

/// Timeout of a call. The service needs time for each worker in the request and
/// handles the calls of a host one after the other.
const CALL_TIMEOUT: Span = Span::from_secs(5);

#[derive(Debug, Serialize)]
struct WireTicketRequest<'a> {
    step: String,
    workers: &'a [WorkerName],
}

#[derive(Debug, Deserialize)]
struct WireTicketGrant {
    /// Allowed workers, each with a ticket.
    #[serde(default)]
    granted: Vec<(WorkerName, ArcStr)>,
    /// How long the tickets are valid.
    valid_ms: Millis,
}

/// Client of the policy service.
#[derive(Debug, Clone)]
pub struct PolicyClient {
    client: HttpClient,
    address: SocketAddr,
}

impl PolicyClient {
    /// Creates a client of the service at an address.
    pub fn new(client: HttpClient, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Asks which of the named workers may run a step, and for a ticket for each of them.
    /// Tickets have to be presented when a run starts.
    pub async fn request_tickets(&self, request: &TicketRequest) -> Result<TicketGrant, CallError> {
        let body = WireTicketRequest {
            step: request.step.to_string(),
            workers: &request.workers,
        };
        let response = self
            .client
            .call(HttpRequest {
                peer: self.address,
                method: Method::POST,
                path: "/advise",
                query: &[],
                headers: &[],
                body: Some(&body),
                timeout: CALL_TIMEOUT,
            })
            .await?;
        match response.status.as_u16() {
            200 => Ok(decode_wire_grant(response.json()?)),
            _ => Err(response.unexpected_status()),
        }
    }
}

fn decode_wire_grant(wire: WireTicketGrant) -> TicketGrant {
    TicketGrant {
        tickets: wire.granted,
        lifetime: wire.valid_ms.0,
    }
}

/// Decodes a response body; for tests of the format.
#[cfg(test)]
pub(crate) fn decode_grant(text: &str) -> Result<TicketGrant, serde_json::Error> {
    serde_json::from_str(text).map(decode_wire_grant)
}
