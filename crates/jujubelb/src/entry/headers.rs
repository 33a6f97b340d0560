//! Names and parsing of the headers of requests and responses.

use arcstr::ArcStr;
use rocket::http::HeaderMap;

use crate::model::{Priority, Span};

/// Request header: time in milliseconds until the response has to be complete.
pub const DEADLINE: &str = "Jujubelb-Deadline-Ms";
/// Request header: priority, `urgent` (default) or `batch`.
pub const PRIORITY: &str = "Jujubelb-Priority";
/// Request header: whether the request may run more than once, `true` or `false`; by
/// default whether the method is safe.
pub const IDEMPOTENT: &str = "Jujubelb-Idempotent";
/// Request header: the caller's idempotency key, the same in each retry.
pub const KEY: &str = "Idempotency-Key";
/// Request header: name of the caller for the rate limit.
pub const CALLER: &str = "Jujubelb-Caller";
/// Response header: result code.
pub const CODE: &str = "Jujubelb-Code";
/// Response header: whether the request may have run.
pub const MAY_HAVE_RUN: &str = "Jujubelb-May-Have-Run";
/// Header of an endpoint's response: `true` if the endpoint is leaving, `declined` if it
/// is leaving and did not run the request.
pub const LEAVING: &str = "Jujubelb-Leaving";

/// Maximum deadline. A planned stop waits for requests in flight, so this bounds the stop.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Maximum length of a key or caller name.
const MAX_TEXT_BYTES: usize = 200;

/// Headers that apply to a single connection, besides those listed in `Connection`.
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
];

/// Options of a request that callers set in headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RequestOptions {
    pub(super) deadline: Option<Span>,
    pub(super) priority: Priority,
    pub(super) idempotent: bool,
    pub(super) key: Option<ArcStr>,
    pub(super) caller: Option<ArcStr>,
}

impl RequestOptions {
    /// Whether the key has to be claimed before the request is sent.
    pub(super) fn needs_claim(&self) -> bool {
        !self.idempotent && self.key.is_some()
    }
}

/// Parses the headers. `safe` is the default of [`IDEMPOTENT`]. The error names the
/// header and its valid values.
pub(super) fn parse(headers: &HeaderMap<'_>, safe: bool) -> Result<RequestOptions, String> {
    Ok(RequestOptions {
        deadline: single(headers, DEADLINE)?.map(deadline).transpose()?,
        priority: match single(headers, PRIORITY)? {
            None | Some("urgent") => Priority::Urgent,
            Some("batch") => Priority::Batch,
            Some(_) => return Err(format!("{PRIORITY} must be `urgent` or `batch`")),
        },
        idempotent: match single(headers, IDEMPOTENT)? {
            None => safe,
            Some("true") => true,
            Some("false") => false,
            Some(_) => return Err(format!("{IDEMPOTENT} must be `true` or `false`")),
        },
        key: text(headers, KEY)?,
        caller: text(headers, CALLER)?,
    })
}

fn deadline(value: &str) -> Result<Span, String> {
    match value.parse() {
        Ok(ms @ 1..=MAX_DEADLINE_MS) => Ok(Span::from_millis(ms)),
        _ => Err(format!(
            "{DEADLINE} must be a number of milliseconds from 1 to {MAX_DEADLINE_MS}"
        )),
    }
}

fn text(headers: &HeaderMap<'_>, name: &str) -> Result<Option<ArcStr>, String> {
    match single(headers, name)? {
        None => Ok(None),
        Some(value) if (1..=MAX_TEXT_BYTES).contains(&value.len()) => Ok(Some(value.into())),
        Some(_) => Err(format!("{name} must have 1 to {MAX_TEXT_BYTES} bytes")),
    }
}

fn single<'h>(headers: &'h HeaderMap<'_>, name: &str) -> Result<Option<&'h str>, String> {
    let mut values = headers.get(name);
    let first = values.next();
    if values.next().is_some() {
        return Err(format!("{name} is given more than once"));
    }
    Ok(first.map(str::trim))
}

/// Whether a header is forwarded. `connection` holds the names listed in `Connection`
/// headers, in lower case.
pub(super) fn is_end_to_end(name: &str, connection: &[String]) -> bool {
    let name = name.to_ascii_lowercase();
    !HOP_BY_HOP.contains(&name.as_str()) && !connection.contains(&name)
}

/// The header names listed in the values of `Connection` headers, in lower case.
pub(super) fn connection_headers<'a>(values: impl Iterator<Item = &'a str>) -> Vec<String> {
    values
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
