//! Tests of the encoding and decoding of the platform's formats.

mod connections;
mod customers;
mod damage;
mod fuzzing;

use super::kv::decode_page;
use super::store_entries::{decode_config, decode_worker};
use super::{
    OPERATOR_PREFIX, WORKER_PREFIX, decode_submission, encode_job_status, encode_pending_count,
    settings,
};
use crate::dispatch::JobStatus;
use crate::model::{Bytes, Resources, Span};
use crate::node::HostSettings;

/// Guards against fields of a step that are dropped or decoded as zero.
#[test]
fn all_fields_of_a_submission_are_decoded() {
    let text = r#"{"spec":"p","steps":[
        {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3","max_per_server":2},
        {"count":2,"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":7000.5,"after":[0],"checkpoints":true,
         "gang":true,"same_rack":true,"requirements":"kind-a","speculative":true,"image":"i1","fills":true}],
        "first_run_ms":1000,"interval_ms":500,"repeat_count":3}"#;
    let spec = decode_submission(text.as_bytes()).unwrap();
    assert_eq!(spec.check(), Ok(()));
    let [first, second] = spec.steps.as_slice() else {
        panic!("two steps");
    };
    assert_eq!(first.size, Resources::new(500, Bytes::from_mib(256).0, 0));
    assert_eq!(first.data_rack.as_deref(), Some("r1-3"));
    assert_eq!(first.per_worker, Some(2));
    assert_eq!(first.label, None);
    assert_eq!(second.after, [0]);
    assert_eq!(second.estimate, Span::from_micros(7_000_500));
    assert!(second.gang && second.same_rack && second.speculative && second.best_effort);
    assert!(second.checkpoints && !second.long_running);
    let schedule = spec.schedule.unwrap();
    assert_eq!(schedule.count, 3);
    assert_eq!(schedule.interval, Span::from_millis(500));
}

/// Guards against accepting jobs that can never run.
#[test]
fn invalid_submissions_are_refused() {
    for text in [
        r#"{"spec":"p","steps":[]}"#,
        r#"{"spec":"p","steps":[{"count":0}]}"#,
        r#"{"spec":"p","steps":[{"count":1,"after":[0]}]}"#,
        r#"{"spec":"p","steps":[{"count":1,"after":[1]},{"count":1}]}"#,
    ] {
        let spec = decode_submission(text.as_bytes()).unwrap();
        assert!(spec.check().is_err(), "{text}");
    }
    for text in [
        "",
        "[]",
        r#"{"spec":"p"}"#,
        r#"{"spec":"p","steps":[{"count":"x"}]}"#,
    ] {
        assert!(decode_submission(text.as_bytes()).is_err(), "{text}");
    }
}

/// Guards against a configuration that is refused because of one invalid queue.
#[test]
fn an_invalid_queue_is_ignored() {
    let text = r#"{"version":7,"routes":[
        {"name":"r","host":"a.example","prefix":"/q/","timeout_ms":3000,"target_duration_ms":400,
         "priority":2,"service":"s","max_attempts":2,"slack_factor":1.5},
        {"name":"bad","host":5}],"services":[],"limits":{"max_body_bytes":1000}}"#;
    let operator = decode_config(text.as_bytes()).unwrap();
    assert_eq!(operator.version, 7);
    assert_eq!(operator.body_limit, Bytes(1000));
    let [queue] = operator.queues.as_slice() else {
        panic!("one queue");
    };
    assert_eq!(queue.settings.attempts, 2);
    assert_eq!(queue.settings.priority, 2);
    assert_eq!(queue.settings.target_duration, Span::from_millis(400));
    assert!(decode_config(b"{}").is_err());
}

