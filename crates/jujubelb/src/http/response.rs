//! Responses of the processes' HTTP servers, each with its result code in a header.

use std::io::Cursor;

use rocket::http::{Header, Status};
use rocket::response::Response;
use serde::Serialize;

use crate::entry::{CODE, MAY_HAVE_RUN};
use crate::model::{Code, Span};
use crate::operator::api::ErrorBody;

/// A complete response of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndpointResponse {
    pub(crate) status: u16,
    /// End-to-end headers to forward.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Content length to state; differs from the length of `body` for `HEAD`.
    pub(crate) length: usize,
}

/// A failed request, with the result that the caller gets instead of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) code: Code,
    pub(crate) message: String,
    /// Time after which a retry may succeed.
    pub(crate) retry_after: Option<Span>,
}

impl Failure {
    pub(crate) fn new(code: Code, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
        }
    }
}

impl From<Code> for Failure {
    fn from(code: Code) -> Self {
        Self::new(code, code.meaning().trim())
    }
}

/// Forwards an endpoint's response. With `closing` the caller is asked to open a new
/// connection for its next request.
pub(crate) fn forwarded(endpoint_response: EndpointResponse, closing: bool) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(endpoint_response.status));
    for (name, value) in endpoint_response.headers {
        response.adjoin_raw_header(name, value);
    }
    response.set_sized_body(
        endpoint_response.length,
        Cursor::new(endpoint_response.body),
    );
    set_result_headers(&mut response, Code::Done, closing);
    response
}

/// The response for a failure, with a JSON body.
pub(crate) fn failure(failure: Failure, closing: bool) -> Response<'static> {
    let body = ErrorBody::new(failure.code, failure.message);
    let mut response = json(failure.code, &body, closing);
    if let Some(retry) = failure.retry_after {
        let seconds = retry.as_micros().div_ceil(1_000_000).max(1);
        response.set_header(Header::new("Retry-After", seconds.to_string()));
    }
    response
}

/// A response with a JSON body and the status of `code`.
pub(crate) fn json<T: Serialize>(code: Code, body: &T, closing: bool) -> Response<'static> {
    // Serialisation does not fail: the bodies are plain structures with string keys.
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::new();
    response.set_status(Status::new(code.http_status()));
    response.set_header(rocket::http::ContentType::JSON);
    response.set_sized_body(text.len(), Cursor::new(text));
    set_result_headers(&mut response, code, closing);
    response
}

fn set_result_headers(response: &mut Response<'_>, code: Code, closing: bool) {
    response.set_header(Header::new(CODE, code.number().to_string()));
    let ran = code.may_have_run().to_string();
    response.set_header(Header::new(MAY_HAVE_RUN, ran));
    if closing {
        response.set_header(Header::new("Connection", "close"));
    }
}
