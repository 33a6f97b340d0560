//! Tests of the decoders.

use super::operator::{decode_config, decode_worker};
use super::{decode_work, encode_pending, encode_state, settings};
use crate::dispatch::JobStatus;
use crate::model::{Bytes, Resources, Span};

/// Guards against fields of a step that are read as zero or dropped.
#[test]
fn a_job_is_read_with_all_its_fields() {
    let text = r#"{"spec":"p","steps":[
        {"count":4,"cpu":500,"mem_mb":256,"estimate_ms":900,"affinity":"r1-3","max_per_server":2},
        {"count":2,"cpu":2000,"mem_mb":1024,"gpu":1,"estimate_ms":7000.5,"after":[0],"checkpoints":true,
         "gang":true,"same_rack":true,"requirements":"kind-a","speculative":true,"image":"i1","fills":true}],
        "first_run_ms":1000,"interval_ms":500,"repeat_count":3}"#;
    let work = decode_work(text.as_bytes()).unwrap();
    assert_eq!(work.check(), Ok(()));
    let [first, second] = work.steps.as_slice() else {
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
    let schedule = work.schedule.unwrap();
    assert_eq!(schedule.count, 3);
    assert_eq!(schedule.interval, Span::from_millis(500));
}

/// Guards against jobs that can never be run being accepted.
#[test]
fn unusable_jobs_are_refused() {
    for text in [
        r#"{"spec":"p","steps":[]}"#,
        r#"{"spec":"p","steps":[{"count":0}]}"#,
        r#"{"spec":"p","steps":[{"count":1,"after":[0]}]}"#,
        r#"{"spec":"p","steps":[{"count":1,"after":[1]},{"count":1}]}"#,
    ] {
        let work = decode_work(text.as_bytes()).unwrap();
        assert!(work.check().is_err(), "{text}");
    }
    for text in [
        "",
        "[]",
        r#"{"spec":"p"}"#,
        r#"{"spec":"p","steps":[{"count":"x"}]}"#,
    ] {
        assert!(decode_work(text.as_bytes()).is_err(), "{text}");
    }
}

/// Guards against a configuration that is dropped whole for one bad queue.
#[test]
fn a_queue_that_cannot_be_read_is_left_out() {
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
    assert_eq!(queue.terms.attempts, 2);
    assert_eq!(queue.terms.priority, 2);
    assert_eq!(queue.terms.target_duration, Span::from_millis(400));
    assert!(decode_config(b"{}").is_err());
}

/// Guards against entries of other writers that are taken for workers.
#[test]
fn foreign_entries_name_no_worker() {
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

/// Guards against names in answers that callers don't know.
#[test]
fn answers_use_the_names_of_the_platform() {
    assert_eq!(
        encode_state(JobStatus::Completed),
        r#"{"state":"completed"}"#
    );
    assert_eq!(encode_state(JobStatus::Queued), r#"{"state":"queued"}"#);
    assert_eq!(encode_pending(12), r#"{"pending":12}"#);
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
[platform]
address = "10.200.1.7:8169"
"#;

/// Guards against settings that are refused for a field that is new.
#[test]
fn settings_are_read_and_unknown_fields_ignored() {
    let read = settings::decode(SETTINGS).unwrap();
    assert_eq!(read.grace, Span::from_secs(6));
    assert_eq!(read.bounds.max_lease, Span::from_secs(6));
    assert_eq!(read.peers.port(), 7720);
    assert_eq!(read.shortest_lease, Span::from_secs(1));
}

/// Guards against settings that are used though a part is missing.
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

/// Guards against tickets that are taken for those of other workers.
#[test]
fn tickets_are_read_with_their_workers() {
    let text = r#"{"granted":[["i-1","c81e"],["i-2","77"]],"valid_ms":3000}"#;
    let grant = super::advice::decode_grant(text).unwrap();
    assert_eq!(grant.lifetime, Span::from_secs(3));
    let [first, second] = grant.tickets.as_slice() else {
        panic!("two tickets");
    };
    assert_eq!((first.0.as_str(), first.1.as_str()), ("i-1", "c81e"));
    assert_eq!((second.0.as_str(), second.1.as_str()), ("i-2", "77"));
    assert!(super::advice::decode_grant(r#"{"granted":[["i-1","c81e"]]}"#).is_err());
}
