//! Answers of the processes' HTTP servers, each with its result code.

use std::io::Cursor;

use rocket::http::{Header, Status};
use rocket::response::Response;
use serde::Serialize;

use crate::entry::{CODE, MAY_HAVE_RUN};
use crate::model::{Code, Span};
use crate::operator::api::ErrorBody;

/// A whole answer of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndpointResponse {
    pub(crate) status: u16,
    /// Headers that are passed on.
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    /// Stated length of the body; differs from the body's for `HEAD`.
    pub(crate) length: usize,
}

/// A result that does not come from an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) code: Code,
    pub(crate) message: String,
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

/// The response that passes an endpoint's answer on. `closing` asks the caller
/// to make a new connection for its next request.
pub(crate) fn forwarded(answer: EndpointResponse, closing: bool) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(answer.status));
    for (name, value) in answer.headers {
        response.adjoin_raw_header(name, value);
    }
    response.set_sized_body(answer.length, Cursor::new(answer.body));
    mark(&mut response, Code::Done, closing);
    response
}

/// The response for a failure.
pub(crate) fn failure(failure: Failure, closing: bool) -> Response<'static> {
    let body = ErrorBody::new(failure.code, failure.message);
    let mut response = json(failure.code, &body, closing);
    if let Some(retry) = failure.retry_after {
        let seconds = retry.as_micros().div_ceil(1_000_000).max(1);
        response.set_header(Header::new("Retry-After", seconds.to_string()));
    }
    response
}

/// A response with a JSON body.
pub(crate) fn json<T: Serialize>(code: Code, body: &T, closing: bool) -> Response<'static> {
    // The bodies are plain structures with text keys, which always have a JSON form.
    let text = serde_json::to_string(body).unwrap_or_default();
    let mut response = Response::new();
    response.set_status(Status::new(code.http_status()));
    response.set_header(rocket::http::ContentType::JSON);
    response.set_sized_body(text.len(), Cursor::new(text));
    mark(&mut response, code, closing);
    response
}

fn mark(response: &mut Response<'_>, code: Code, closing: bool) {
    response.set_header(Header::new(CODE, code.number().to_string()));
    let ran = code.may_have_run().to_string();
    response.set_header(Header::new(MAY_HAVE_RUN, ran));
    if closing {
        response.set_header(Header::new("Connection", "close"));
    }
}
