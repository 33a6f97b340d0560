//! Headers of callers' requests and of answers.

use arcstr::ArcStr;
use rocket::http::HeaderMap;

use crate::model::{Priority, Span};

/// Time in milliseconds until the answer has to be complete.
pub const DEADLINE: &str = "Jujubelb-Deadline-Ms";
/// `urgent` (default) or `batch`.
pub const PRIORITY: &str = "Jujubelb-Priority";
/// `true` or `false`; by default whether the method is safe.
pub const IDEMPOTENT: &str = "Jujubelb-Idempotent";
/// The caller's request key.
pub const KEY: &str = "Idempotency-Key";
/// Who calls, for the rate limit.
pub const CALLER: &str = "Jujubelb-Caller";
/// Result code of an answer.
pub const CODE: &str = "Jujubelb-Code";
/// Whether the request may have run.
pub const MAY_HAVE_RUN: &str = "Jujubelb-May-Have-Run";
/// In an endpoint's answer: `true` if the endpoint is leaving, `declined` if it
/// is leaving and did not run the request.
pub const LEAVING: &str = "Jujubelb-Leaving";

/// Longest deadline. A planned stop waits for requests in flight, so it bounds the stop.
const LONGEST: u64 = 3_600_000;

/// Longest key or caller name.
const TEXT: usize = 200;

/// Headers that concern one connection only, besides those that `Connection` names.
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

/// What a caller asks for in headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Wishes {
    pub(super) deadline: Option<Span>,
    pub(super) priority: Priority,
    pub(super) idempotent: bool,
    pub(super) key: Option<ArcStr>,
    pub(super) caller: Option<ArcStr>,
}

impl Wishes {
    /// Whether the request has to be claimed before it is sent.
    pub(super) fn needs_claim(&self) -> bool {
        !self.idempotent && self.key.is_some()
    }
}

/// Reads the headers; the error names the header and what it has to be.
pub(super) fn read(headers: &HeaderMap<'_>, safe: bool) -> Result<Wishes, String> {
    Ok(Wishes {
        deadline: single(headers, DEADLINE)?.map(deadline).transpose()?,
        priority: match single(headers, PRIORITY)? {
            None | Some("urgent") => Priority::Urgent,
            Some("batch") => Priority::Batch,
            Some(_) => return Err(format!("{PRIORITY} has to be `urgent` or `batch`")),
        },
        idempotent: match single(headers, IDEMPOTENT)? {
            None => safe,
            Some("true") => true,
            Some("false") => false,
            Some(_) => return Err(format!("{IDEMPOTENT} has to be `true` or `false`")),
        },
        key: text(headers, KEY)?,
        caller: text(headers, CALLER)?,
    })
}

fn deadline(value: &str) -> Result<Span, String> {
    match value.parse() {
        Ok(ms @ 1..=LONGEST) => Ok(Span::from_millis(ms)),
        _ => Err(format!(
            "{DEADLINE} has to be a number of milliseconds from 1 to {LONGEST}"
        )),
    }
}

fn text(headers: &HeaderMap<'_>, name: &str) -> Result<Option<ArcStr>, String> {
    match single(headers, name)? {
        None => Ok(None),
        Some(value) if (1..=TEXT).contains(&value.len()) => Ok(Some(value.into())),
        Some(_) => Err(format!("{name} has to have 1 to {TEXT} bytes")),
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

/// Whether a header is passed on. `connection` holds the values of all `Connection` headers.
pub(super) fn is_end_to_end(name: &str, connection: &[String]) -> bool {
    let name = name.to_ascii_lowercase();
    !HOP_BY_HOP.contains(&name.as_str()) && !connection.contains(&name)
}

/// The header names listed in values of `Connection`.
pub(super) fn named_in<'a>(values: impl Iterator<Item = &'a str>) -> Vec<String> {
    values
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}
