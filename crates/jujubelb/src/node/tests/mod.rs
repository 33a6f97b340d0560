//! Tests of the parts of the process that need no network.

use super::keys;
use super::peers::{Ask, Tell};
use super::state::InForce;
use crate::dispatch::JobKey;
use crate::platform::decode_config;

fn in_force() -> InForce {
    let text = r#"{"version":1,"routes":[
        {"host":"a.example","prefix":"/q/","service":"s"},
        {"host":"a.example","prefix":"/q/deep/","service":"t"},
        {"host":"b.example","prefix":"/q/","service":"u"}]}"#;
    InForce::new(decode_config(text.as_bytes()).unwrap())
}

/// Guards against a request that reaches a queue with a shorter prefix or of another host.
#[test]
fn the_longest_prefix_of_the_host_chooses_the_queue() {
    let config = in_force();
    let service = |host, path| {
        config
            .queue(host, path)
            .map(|q| q.terms.service.to_string())
    };
    assert_eq!(service("a.example", "/q/1").as_deref(), Some("s"));
    assert_eq!(service("a.example", "/q/deep/1").as_deref(), Some("t"));
    assert_eq!(service("b.example", "/q/deep/1").as_deref(), Some("u"));
    assert_eq!(service("b.example", "/other"), None);
    assert_eq!(service("c.example", "/q/1"), None);
}

/// Guards against keys of one kind that are taken for another.
#[test]
fn keys_name_their_job() {
    let key = JobKey(0x5c0e_7a21_d94b_36f8);
    assert_eq!(keys::job_of(&keys::job(key), keys::JOBS), Some(key));
    assert_eq!(keys::job_of(&keys::cancel(key), keys::CANCELS), Some(key));
    assert_eq!(keys::job_of(&keys::cancel(key), keys::JOBS), None);
    assert!(keys::job(key).starts_with(keys::INTAKE));
    assert!(!keys::state(key).starts_with(keys::INTAKE));
    assert!(!keys::TERM.starts_with(keys::SYSTEM));
}

/// Guards against calls between hosts that are not read as they were sent.
#[test]
fn calls_between_hosts_are_read_as_sent() {
    let ask = Ask::Pending("a.example".to_owned(), "/q/".to_owned());
    let bytes = keys::encode(&ask);
    assert_eq!(keys::decode::<Ask>("ask", &bytes), Some(ask));
    assert_eq!(keys::decode::<Tell>("tell", &[250, 1]), None);
}
