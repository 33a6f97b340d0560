//! Decoders of what comes from outside, with arbitrary bytes and damaged documents.

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use serde_json::Value;

use super::super::kv::decode_page;
use super::super::policy_service::decode_grant;
use super::super::workers::decode_poll;
use super::super::{WORKER_PREFIX, decode_config, decode_submission, decode_worker, settings};
use super::SETTINGS;
use super::damage::{apply, damage};
use crate::model::Span;

/// Valid submissions, with each field at least once.
const SUBMISSIONS: [&str; 2] = [
    r#"{"spec":"p","steps":[
        {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3","max_per_server":2},
        {"count":2,"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":7000.5,"after":[0],"checkpoints":true,
         "gang":true,"same_rack":true,"requirements":"kind-a","speculative":true,"image":"i1","fills":true}],
        "first_run_ms":1000,"interval_ms":500,"repeat_count":3}"#,
    r#"{"spec":"","steps":[{"count":3,"cpu":100,"long_running":true,"target_ms":80.5,"may_miss":1}]}"#,
];

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r","host":"a.example","prefix":"/q/",
    "timeout_ms":3000,"target_duration_ms":400,"priority":2,"service":"s","max_attempts":2,
    "slack_factor":1.5,"advice":{"decide_ms":5,"each_ms":1,"valid_ms":900}}],
    "services":[],"limits":{"max_body_bytes":1000},"tenants":[{"name":"c","api_keys":["k1","k2"],
    "weight":3,"max_count":{"cpu":2000,"mem_mb":1024,"gpu":1}}]}"#;

const WORKER: &str = r#"{"service":"s","address":"10.1.0.9:80","zone":"z","version":"v1",
    "state":"draining","drain_remaining_ms":1200,"room":{"cpu":16000,"mem_mb":32,"gpu":0},
    "labels":["a","r1-2"],"clock_ms":1,"sequence":4,"born":77}"#;

const POLL_REPLY: &str = r#"{"clock_ms":912.5,"born":77,
    "running":[["5c0e7a21d94b36f8.0.1.2",10001,"c1",40,812.5],["5c0e7a21d94b36f8.0.1.3",10001,"",0]],
    "finished":[[4,"5c0e7a21d94b36f8.0.0.0",10001,"done",""],[5,"5c0e7a21d94b36f8.0.0.1",2,"failed","c2"]]}"#;

const GRANT: &str = r#"{"granted":[["i-1","c81e"],["i-2","77"]],"valid_ms":3000}"#;

const PAGE: &str = r#"{"items":[{"key":"in/job/1","value":"AAEC","revision":4,"created":4,"lease":0},
    {"key":"in/job/2","revision":5,"tombstone":true}],"has_more":false,"store_revision":9}"#;

/// Decodes a document, and checks what was decoded. Returns the text of the error.
type Decode = fn(&[u8]) -> Result<(), String>;

/// Longest time that a decoder may yield. Sums of some thousands of such times can be calculated.
const MAX_TIME: Span = Span::from_secs(100_000_000_000);

fn submission(bytes: &[u8]) -> Result<(), String> {
    let spec = decode_submission(bytes).map_err(|e| e.to_string())?;
    spec.check().map_err(|e| e.to_string())?;
    for step in &spec.steps {
        assert!(step.estimate <= MAX_TIME && step.target.is_none_or(|t| t <= MAX_TIME));
        assert!(step.size.cpu.0 <= 1 << 40 && step.size.memory.0 <= 1 << 60);
    }
    Ok(())
}

