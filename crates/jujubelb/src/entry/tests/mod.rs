mod forwarding;

use rocket::http::{Header, HeaderMap};

use super::headers::{self, RequestOptions};
use crate::model::{Priority, Span};

fn parse(pairs: &[(&'static str, &'static str)]) -> Result<RequestOptions, String> {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        map.add(Header::new(*name, *value));
    }
    headers::parse(&map, false)
}

/// Guards against defaults that allow a request to run twice.
#[test]
fn defaults_are_urgent_and_not_idempotent() {
    let options = parse(&[]).unwrap();
    assert_eq!(options.priority, Priority::Urgent);
    assert!(!options.idempotent && !options.needs_claim());
    let options = parse(&[
        (headers::DEADLINE, " 250 "),
        (headers::PRIORITY, "batch"),
        (headers::KEY, "k"),
    ]);
    let options = options.unwrap();
    assert_eq!(options.deadline, Some(Span::from_millis(250)));
    assert_eq!(options.priority, Priority::Batch);
    assert!(options.needs_claim());
}

/// Guards against treating an invalid header as an absent one.
#[test]
fn invalid_headers_are_refused_by_name() {
    for (name, value) in [
        (headers::DEADLINE, "0"),
        (headers::DEADLINE, "-1"),
        (headers::DEADLINE, "1e3"),
        (headers::DEADLINE, "99999999999999999999"),
        (headers::PRIORITY, "high"),
        (headers::IDEMPOTENT, "yes"),
        (headers::KEY, ""),
        (headers::CALLER, ""),
    ] {
        let error = parse(&[(name, value)]).unwrap_err();
        assert!(error.contains(name), "{name}: {value}: {error}");
    }
    let twice = [(headers::KEY, "a"), (headers::KEY, "b")];
    assert!(parse(&twice).unwrap_err().contains(headers::KEY));
}

/// Guards against forwarding headers that apply to a single connection.
#[test]
fn hop_by_hop_headers_are_recognised() {
    let listed = headers::connection_headers(["close, X-Hop", "x-other"].into_iter());
    for name in [
        "Connection",
        "keep-alive",
        "TE",
        "Upgrade",
        "X-hop",
        "X-Other",
    ] {
        assert!(!headers::is_end_to_end(name, &listed), "{name}");
    }
    for name in ["Content-Type", "Cookie", "Authorization", "Idempotency-Key"] {
        assert!(headers::is_end_to_end(name, &listed), "{name}");
    }
}
