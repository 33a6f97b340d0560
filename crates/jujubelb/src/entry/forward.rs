//! Sends one attempt to an endpoint and reads its whole answer.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue};
use reqwest::{Client, Method, StatusCode, Version};
use rocket::Request;

use super::headers;
use crate::http::response::EndpointResponse;
use crate::model::{Bytes, Span};
use crate::route::AttemptOutcome;

/// Time for making a connection. Regions are 12 ms apart.
const CONNECT: Duration = Duration::from_millis(500);

/// Name of the deadline header in lower case, as the client library compares it.
const DEADLINE: &str = "jujubelb-deadline-ms";

/// Time for which unused connections to an endpoint are kept.
const IDLE: Duration = Duration::from_secs(30);

/// A request as it is sent to endpoints.
#[derive(Debug, Clone)]
pub(super) struct Parcel {
    pub(super) method: Method,
    /// Path and query below the service's root.
    pub(super) target: String,
    pub(super) headers: HeaderMap,
    pub(super) body: Vec<u8>,
    /// Largest body of an answer.
    pub(super) limit: usize,
}

/// The client for all attempts of a process.
pub(super) fn client() -> Result<Client, reqwest::Error> {
    Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT)
        .pool_idle_timeout(IDLE)
        .build()
}

/// The end-to-end headers of a caller's request. Values that HTTP does not allow are left out.
pub(super) fn passed_on(request: &Request<'_>) -> HeaderMap {
    let listed = headers::named_in(request.headers().get("Connection"));
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
        // The last two are set anew for each attempt.
        if name != HOST && name != CONTENT_LENGTH && name != DEADLINE {
            passed.append(name, value);
        }
    }
    passed
}

/// Sends an attempt. An answer counts only when it is complete.
pub(super) async fn attempt(
    client: &Client,
    address: SocketAddr,
    parcel: &Parcel,
    time: Span,
) -> (AttemptOutcome, Option<EndpointResponse>) {
    match tokio::time::timeout(time.to_std(), exchange(client, address, parcel, time)).await {
        Ok(Ok((end, answer))) => (
            end,
            Some(answer).filter(|_| end != AttemptOutcome::Declined),
        ),
        Ok(Err(end)) => (end, None),
        Err(_) => (AttemptOutcome::TimedOut, None),
    }
}

async fn exchange(
    client: &Client,
    address: SocketAddr,
    parcel: &Parcel,
    time: Span,
) -> Result<(AttemptOutcome, EndpointResponse), AttemptOutcome> {
    let url = format!("http://{address}{}", parcel.target);
    let left = time.as_millis().max(1).to_string();
    let mut response = client
        .request(parcel.method.clone(), url)
        .headers(parcel.headers.clone())
        .header(headers::DEADLINE, left)
        .body(parcel.body.clone())
        .send()
        .await
        .map_err(|error| match error {
            error if error.is_connect() || error.is_builder() => AttemptOutcome::Unconnected,
            error if error.is_timeout() => AttemptOutcome::TimedOut,
            _ => AttemptOutcome::Broken,
        })?;
    if !has_known_end(&response, &parcel.method) {
        return Err(AttemptOutcome::Broken);
    }
    let stated = response
        .headers()
        .get(CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse().ok());
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| AttemptOutcome::Broken)? {
        if body.len() + chunk.len() > parcel.limit {
            return Err(AttemptOutcome::Broken);
        }
        body.extend_from_slice(&chunk);
    }
    let said = response.headers().get(headers::LEAVING);
    let end = match said.map(HeaderValue::as_bytes) {
        Some(b"declined") if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
            AttemptOutcome::Declined
        }
        said => AttemptOutcome::Answered {
            status: response.status().as_u16(),
            bytes: Bytes(body.len() as u64),
            leaving: said.is_some_and(|said| said != b"false"),
        },
    };
    let bodiless = parcel.method == Method::HEAD;
    let answer = EndpointResponse {
        status: response.status().as_u16(),
        headers: answer_headers(response.headers()),
        length: stated.filter(|_| bodiless).unwrap_or(body.len()),
        body,
    };
    Ok((end, answer))
}

/// Whether the end of the body is marked. A body that ends with the connection
/// could be cut off without notice.
fn has_known_end(response: &reqwest::Response, method: &Method) -> bool {
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

/// The end-to-end headers of an endpoint's answer.
fn answer_headers(all: &HeaderMap) -> Vec<(String, String)> {
    let connection = all.get_all(CONNECTION);
    let listed = headers::named_in(connection.iter().filter_map(|value| value.to_str().ok()));
    all.iter()
        .filter(|(name, _)| headers::is_end_to_end(name.as_str(), &listed))
        .filter(|(name, _)| **name != CONTENT_LENGTH && !name.as_str().starts_with("jujubelb-"))
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect()
}
