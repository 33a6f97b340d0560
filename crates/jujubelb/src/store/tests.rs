use super::api::{ListResponse, PutRequest, WireEntry};
use super::rate_limit::{
    CallKind, RateLimiter, SHARD_WRITES_PER_SECOND, STORE_READS_PER_SECOND, STORE_WRITES_PER_SECOND,
};
use super::*;
use crate::http::test_server::{json, serve, unused_address};
use crate::model::Time;
use crate::telemetry::{Clock, Metrics};

fn store(address: std::net::SocketAddr) -> HttpStore {
    HttpStore::new(address, Clock::start(), &Metrics::new().unwrap(), 1).unwrap()
}

fn put_with_response(response: Vec<u8>) -> Result<Version, StoreError> {
    store(serve(vec![response])).put("a/b", b"x", Expect::Absent, None)
}

/// Guards against values that are altered by the encoding, and keys that break the URL.
#[test]
fn bytes_and_keys_survive_the_encoding() {
    let entry = WireEntry {
        key: "a/b c&d=é".into(),
        value: (0..=255).collect(),
        version: Version(7),
    };
    let body = serde_json::to_string(&api::EntryResponse {
        entry: Some(entry.clone()),
    });
    let address = serve(vec![json(200, &body.unwrap())]);
    assert_eq!(store(address).get(&entry.key), Ok(Some(entry.into())));
}

/// Guards against decoding truncated or invalid hexadecimal text.
#[test]
fn invalid_hexadecimal_text_is_malformed() {
    for text in ["0", "0g", "é"] {
        let body = format!(r#"{{"key":"k","value":"{text}","expect":"any","lease":null}}"#);
        assert!(serde_json::from_str::<PutRequest>(&body).is_err(), "{text}");
    }
}

/// Guards against reporting a write as refused that may have taken effect, and the reverse.
#[test]
fn errors_tell_whether_a_write_may_have_taken_effect() {
    let refused = store(unused_address()).put("k", b"", Expect::Any, None);
    assert!(
        matches!(refused, Err(StoreError::Refused(_))),
        "{refused:?}"
    );
    let unknown = [
        b"".to_vec(),
        b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{".to_vec(),
        json(200, "{}"),
        json(500, "{}"),
        json(503, "no JSON"),
        json(409, r#"{"error":"lease-ended"}"#),
        json(200, &" ".repeat(11 << 20)),
    ];
    for response in unknown {
        let result = put_with_response(response);
        assert!(matches!(result, Err(StoreError::Unknown(_))), "{result:?}");
    }
    let conflict = put_with_response(json(409, r#"{"error":"conflict","current":4}"#));
    let current = Some(Version(4));
    assert_eq!(conflict, Err(StoreError::Conflict { current }));
    let ended = put_with_response(json(410, r#"{"error":"lease-ended"}"#));
    assert_eq!(ended, Err(StoreError::LeaseEnded));
    let large = store(unused_address()).put("k", &vec![0; MAX_VALUE_BYTES + 1], Expect::Any, None);
    assert!(matches!(large, Err(StoreError::TooLarge { .. })));
}

/// Guards against a response for another key, for example from a faulty proxy.
#[test]
fn responses_for_other_keys_are_malformed() {
    let body = r#"{"entry":{"key":"other","value":"","version":1}}"#;
    let result = store(serve(vec![json(200, body)])).get("k");
    assert!(
        matches!(result, Err(StoreError::Malformed(_))),
        "{result:?}"
    );
}

/// Guards against a list that is truncated because its values are large.
#[test]
fn truncated_lists_are_continued() {
    let page = |keys: &[&str], more| {
        let entries = keys.iter().map(|key| WireEntry {
            key: (*key).into(),
            value: Vec::new(),
            version: Version(1),
        });
        let entries = entries.collect();
        json(
            200,
            &serde_json::to_string(&ListResponse { entries, more }).unwrap(),
        )
    };
    let address = serve(vec![page(&["a/1", "a/2"], true), page(&["a/3"], false)]);
    assert_eq!(store(address).list("a/", "", 10).unwrap().len(), 3);
    let address = serve(vec![page(&["a/2", "a/1"], false)]);
    assert!(store(address).list("a/", "", 10).is_err());
}

/// Counts the calls that a limiter admits within `span`, with one attempt a millisecond.
fn admitted(limiter: &mut RateLimiter, kind: CallKind, from: Time, span: Span) -> usize {
    (0..span.as_millis())
        .filter(|ms| limiter.admit(from + Span::from_millis(*ms), kind).is_ok())
        .count()
}

/// Guards against a total rate of all processes above the store's capacity.
#[test]
fn rates_of_all_processes_add_up_to_the_rates_of_the_store() {
    let (processes, shards, seconds) = (182, 26, 60);
    let span = Span::from_secs(seconds);
    let (mut writes, mut reads) = (0, 0);
    for n in 0..processes {
        let mut limiter = RateLimiter::new(Time::ZERO, processes);
        limiter.set_shards(usize::from(n < shards));
        limiter.failed(Time::ZERO, 0.5);
        limiter.succeeded();
        // The failure starts the recovery period, in which bursts are not allowed.
        writes += admitted(
            &mut limiter,
            CallKind::Write,
            Time::from_millis(200),
            Span::from_secs(9),
        );
        reads += admitted(
            &mut limiter,
            CallKind::Read,
            Time::from_millis(200),
            Span::from_secs(9),
        );
        let mut limiter = RateLimiter::new(Time::ZERO, processes);
        limiter.set_shards(1);
        let admitted_writes = admitted(&mut limiter, CallKind::Write, Time::ZERO, span) as f64;
        assert!(
            admitted_writes >= SHARD_WRITES_PER_SECOND * seconds as f64 * 0.99,
            "{admitted_writes}"
        );
    }
    assert!(
        writes as f64 <= (STORE_WRITES_PER_SECOND * 9.0) + processes as f64,
        "{writes}"
    );
    assert!(
        reads as f64 <= (STORE_READS_PER_SECOND * 9.0) + processes as f64,
        "{reads}"
    );
}

/// Guards against processes that all reconnect to the store at the same instant.
#[test]
fn calls_after_a_failure_are_spread_by_jitter() {
    let first = |random| {
        let mut limiter = RateLimiter::new(Time::ZERO, 1);
        for _ in 0..6 {
            limiter.failed(Time::ZERO, random);
        }
        limiter.admit(Time::ZERO, CallKind::Read).unwrap_err()
    };
    assert_eq!(first(0.0), Span::from_millis(750));
    assert_eq!(first(1.0), Span::from_millis(1_500));
}
