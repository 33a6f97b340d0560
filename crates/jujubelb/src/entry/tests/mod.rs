mod forwarding;

use rocket::http::{Header, HeaderMap};

use super::headers::{self, Wishes};
use crate::model::{Priority, Span};

fn read(pairs: &[(&'static str, &'static str)]) -> Result<Wishes, String> {
    let mut map = HeaderMap::new();
    for (name, value) in pairs {
        map.add(Header::new(*name, *value));
    }
    headers::read(&map, false)
}

/// Guards against defaults that let a request run twice.
#[test]
fn defaults_are_urgent_and_not_idempotent() {
    let wishes = read(&[]).unwrap();
    assert_eq!(wishes.priority, Priority::Urgent);
    assert!(!wishes.idempotent && !wishes.needs_claim());
    let wishes = read(&[
        (headers::DEADLINE, " 250 "),
        (headers::PRIORITY, "batch"),
        (headers::KEY, "k"),
    ]);
    let wishes = wishes.unwrap();
    assert_eq!(wishes.deadline, Some(Span::from_millis(250)));
    assert_eq!(wishes.priority, Priority::Batch);
    assert!(wishes.needs_claim());
}

/// Guards against a wrong header that is taken for an absent one.
#[test]
fn wrong_headers_are_refused_by_name() {
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
        let error = read(&[(name, value)]).unwrap_err();
        assert!(error.contains(name), "{name}: {value}: {error}");
    }
    let twice = [(headers::KEY, "a"), (headers::KEY, "b")];
    assert!(read(&twice).unwrap_err().contains(headers::KEY));
}

/// Guards against headers of one connection that are passed on to another.
#[test]
fn hop_by_hop_headers_are_recognised() {
    let listed = headers::named_in(["close, X-Hop", "x-other"].into_iter());
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
