//! Decisions on the keys of callers.

use super::super::access::{Access, AccessCause, CallKind, RefusalLog, decide};
use super::super::known_config::ConfigEvidence;
use crate::model::{CustomerName, Span, Time};
use crate::platform::{KeyDigest, OperatorConfig, decode_config};

const IN_FORCE: ConfigEvidence = ConfigEvidence {
    in_force: true,
    is_recent: true,
    superseded: false,
};

const OVERDUE: ConfigEvidence = ConfigEvidence {
    in_force: false,
    is_recent: false,
    superseded: false,
};

/// An item that can't be decoded follows the configuration.
const SUPERSEDED: ConfigEvidence = ConfigEvidence {
    in_force: false,
    is_recent: true,
    superseded: true,
};

/// A configuration with the key `k1` of the customer `one`, and one queue.
fn config(public: bool, other: &str) -> OperatorConfig {
    let text = format!(
        r#"{{"version":1,"routes":[{{"host":"h","prefix":"/q/","service":"s","public":{public}}}],
            "tenants":[{{"name":"one","api_keys":["k1"],"weight":1}}{other}]}}"#
    );
    decode_config(text.as_bytes()).unwrap()
}

fn decided<'a>(
    config: &'a OperatorConfig,
    key: Option<&str>,
    kind: CallKind,
    evidence: ConfigEvidence,
    strict: bool,
) -> Access<'a> {
    let key = key.map(KeyDigest::of);
    decide(
        config,
        &config.queues[0],
        key.as_ref(),
        kind,
        evidence,
        strict,
    )
}

/// Guards against 401 for a key that a newer configuration may hold, and against 503, which callers
/// repeat, for one that certainly doesn't exist.
#[test]
fn an_unknown_key_is_final_only_if_the_configuration_is_in_force() {
    let whole = config(false, "");
    let broken = config(false, r#",{"name":"two","api_keys":["k2"],"weight":-1}"#);
    let refusal = |config: &OperatorConfig, key, evidence| match decided(
        config,
        key,
        CallKind::Read,
        evidence,
        false,
    ) {
        Access::Refused(cause, None) => cause,
        other => panic!("{other:?}"),
    };
    assert_eq!(refusal(&whole, Some("k2"), IN_FORCE), AccessCause::Unknown);
    assert_eq!(refusal(&whole, None, IN_FORCE), AccessCause::Missing);
    assert_eq!(refusal(&broken, None, IN_FORCE), AccessCause::Missing);
    for evidence in [OVERDUE, SUPERSEDED] {
        for key in [None, Some("k2")] {
            assert_eq!(refusal(&whole, key, evidence), AccessCause::Unconfirmed);
        }
    }
    let in_broken = refusal(&broken, Some("k2"), IN_FORCE);
    assert_eq!(in_broken, AccessCause::Unconfirmed);
}

/// Guards against a known key that writes, or that is used at all in a strict deployment, while it
/// may have been withdrawn; and against an outage of the store that stops reads elsewhere.
#[test]
fn a_known_key_without_evidence_reads_at_most() {
    let config = config(false, "");
    let name = CustomerName::from("one");
    let served = Access::Customer(&name);
    let refused = Access::Refused(AccessCause::NoEvidence, Some(&name));
    let (read, write) = (CallKind::Read, CallKind::Write);
    for (evidence, kind, strict, expected) in [
        (IN_FORCE, read, true, served),
        (IN_FORCE, write, true, served),
        (OVERDUE, read, false, served),
        (OVERDUE, write, false, refused),
        (OVERDUE, read, true, refused),
        (OVERDUE, write, true, refused),
        (SUPERSEDED, write, false, served),
        (SUPERSEDED, read, true, refused),
    ] {
        let access = decided(&config, Some("k1"), kind, evidence, strict);
        assert_eq!(access, expected, "{evidence:?} {kind:?} {strict}");
    }
}

/// Guards against keys that are asked for at a public queue.
#[test]
fn a_public_queue_needs_no_key() {
    let config = config(true, "");
    for key in [None, Some("k1"), Some("k2")] {
        for evidence in [IN_FORCE, OVERDUE] {
            let access = decided(&config, key, CallKind::Write, evidence, true);
            assert_eq!(access, Access::Public);
        }
    }
}

/// Guards against a log line for each call without a key, and against calls that no line counts.
#[test]
fn refused_calls_share_a_log_line() {
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    let mut log = RefusalLog::default();
    assert_eq!(log.count(AccessCause::Missing, at(0)), Some(1));
    for ms in 1..500 {
        assert_eq!(log.count(AccessCause::Missing, at(ms)), None);
    }
    assert_eq!(log.count(AccessCause::Unknown, at(100)), Some(1));
    assert_eq!(log.count(AccessCause::Missing, at(500)), Some(500));
    assert_eq!(log.count(AccessCause::Unknown, at(700)), Some(1));
}
