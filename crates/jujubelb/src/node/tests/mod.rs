//! Tests of the parts of the process that need no network.

use super::keys;
use super::peers::{PeerRequest, PeerResponse};
use super::state::ActiveConfig;
use crate::dispatch::JobKey;
use crate::platform::decode_config;

fn active_config() -> ActiveConfig {
    let text = r#"{"version":1,"routes":[
        {"host":"a.example","prefix":"/q/","service":"s"},
        {"host":"a.example","prefix":"/q/deep/","service":"t"},
        {"host":"b.example","prefix":"/q/","service":"u"}]}"#;
    ActiveConfig::new(decode_config(text.as_bytes()).unwrap())
}

/// Guards against a request that is routed to a queue with a shorter prefix or of
/// another host name.
#[test]
fn the_longest_prefix_of_the_host_chooses_the_queue() {
    let config = active_config();
    let service = |host, path| {
        config
            .queue(host, path)
            .map(|q| q.settings.service.to_string())
    };
    assert_eq!(service("a.example", "/q/1").as_deref(), Some("s"));
    assert_eq!(service("a.example", "/q/deep/1").as_deref(), Some("t"));
    assert_eq!(service("b.example", "/q/deep/1").as_deref(), Some("u"));
    assert_eq!(service("b.example", "/other"), None);
    assert_eq!(service("c.example", "/q/1"), None);
}

/// Guards against keys of one kind that are parsed as another kind.
#[test]
fn keys_are_parsed_by_their_own_prefix() {
    let key = JobKey(0x5c0e_7a21_d94b_36f8);
    assert_eq!(
        keys::parse_job(&keys::job(key), keys::JOB_PREFIX),
        Some(key)
    );
    assert_eq!(
        keys::parse_job(&keys::cancel(key), keys::CANCEL_PREFIX),
        Some(key)
    );
    assert_eq!(keys::parse_job(&keys::cancel(key), keys::JOB_PREFIX), None);
    assert!(keys::job(key).starts_with(keys::INTAKE_PREFIX));
    assert!(!keys::state(key).starts_with(keys::INTAKE_PREFIX));
    assert!(!keys::TERM.starts_with(keys::SYSTEM_PREFIX));
}

/// Guards against peer requests that change in encoding, and damaged responses that are
/// decoded.
#[test]
fn peer_requests_survive_encoding() {
    let request = PeerRequest::PendingCount("a.example".to_owned(), "/q/".to_owned());
    let bytes = keys::encode(&request);
    assert_eq!(
        keys::decode::<PeerRequest>("request", &bytes),
        Some(request)
    );
    assert_eq!(keys::decode::<PeerResponse>("response", &[250, 1]), None);
}