fn config(bytes: &[u8]) -> Result<(), String> {
    let operator = decode_config(bytes).map_err(|e| e.to_string())?;
    for queue in &operator.queues {
        let settings = &queue.settings;
        assert!(queue.timeout <= MAX_TIME && settings.target_duration <= MAX_TIME);
        assert!((0.0..=1e9).contains(&settings.slack_factor) && settings.attempts > 0);
    }
    for policy in operator.customers.values() {
        assert!(
            policy.weight > 0 && policy.limit.cpu.0 <= 1 << 40 && policy.limit.memory.0 <= 1 << 60
        );
    }
    let needs_key = operator.keys.is_some();
    assert!(operator.queues.iter().all(|q| q.needs_key == needs_key));
    // The error of a queue is only logged.
    match operator.queues.len() {
        1 => Ok(()),
        _ => Err("a queue".to_owned()),
    }
}

fn worker(bytes: &[u8]) -> Result<(), String> {
    // The error is only logged.
    let report = decode_worker("servers/i-1", bytes).ok_or("an entry")?;
    assert!(report.capacity.cpu.0 <= 1 << 40 && report.capacity.memory.0 <= 1 << 60);
    Ok(())
}

fn poll_reply(bytes: &[u8]) -> Result<(), String> {
    let reply = decode_poll(bytes).map_err(|e| e.to_string())?;
    assert!(reply.clock.as_micros() <= MAX_TIME.as_micros());
    Ok(())
}

fn grant(bytes: &[u8]) -> Result<(), String> {
    let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
    let grant = decode_grant(text).map_err(|e| e.to_string())?;
    assert!(grant.lifetime <= MAX_TIME);
    Ok(())
}

fn page(bytes: &[u8]) -> Result<(), String> {
    decode_page(WORKER_PREFIX, bytes, "").map(|_| ())
}

fn host_settings(bytes: &[u8]) -> Result<(), String> {
    let text = std::str::from_utf8(bytes).map_err(|e| e.to_string())?;
    let read = settings::decode(text).map_err(|e| format!("{e:#}"))?;
    let bounds = read.bounds;
    for time in [
        read.stop_grace,
        read.min_lease_ttl,
        bounds.max_lease,
        bounds.max_stop,
    ] {
        assert!(time <= MAX_TIME);
    }
    assert!(read.cpu_cores >= 0.0 && read.link_mbps >= 0.0 && bounds.remote_factor >= 0.0);
    Ok(())
}

const JSON_DECODERS: [(&str, Decode); 7] = [
    (SUBMISSIONS[0], submission),
    (SUBMISSIONS[1], submission),
    (CONFIG, config),
    (WORKER, worker),
    (POLL_REPLY, poll_reply),
    (GRANT, grant),
    (PAGE, page),
];

fn run<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: 1_500,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new(config).run(strategy, test).unwrap();
}

/// Whether the error says more than that there is one.
fn check_error(result: Result<(), String>) -> Result<(), TestCaseError> {
    prop_assert!(result.is_ok() || result.is_err_and(|e| e.len() > 5));
    Ok(())
}

/// Guards against corpora of the tests below that are no valid documents.
#[test]
fn the_undamaged_documents_are_decoded() {
    for (text, decode) in JSON_DECODERS {
        assert_eq!(decode(text.as_bytes()), Ok(()), "{text}");
    }
    assert_eq!(host_settings(SETTINGS.as_bytes()), Ok(()));
}

/// Guards against bytes that no writer of a document has made and that end the process.
#[test]
fn arbitrary_bytes_are_refused() {
    run(&proptest::collection::vec(any::<u8>(), 0..200), |bytes| {
        for (_, decode) in JSON_DECODERS {
            prop_assert!(decode(&bytes).is_err());
        }
        prop_assert!(host_settings(&bytes).is_err());
        Ok(())
    });
}

/// Guards against values of a wrong type or range that panic, or that are taken for others
/// without an error.
#[test]
fn damaged_documents_are_refused_or_decoded_within_their_ranges() {
    let changes = proptest::collection::vec((any::<usize>(), damage()), 1..4);
    run(&(0..JSON_DECODERS.len(), changes), |(i, changes)| {
        let (text, decode) = JSON_DECODERS[i];
        let mut document: Value = serde_json::from_str(text).unwrap();
        for (place, damage) in &changes {
            apply(&mut document, *place, damage);
        }
        check_error(decode(document.to_string().as_bytes()))
    });
}

