use clap::Parser;

use super::super::{RequestKind, RequestStats};
use super::{Options, StatsByKind, export, parse_mix};
use crate::bench::Format;

fn parse(entry: &str) -> Result<Options, clap::Error> {
    Options::try_parse_from(["jujubelb-load", "--entry", entry, "--service", "hello"])
}

/// Guards against load being sent to another machine by a mistyped address.
#[test]
fn non_loopback_addresses_are_rejected() {
    assert!(parse("127.0.0.1:8000").is_ok());
    assert!(parse("[::1]:8000").is_ok());
    for other in ["192.0.2.1:80", "0.0.0.0:80", "[2001:db8::1]:80"] {
        let error = parse(other).unwrap_err().to_string();
        assert!(error.contains("loopback addresses only"), "{error}");
    }
}

/// Guards against a misspelt request kind being silently left out of the load.
#[test]
fn invalid_mixes_are_rejected() {
    let wanted = [(RequestKind::Urgent, 8), (RequestKind::Keyed, 1)];
    assert_eq!(parse_mix("urgent=8,keyed").unwrap().0, wanted);
    assert!(parse_mix("urgnt=1").is_err());
    assert!(parse_mix("urgent=0").is_err());
    assert!(parse_mix("urgent=-1").is_err());
}

/// Guards against outcomes that are counted but missing from the table or the JSON.
#[test]
fn every_outcome_is_listed() {
    let mut kind_stats = RequestStats::default();
    kind_stats.latency.record(2_000).unwrap();
    kind_stats.outcomes.insert("203".into(), 4);
    kind_stats.outcomes.insert("100".into(), 1);
    let stats = StatsByKind::from([(RequestKind::Once, kind_stats)]);
    let text = export(&stats, Format::Table).unwrap();
    assert!(text.contains("100: 1, 203: 4"), "{text}");
    let json: serde_json::Value =
        serde_json::from_str(&export(&stats, Format::Json).unwrap()).unwrap();
    assert_eq!(json[0]["sort"], "once");
    assert_eq!(json[0]["requests"], 5);
    assert_eq!(json[0]["answered"], 1);
}