/// Guards against entries of other writers that are decoded as workers.
#[test]
fn entries_of_other_writers_are_ignored() {
    let good = r#"{"service":"s","address":"10.1.0.9:80","zone":"z","version":"v1","capacity":8,
        "state":"draining","drain_remaining_ms":1200,"room":{"cpu":16000,"mem_mb":32,"gpu":0},
        "labels":["a","r1-2"],"clock_ms":1,"sequence":4,"born":77}"#;
    let report = decode_worker("servers/i-1", good.as_bytes()).unwrap();
    assert_eq!(report.rack.as_deref(), Some("r1-2"));
    assert_eq!(report.drain_remaining, Some(Span::from_millis(1_200)));
    assert_eq!(
        report.capacity,
        Resources::new(16_000, Bytes::from_mib(32).0, 0)
    );
    for bad in [
        good.replace("draining", "sleeping"),
        good.replace("10.1.0.9:80", "nowhere"),
        good.replace(r#""room""#, r#""rooms""#),
        good.replace("16000", r#""many""#),
        "\u{0}\u{1}".to_owned(),
    ] {
        assert_eq!(decode_worker("servers/i-1", bad.as_bytes()), None, "{bad}");
    }
    assert_eq!(decode_worker("other/i-1", good.as_bytes()), None);
}

/// Guards against an entry that keeps an earlier one of its key in use because its value is not
/// base64.
#[test]
fn a_value_that_is_not_base64_counts_as_empty() {
    let page = r#"{"items":[{"key":"servers/i-1","value":"\u0000%","revision":4},
        {"key":"servers/i-2","value":"AAE","revision":5}],"has_more":false,"store_revision":9}"#;
    let (items, _) = decode_page(WORKER_PREFIX, page.as_bytes(), "").unwrap();
    let values: Vec<_> = items.iter().map(|i| (i.key.as_str(), &i.value)).collect();
    let empty = Some(Vec::new());
    assert_eq!(values, [("servers/i-1", &empty), ("servers/i-2", &empty)]);
    assert_eq!(decode_worker("servers/i-1", b""), None);
}

/// Guards against a state of a job that is overlooked because its item can't be decoded: a new
/// leader would start the tasks again that are done. Other writers have no keys there.
#[test]
fn an_odd_item_outside_the_entries_of_workers_is_an_error() {
    let page = r#"{"items":[{"key":"state/1","value":"AAE=","revision":4},{"key":"state/2"}],
        "has_more":false,"store_revision":9}"#;
    let error = decode_page("state/", page.as_bytes(), "").unwrap_err();
    assert!(error.contains("can't be decoded"), "{error}");
    let (items, _) = decode_page(WORKER_PREFIX, page.as_bytes(), "").unwrap();
    assert_eq!(items.len(), 2);
}

/// Guards against a watch of the operator's keys that stays at its position for ever because one
/// item can't be decoded.
#[test]
fn an_odd_item_among_the_keys_of_the_operator_hides_no_other() {
    let page = r#"{"items":[{"key":"op/config","value":7,"revision":4},{"revision":5},
        {"key":"op/evacuate/a","revision":6,"tombstone":true,"value":7},
        {"key":"op/evacuate/b","value":"e30=","revision":7}],"has_more":false,"store_revision":9}"#;
    let (items, _) = decode_page(OPERATOR_PREFIX, page.as_bytes(), "").unwrap();
    let found: Vec<_> = items
        .iter()
        .map(|i| (i.key.as_str(), i.value.as_deref()))
        .collect();
    let expected = [
        ("op/config", Some(&b""[..])),
        ("", Some(b"")),
        ("op/evacuate/a", None),
        ("op/evacuate/b", Some(b"{}")),
    ];
    assert_eq!(found, expected);
}

/// Guards against entries that decode and hurt: an address that is nobody's, a time that lasts
/// for ever, and texts that are copied often and stored with the roster.
#[test]
fn entries_with_fields_out_of_range_name_no_worker() {
    let good = r#"{"service":"s","address":"10.1.0.9:80","zone":"z","state":"draining",
        "drain_remaining_ms":-1200,"room":{"cpu":16000,"mem_mb":32,"gpu":0},"labels":["a","r1-2"]}"#;
    let report = decode_worker("servers/i-1", good.as_bytes()).unwrap();
    assert_eq!(report.drain_remaining, Some(Span::ZERO));
    let long = "x".repeat(201);
    let many = format!("\"labels\":[{}\"a\"", "\"l\",".repeat(64));
    let mut accepted = Vec::new();
    for (from, to) in [
        ("10.1.0.9:80", "10.1.0.9:0"),
        ("10.1.0.9:80", "10.1.0.9:65536"),
        ("10.1.0.9:80", "0.0.0.0:80"),
        ("10.1.0.9:80", "[::]:80"),
        ("10.1.0.9:80", "224.0.0.1:80"),
        ("10.1.0.9:80", "255.255.255.255:80"),
        ("-1200", "1e300"),
        ("-1200", "-1e300"),
        ("-1200", "1e400"),
        ("\"service\":\"s\"", &format!("\"service\":\"{long}\"")),
        ("\"zone\":\"z\"", &format!("\"zone\":\"{long}\"")),
        ("\"labels\":[\"a\"", &format!("\"labels\":[\"{long}\"")),
        ("\"labels\":[\"a\"", &many),
    ] {
        assert!(good.contains(from), "{from}");
        if decode_worker("servers/i-1", good.replace(from, to).as_bytes()).is_some() {
            accepted.push(to.chars().take(30).collect::<String>());
        }
    }
    if decode_worker(&format!("servers/{long}"), good.as_bytes()).is_some() {
        accepted.push("a long name".to_owned());
    }
    if decode_worker("servers/", good.as_bytes()).is_some() {
        accepted.push("an empty name".to_owned());
    }
    assert_eq!(accepted, [""; 0]);
}