/// Guards against documents that were cut or altered on their way.
#[test]
fn cut_and_altered_texts_do_not_panic() {
    let case = (
        0..=JSON_DECODERS.len(),
        any::<usize>(),
        any::<usize>(),
        any::<u8>(),
    );
    run(&case, |(i, cut, at, byte)| {
        let known = JSON_DECODERS.get(i);
        let (text, decode) = known.copied().unwrap_or((SETTINGS, host_settings));
        let mut bytes = text.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        check_error(decode(&bytes))?;
        check_error(decode(&text.as_bytes()[..cut % text.len()]))
    });
}

/// Guards against a key that is given twice, of which one value is silently dropped.
#[test]
fn a_repeated_key_is_refused() {
    for (text, decode) in [
        (SUBMISSIONS[0], submission as Decode),
        (CONFIG, config),
        (WORKER, worker),
        (POLL_REPLY, poll_reply),
        (GRANT, grant),
    ] {
        let Value::Object(fields) = serde_json::from_str(text).unwrap() else {
            panic!("an object");
        };
        let unknown = ["version", "name", "clock_ms", "sequence", "services"];
        for (key, value) in fields
            .iter()
            .filter(|(k, _)| !unknown.contains(&k.as_str()))
        {
            let repeated = text.replacen('{', &format!("{{\"{key}\":{value},"), 1);
            assert!(decode(repeated.as_bytes()).is_err(), "{repeated}");
        }
    }
}

/// Guards against deep nesting that exhausts the stack.
#[test]
fn deep_nesting_is_refused() {
    for open in ["[", "{\"steps\":[", "{\"routes\":["] {
        let text = open.repeat(200_000);
        for (_, decode) in JSON_DECODERS {
            assert!(decode(text.as_bytes()).is_err());
        }
    }
    let text = format!("{SETTINGS}\nx = {}", "[".repeat(100_000));
    assert!(host_settings(text.as_bytes()).is_err());
}

/// Guards against numbers out of range that are taken for the nearest one in range.
#[test]
fn numbers_out_of_range_are_refused() {
    let cases: [(&str, Decode, &str, &str); 15] = [
        (
            SUBMISSIONS[0],
            submission,
            "\"estimate_ms\":900",
            "\"estimate_ms\":-900",
        ),
        (
            SUBMISSIONS[0],
            submission,
            "\"estimate_ms\":900",
            "\"estimate_ms\":1e300",
        ),
        (
            SUBMISSIONS[0],
            submission,
            "\"cpu\":500",
            "\"cpu\":18446744073709551615",
        ),
        (
            SUBMISSIONS[0],
            submission,
            "\"mem_mb\":256",
            "\"mem_mb\":17592186044416",
        ),
        (
            SUBMISSIONS[0],
            submission,
            "\"interval_ms\":500",
            "\"interval_ms\":-500",
        ),
        (
            SUBMISSIONS[0],
            submission,
            "\"first_run_ms\":1000",
            "\"first_run_ms\":1e300",
        ),
        (
            SUBMISSIONS[1],
            submission,
            "\"target_ms\":80.5",
            "\"target_ms\":-80.5",
        ),
        (
            CONFIG,
            config,
            "\"timeout_ms\":3000",
            "\"timeout_ms\":18446744073709551615",
        ),
        (
            CONFIG,
            config,
            "\"target_duration_ms\":400",
            "\"target_duration_ms\":-1",
        ),
        (
            CONFIG,
            config,
            "\"slack_factor\":1.5",
            "\"slack_factor\":-1.5",
        ),
        (
            CONFIG,
            config,
            "\"valid_ms\":900",
            "\"valid_ms\":18446744073709551615",
        ),
        (
            WORKER,
            worker,
            "\"cpu\":16000",
            "\"cpu\":18446744073709551615",
        ),
        (WORKER, worker, "\"mem_mb\":32", "\"mem_mb\":17592186044416"),
        (
            POLL_REPLY,
            poll_reply,
            "\"clock_ms\":912.5",
            "\"clock_ms\":-912.5",
        ),
        (GRANT, grant, "\"valid_ms\":3000", "\"valid_ms\":-3000"),
    ];
    for (text, decode, from, to) in cases {
        assert!(text.contains(from), "{from}");
        let error = decode(text.replace(from, to).as_bytes()).expect_err(to);
        let number = to.rsplit(':').next().unwrap_or_default();
        let is_named = error.contains(number.trim_end_matches("e300"));
        assert!(is_named || error.starts_with("a"), "{to}: {error}");
    }
    for (from, to) in [
        ("stop_ms = 400", "stop_ms = -400"),
        ("grace_s = 6", "grace_s = nan"),
        ("cpu_share = 0.25", "cpu_share = inf"),
    ] {
        let error = host_settings(SETTINGS.replace(from, to).as_bytes()).expect_err(to);
        let (field, _) = from.split_once(' ').unwrap();
        assert!(error.contains(field), "{to}: {error}");
    }
}

