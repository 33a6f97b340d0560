//! Sends an attempt to an endpoint and reads its complete response.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, StatusCode, Version};
use rocket::Request;

use super::headers;
use crate::http::response::EndpointResponse;
use crate::model::{Bytes, Span};
use crate::route::AttemptOutcome;

/// Time for establishing a connection. The latency between regions is 12 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Name of the deadline header in lower case, the form in which the HTTP client
/// compares names.
const LOWERCASE_DEADLINE: &str = "jujubelb-deadline-ms";

/// Time for which idle connections to an endpoint are kept open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// A request as it is sent to endpoints, the same for each attempt.
#[derive(Debug, Clone)]
pub(super) struct OutgoingRequest {
    pub(super) method: Method,
    /// Path and query without the prefix of the service.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Vec<u8>,
    /// Maximum size of the response's body in bytes.
    pub(super) response_limit: usize,
}

/// Creates the HTTP client for all attempts of a process.
pub(super) fn client() -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build()
}

/// The end-to-end headers of a caller's request. Headers that HTTP does not allow are
/// omitted.
pub(super) fn end_to_end_headers(request: &Request<'_>) -> HeaderMap {
    let listed = headers::connection_headers(request.headers().get("Connection"));
    let mut passed = HeaderMap::new();
    for header in request.headers().iter() {
        let name = header.name().as_str();
        if !headers::is_end_to_end(name, &listed) {
            continue;
        }
        let (Ok(name), Ok(value)) = (
            HeaderName::try_from(name),
            HeaderValue::from_str(header.value()),
        ) else {
            continue;
        };
        // The length and the deadline are set for each attempt.
        if name != HOST && name != CONTENT_LENGTH && name != LOWERCASE_DEADLINE {
            passed.append(name, value);
        }
    }
    passed
}

/// Sends an attempt. Incomplete responses count as broken.
pub(super) async fn send_attempt(
    client: &Client,
    address: SocketAddr,
    outgoing: &OutgoingRequest,
    timeout: Span,
) -> (AttemptOutcome, Option<EndpointResponse>) {
    match tokio::time::timeout(
        timeout.to_std(),
        exchange(client, address, outgoing, timeout),
    )
    .await
    {
        Ok(Ok((outcome, endpoint_response))) => (
            outcome,
            Some(endpoint_response).filter(|_| outcome != AttemptOutcome::Declined),
        ),
        Ok(Err(outcome)) => (outcome, None),
        Err(_) => (AttemptOutcome::TimedOut, None),
    }
}

async fn exchange(
    client: &Client,
    address: SocketAddr,
    outgoing: &OutgoingRequest,
    timeout: Span,
) -> Result<(AttemptOutcome, EndpointResponse), AttemptOutcome> {
    let url = format!("http://{address}{}", outgoing.target);
    let remaining_ms = timeout.as_millis().max(1).to_string();
    let mut response = client
        .request(outgoing.method.clone(), url)
        .headers(outgoing.headers.clone())
        .header(headers::DEADLINE, remaining_ms)
        .body(outgoing.body.clone())
        .send()
        .await
        .map_err(|error| match error {
            error if error.is_connect() || error.is_builder() => AttemptOutcome::Unconnected,
            error if error.is_timeout() => AttemptOutcome::TimedOut,
            _ => AttemptOutcome::Broken,
        })?;
    if !has_delimited_body(&response, &outgoing.method) {
        return Err(AttemptOutcome::Broken);
    }
    let stated_length = response
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| AttemptOutcome::Broken)? {
        if body.len() + chunk.len() > outgoing.response_limit {
            return Err(AttemptOutcome::Broken);
        }
        body.extend_from_slice(&chunk);
    }
    let announced = response.headers().get(headers::LEAVING);
    let outcome = match announced.map(HeaderValue::as_bytes) {
        Some(b"declined") if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
            AttemptOutcome::Declined
        }
        announced => AttemptOutcome::Answered {
            status: response.status().as_u16(),
            bytes: Bytes(body.len() as u64),
            leaving: announced.is_some_and(|announced| announced != b"false"),
        },
    };
    let is_head = outgoing.method == Method::HEAD;
    let endpoint_response = EndpointResponse {
        status: response.status().as_u16(),
        headers: response_headers(response.headers()),
        length: stated_length.filter(|_| is_head).unwrap_or(body.len()),
        body,
    };
    Ok((outcome, endpoint_response))
}

/// Whether the response delimits its body. Truncation of a body that is delimited by
/// the end of the connection could not be detected.
fn has_delimited_body(response: &reqwest::Response, method: &Method) -> bool {
    let status = response.status();
    let chunked = response
        .headers()
        .contains_key(reqwest::header::TRANSFER_ENCODING);
    method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
        || response.headers().contains_key(CONTENT_LENGTH)
        || (chunked && response.version() >= Version::HTTP_11)
}

/// The end-to-end headers of an endpoint's response, without those of this protocol.
fn response_headers(all: &HeaderMap) -> Vec<(String, String)> {
    let connection = all.get_all(CONNECTION);
    let listed =
        headers::connection_headers(connection.iter().filter_map(|value| value.to_str().ok()));
    all.iter()
        .filter(|(name, _)| headers::is_end_to_end(name.as_str(), &listed))
        .filter(|(name, _)| **name != CONTENT_LENGTH && !name.as_str().starts_with("jujubelb-"))
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect()
}
