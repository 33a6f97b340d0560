use clap::Parser;

use super::super::{Outcome, Sort};
use super::{Options, Outcomes, export, mix};
use crate::bench::Format;

fn parse(entry: &str) -> Result<Options, clap::Error> {
    Options::try_parse_from(["jujubelb-load", "--entry", entry, "--service", "hello"])
}

/// Guards against load on a machine that is not the caller's own.
#[test]
fn only_loopback_addresses_are_taken() {
    assert!(parse("127.0.0.1:8000").is_ok());
    assert!(parse("[::1]:8000").is_ok());
    for other in ["192.0.2.1:80", "0.0.0.0:80", "[2001:db8::1]:80"] {
        let error = parse(other).unwrap_err().to_string();
        assert!(error.contains("loopback addresses only"), "{error}");
    }
}

/// Guards against a misspelt sort that is left out of the load.
#[test]
fn shares_are_checked() {
    let wanted = [(Sort::Urgent, 8), (Sort::Keyed, 1)];
    assert_eq!(mix("urgent=8,keyed").unwrap().0, wanted);
    assert!(mix("urgnt=1").is_err());
    assert!(mix("urgent=0").is_err());
    assert!(mix("urgent=-1").is_err());
}

/// Guards against ends that are counted and not shown.
#[test]
fn all_ends_are_shown() {
    let mut outcome = Outcome::default();
    outcome.latency.record(2_000).unwrap();
    outcome.ends.insert("203".into(), 4);
    outcome.ends.insert("100".into(), 1);
    let outcomes = Outcomes::from([(Sort::Once, outcome)]);
    let text = export(&outcomes, Format::Table).unwrap();
    assert!(text.contains("100: 1, 203: 4"), "{text}");
    let json: serde_json::Value =
        serde_json::from_str(&export(&outcomes, Format::Json).unwrap()).unwrap();
    assert_eq!(json[0]["sort"], "once");
    assert_eq!(json[0]["requests"], 5);
    assert_eq!(json[0]["answered"], 1);
}