/// Guards against taking a run for ended because its row in a worker's reply can't be read:
/// its task would start again elsewhere. A row of a task that is none of ours is ignored.
#[test]
fn a_reply_with_an_unreadable_row_of_a_task_is_refused() {
    for (from, to) in [
        (r#",10001,"c1",40,812.5"#, r#",10001,"c1","40",812.5"#),
        (r#",10001,"c1",40,812.5"#, r#",10001,"c1",-40,812.5"#),
        (r#",10001,"c1",40,812.5"#, r#",10001"#),
        (r#",10001,"",0"#, r#",-1,"",0"#),
        (r#""done""#, r#""vanished""#),
        (r#"[5,"#, r#"["five","#),
    ] {
        assert!(POLL_REPLY.contains(from), "{from}");
        let text = POLL_REPLY.replace(from, to);
        assert!(decode_poll(text.as_bytes()).is_err(), "{to}");
    }
    let foreign = POLL_REPLY.replace("5c0e7a21d94b36f8.0.1.2", "probe");
    assert_eq!(decode_poll(foreign.as_bytes()).unwrap().running.len(), 1);
}

/// Guards against reading the pages of a range without end, if a page does not go on from
/// where the last one ended.
#[test]
fn a_page_that_does_not_go_on_is_refused() {
    let more = PAGE.replace("\"has_more\":false", "\"has_more\":true");
    let next = |after| decode_page(WORKER_PREFIX, more.as_bytes(), after).map(|(_, next)| next);
    assert_eq!(next("in/job/1"), Ok(Some("in/job/2".to_owned())));
    assert!(next("in/job/2").is_err() && next("in/job/3").is_err());
    let last = decode_page(WORKER_PREFIX, PAGE.as_bytes(), "in/job/2").map(|(_, next)| next);
    assert_eq!(last, Ok(None));
}

/// Guards against reading on from an item whose key can't be read: from the key before it the
/// pages go on, and without any readable key they would never end.
#[test]
fn a_page_goes_on_from_its_last_readable_key() {
    let odd = r#"{"items":[{"key":[]}],"has_more":true,"store_revision":9}"#;
    let error = decode_page(WORKER_PREFIX, odd.as_bytes(), "in/job/1").unwrap_err();
    assert!(error.contains("no readable key"), "{error}");
    let more = PAGE.replace("\"has_more\":false", "\"has_more\":true");
    let last = more.replace("],", r#",{"key":[]}],"#);
    let next =
        decode_page(WORKER_PREFIX, last.as_bytes(), "").map(|(items, next)| (items.len(), next));
    assert_eq!(next, Ok((2, Some("in/job/2".to_owned()))));
}
