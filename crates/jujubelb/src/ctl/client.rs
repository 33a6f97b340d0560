//! Blocking client of the operators' HTTP interface.

use std::error::Error as _;
use std::io::Read;
use std::time::Duration;

use reqwest::blocking::{Client as HttpClient, RequestBuilder};
use reqwest::{StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CtlError;
use super::options::Options;
use crate::model::Code;
use crate::operator::api::ErrorBody;

/// Limit of a response body; a dump or the task list at target scale is well below it.
const MAX_RESPONSE_BYTES: u64 = 256 << 20;

/// Attempts to send a change whose response is lost. Retries are safe because
/// the change has an identifier.
const MAX_POST_ATTEMPTS: u32 = 3;

/// Delay before a retry, multiplied by the number of attempts made.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Client of one entry or scheduler process.
pub(super) struct Client {
    http: HttpClient,
    server: Url,
    token: String,
}

/// Why a call got no response.
enum Failure {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// The request may have been received.
    NoResponse(String),
}

impl Client {
    pub(super) fn new(options: &Options) -> Result<Self, CtlError> {
        let usage = |text: &str| CtlError::Usage(text.to_owned());
        let server = options.server.clone().ok_or_else(|| {
            usage(
                "this command needs a server; pass --server http://IP:PORT or set JUJUBECTL_SERVER",
            )
        })?;
        let token = options.token.as_ref().ok_or_else(|| {
            usage("this command needs a token; pass --token-file FILE or set JUJUBECTL_TOKEN_FILE")
        })?;
        let http = HttpClient::builder()
            .timeout(options.timeout)
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .build()
            .map_err(|e| CtlError::Usage(format!("the HTTP client can't be made: {e}")))?;
        Ok(Self {
            http,
            server,
            token: token.secret().to_owned(),
        })
    }

    /// Sends a read; `parameters` form the query string.
    pub(super) fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        parameters: &[(&str, String)],
    ) -> Result<T, CtlError> {
        let mut url = self.url(path, &[]);
        if !parameters.is_empty() {
            url.query_pairs_mut().extend_pairs(parameters);
        }
        match self.send(self.http.get(url)) {
            Ok(response) => self.decode(&response),
            Err(Failure::NotSent(message) | Failure::NoResponse(message)) => {
                Err(self.unreachable(message))
            }
        }
    }

    /// Sends a change and retries it after a lost response. `remedy` tells the
    /// operator what to do if no attempt gets a response.
    pub(super) fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        parts: &[&str],
        body: &B,
        remedy: &str,
    ) -> Result<T, CtlError> {
        let url = self.url(path, parts);
        let mut last_failure = None;
        for attempt in 1..=MAX_POST_ATTEMPTS {
            match self.send(self.http.post(url.clone()).json(body)) {
                // A server error without this interface's error body doesn't tell whether the change took effect.
                Ok(response) if response.status.is_server_error() && response.error().is_none() => {
                    last_failure = Some(format!("status {}", response.status));
                }
                Ok(response) => return self.decode(&response),
                Err(Failure::NoResponse(message)) => last_failure = Some(message),
                Err(Failure::NotSent(message)) if last_failure.is_none() => {
                    return Err(self.unreachable(message));
                }
                // An earlier attempt may have been received.
                Err(Failure::NotSent(_)) => {}
            }
            if attempt < MAX_POST_ATTEMPTS {
                std::thread::sleep(RETRY_DELAY * attempt);
            }
        }
        Err(CtlError::NoResponse {
            server: self.server.to_string(),
            message: last_failure.unwrap_or_default(),
            remedy: remedy.to_owned(),
        })
    }

    fn unreachable(&self, message: String) -> CtlError {
        CtlError::Unreachable {
            server: self.server.to_string(),
            message,
        }
    }

    /// URL of a path, extended by percent-encoded segments.
    fn url(&self, path: &str, parts: &[&str]) -> Url {
        let mut url = self.server.clone();
        url.set_path(path);
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.extend(parts);
        }
        url
    }

    fn send(&self, request: RequestBuilder) -> Result<Response, Failure> {
        let response = request.bearer_auth(&self.token).send().map_err(|e| {
            let text = innermost_cause(&e);
            match e.is_connect() || e.is_builder() {
                true => Failure::NotSent(text),
                false => Failure::NoResponse(text),
            }
        })?;
        let status = response.status();
        let mut bytes = Vec::new();
        response
            .take(MAX_RESPONSE_BYTES)
            .read_to_end(&mut bytes)
            .map_err(|e| Failure::NoResponse(e.to_string()))?;
        Ok(Response { status, bytes })
    }

    fn decode<T: DeserializeOwned>(&self, response: &Response) -> Result<T, CtlError> {
        let invalid = |message: String| CtlError::InvalidResponse {
            server: self.server.to_string(),
            message,
        };
        if response.status.is_success() {
            return serde_json::from_slice(&response.bytes).map_err(|e| invalid(e.to_string()));
        }
        let body = response
            .error()
            .ok_or_else(|| invalid(format!("status {} without an error body", response.status)))?;
        Err(CtlError::Refused(Box::new(body)))
    }
}

/// A complete response.
struct Response {
    status: StatusCode,
    bytes: Vec<u8>,
}

impl Response {
    /// The error body, or one made from a status that has a code of its own.
    fn error(&self) -> Option<ErrorBody> {
        let body = serde_json::from_slice::<ErrorBody>(&self.bytes).ok();
        body.or_else(|| {
            Some(ErrorBody::new(
                code_of_status(self.status)?,
                self.status.to_string(),
            ))
        })
    }
}

/// The result code of a status that came without an error body.
fn code_of_status(status: StatusCode) -> Option<Code> {
    match status.as_u16() {
        401 => Some(Code::Unauthorized),
        404 => Some(Code::NotFound),
        413 => Some(Code::TooLarge),
        _ => None,
    }
}

/// Message of the innermost cause, which is more specific than "error sending
/// request". It contains neither the URL nor the token.
fn innermost_cause(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut inner = error.source();
    while let Some(e) = inner {
        text = e.to_string();
        inner = e.source();
    }
    text
}