/// Guards against field and status names that callers don't know.
#[test]
fn responses_use_the_platforms_names() {
    assert_eq!(
        encode_job_status(JobStatus::Completed),
        r#"{"state":"completed"}"#
    );
    assert_eq!(
        encode_job_status(JobStatus::Queued),
        r#"{"state":"queued"}"#
    );
    assert_eq!(encode_pending_count(12), r#"{"pending":12}"#);
}

const SETTINGS: &str = r#"
node_name = "edge-1"
ip = "10.1.0.13"
zone = "a"
internal_ports = [7720, 7735]
unknown = true
[bind_addresses]
frontend = "10.1.0.13:8161"
readiness = "10.1.0.13:8167"
[limits]
cpu_share = 0.25
cores = 1
[bounds]
grace_s = 6
hold_max_ms = 6000
stop_ms = 400
config_ms = 4000
evacuation_ms = 7000
drain_ms = 3000
[platform]
address = "10.200.1.7:8169"
"#;

/// Guards against settings that are refused because of a field that a later platform
/// version added.
#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let read = settings::decode(SETTINGS).unwrap();
    assert_eq!(read.stop_grace, Span::from_secs(6));
    assert_eq!(read.bounds.max_lease, Span::from_secs(6));
    assert_eq!(read.peer_address.port(), 7720);
    assert_eq!(read.min_lease_ttl, Span::from_secs(1));
    assert_eq!(read.config_bound, Span::from_secs(4));
    let unbounded = settings::decode(&SETTINGS.replace("config_ms = 4000", "")).unwrap();
    assert_eq!(unbounded.config_bound, Span::from_millis(2_500));
    assert!(!read.revocation.strict && read.revocation.bound == read.config_bound);
    let text = SETTINGS.replace("stop_ms", "revoke_strict = true\nrevoke_ms = 2000\nstop_ms");
    let strict = settings::decode(&text).unwrap().revocation;
    assert!(strict.strict && strict.bound == Span::from_secs(2));
    let start_bounds = |s: &HostSettings| (s.bounds.evacuation, s.bounds.drain);
    let expected = (Span::from_secs(7), Span::from_secs(3));
    assert_eq!(start_bounds(&read), expected);
    let text = SETTINGS.replace("evacuation_ms = 7000\ndrain_ms = 3000\n", "");
    let unbounded = settings::decode(&text).unwrap();
    let expected = (Span::from_secs(5), Span::from_millis(2_500));
    assert_eq!(start_bounds(&unbounded), expected);
}

/// Guards against settings with missing or invalid fields being used.
#[test]
fn incomplete_settings_are_refused() {
    for line in [
        "node_name = \"edge-1\"",
        "stop_ms = 400",
        "address = \"10.200.1.7:8169\"",
    ] {
        let text = SETTINGS.replace(line, "");
        assert!(settings::decode(&text).is_err(), "{line}");
    }
    let swapped = SETTINGS.replace("[7720, 7735]", "[7735, 7720]");
    assert!(settings::decode(&swapped).is_err());
}

/// Guards against tickets that are assigned to another worker.
#[test]
fn tickets_are_decoded_with_their_workers() {
    let text = r#"{"granted":[["i-1","c81e"],["i-2","77"]],"valid_ms":3000}"#;
    let grant = super::policy_service::decode_grant(text).unwrap();
    assert_eq!(grant.lifetime, Span::from_secs(3));
    let [first, second] = grant.tickets.as_slice() else {
        panic!("two tickets");
    };
    assert_eq!((first.0.as_str(), first.1.as_str()), ("i-1", "c81e"));
    assert_eq!((second.0.as_str(), second.1.as_str()), ("i-2", "77"));
    assert!(super::policy_service::decode_grant(r#"{"granted":[["i-1","c81e"]]}"#).is_err());
}
