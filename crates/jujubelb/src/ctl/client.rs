//! Calls to the operators' HTTP interface.

use std::error::Error as _;
use std::io::Read;
use std::time::Duration;

use reqwest::blocking::{Client as Http, RequestBuilder};
use reqwest::{StatusCode, Url};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::CtlError;
use super::options::Options;
use crate::model::Code;
use crate::operator::api::ErrorBody;

/// Largest answer: a dump or the task list at target scale with room to spare.
const ANSWER: u64 = 256 << 20;

/// Tries of a change whose answer is lost. Repeats are safe because the change
/// has an identifier.
const TRIES: u32 = 3;

/// Wait before a repeat, times the number of the try.
const PAUSE: Duration = Duration::from_millis(300);

/// A client of one process.
pub(super) struct Client {
    http: Http,
    server: Url,
    token: String,
}

/// Why a call brought no answer.
enum Failure {
    /// No connection was made, so nothing was sent.
    NotSent(String),
    /// It may have been received.
    NoAnswer(String),
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
        let http = Http::builder()
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

    /// Reads something.
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
            Ok(answer) => self.understand(&answer),
            Err(Failure::NotSent(message) | Failure::NoAnswer(message)) => {
                Err(self.unreachable(message))
            }
        }
    }

    /// Makes a change; repeats it after a lost answer. `repeat` tells the
    /// operator what to do if no answer comes at all.
    pub(super) fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        parts: &[&str],
        body: &B,
        repeat: &str,
    ) -> Result<T, CtlError> {
        let url = self.url(path, parts);
        let mut lost = None;
        for attempt in 1..=TRIES {
            match self.send(self.http.post(url.clone()).json(body)) {
                // A failure without the error body of this interface says nothing about the change.
                Ok(answer) if answer.status.is_server_error() && answer.error().is_none() => {
                    lost = Some(format!("status {}", answer.status));
                }
                Ok(answer) => return self.understand(&answer),
                Err(Failure::NoAnswer(message)) => lost = Some(message),
                Err(Failure::NotSent(message)) if lost.is_none() => {
                    return Err(self.unreachable(message));
                }
                // An earlier try may have been received.
                Err(Failure::NotSent(_)) => {}
            }
            if attempt < TRIES {
                std::thread::sleep(PAUSE * attempt);
            }
        }
        Err(CtlError::NoAnswer {
            server: self.server.to_string(),
            message: lost.unwrap_or_default(),
            repeat: repeat.to_owned(),
        })
    }

    fn unreachable(&self, message: String) -> CtlError {
        CtlError::Unreachable {
            server: self.server.to_string(),
            message,
        }
    }

    /// The address of a path; further parts are escaped.
    fn url(&self, path: &str, parts: &[&str]) -> Url {
        let mut url = self.server.clone();
        url.set_path(path);
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.extend(parts);
        }
        url
    }

    fn send(&self, request: RequestBuilder) -> Result<Answer, Failure> {
        let response = request.bearer_auth(&self.token).send().map_err(|e| {
            let text = cause(&e);
            match e.is_connect() || e.is_builder() {
                true => Failure::NotSent(text),
                false => Failure::NoAnswer(text),
            }
        })?;
        let status = response.status();
        let mut bytes = Vec::new();
        response
            .take(ANSWER)
            .read_to_end(&mut bytes)
            .map_err(|e| Failure::NoAnswer(e.to_string()))?;
        Ok(Answer { status, bytes })
    }

    fn understand<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, CtlError> {
        let unreadable = |message: String| CtlError::Answer {
            server: self.server.to_string(),
            message,
        };
        if answer.status.is_success() {
            return serde_json::from_slice(&answer.bytes).map_err(|e| unreadable(e.to_string()));
        }
        let body = answer
            .error()
            .ok_or_else(|| unreadable(format!("status {} without an error body", answer.status)))?;
        Err(CtlError::Refused(Box::new(body)))
    }
}

/// A whole answer.
struct Answer {
    status: StatusCode,
    bytes: Vec<u8>,
}

impl Answer {
    /// The error in it, if it is one of this interface.
    fn error(&self) -> Option<ErrorBody> {
        let body = serde_json::from_slice::<ErrorBody>(&self.bytes).ok();
        body.or_else(|| Some(ErrorBody::new(plain(self.status)?, self.status.to_string())))
    }
}

/// The code behind a status that came without a body.
fn plain(status: StatusCode) -> Option<Code> {
    match status.as_u16() {
        401 => Some(Code::Unauthorized),
        404 => Some(Code::NotFound),
        413 => Some(Code::TooLarge),
        _ => None,
    }
}

/// The innermost cause, which says more than "error sending request". The URL
/// is left out, and the token is never part of it.
fn cause(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut inner = error.source();
    while let Some(e) = inner {
        text = e.to_string();
        inner = e.source();
    }
    text
}
