//! Decoders of values in the store and of messages between hosts, with arbitrary and damaged
//! bytes.

use std::fmt::Debug;

use proptest::prelude::*;
use proptest::test_runner::{Config, TestRunner};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::super::candidacy::Eligibility;
use super::super::keys::{self, ChainMark, Leader, Resignation, TermRecord};
use super::super::peers::{PeerRequest, PeerResponse};
use super::super::relay::{HostReport, RelayBatch, RelayResults};
use crate::dispatch::{
    FullPool, InterferenceModel, JobKey, JobRecord, JobSpec, LoadEstimate, Progress, QueueSettings,
    Roster, SizeLimit, Step,
};
use crate::model::{DomainName, HostName, ServiceName, Span, WallTime};

pub(super) fn record() -> JobRecord {
    JobRecord {
        queue: QueueSettings {
            host: "a.example".into(),
            prefix: "/q/".into(),
            service: ServiceName::new("s"),
            priority: 1,
            attempts: 3,
            slack_factor: 2.0,
            target_duration: Span::from_millis(500),
            ticket_lifetime: Some(Span::from_secs(1)),
        },
        spec: JobSpec {
            payload: "payload".into(),
            steps: vec![Step {
                count: 4,
                label: Some("kind".into()),
                ..Step::default()
            }],
            schedule: None,
        },
        accepted: WallTime::from_micros(5),
        term_token: Some(70_001),
        customer: Some("desk".into()),
    }
}

fn leader() -> Leader {
    Leader {
        host: HostName::new("h1"),
        peer_address: ([127, 0, 0, 1], 7_000).into(),
        nonce: 99,
    }
}

/// Decodes bytes as each type that a host takes from the store or from another host.
fn decode_as_all(bytes: &[u8]) {
    fn decode<T: DeserializeOwned + Serialize>(bytes: &[u8]) {
        if let Some(value) = keys::decode::<T>("key", bytes) {
            // What was decoded can be passed on.
            keys::encode(&value);
        }
    }
    decode::<PeerRequest>(bytes);
    decode::<PeerResponse>(bytes);
    decode::<JobRecord>(bytes);
    decode::<Progress>(bytes);
    decode::<Roster>(bytes);
    decode::<InterferenceModel>(bytes);
    decode::<Leader>(bytes);
    decode::<TermRecord>(bytes);
    decode::<ChainMark>(bytes);
    decode::<Resignation>(bytes);
    decode::<u64>(bytes);
}

fn survives<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: T) -> Vec<u8> {
    let bytes = keys::encode(&value);
    assert_eq!(keys::decode::<T>("key", &bytes), Some(value));
    bytes
}

/// Encoded values of each kind, all of which are decoded as what they were.
fn valid_values() -> Vec<Vec<u8>> {
    let key = JobKey(0x5c0e_7a21_d94b_36f8);
    let report = HostReport {
        host: HostName::new("h2"),
        domain: DomainName::new("a"),
        peer_address: ([127, 0, 0, 1], 7_001).into(),
        cores: 0.25,
        draining: false,
    };
    let eligibility = Eligibility {
        link_mbps: 200.0,
        store_reachable: true,
    };
    let batch = RelayBatch {
        leader: ([127, 0, 0, 1], 7_000).into(),
        nonce: 99,
        token: 12,
        payloads: vec!["payload".into()],
        calls: Vec::new(),
    };
    let results = RelayResults {
        nonce: 99,
        results: Vec::new(),
    };
    let term = TermRecord {
        count: 3,
        leader: leader(),
    };
    let mark = ChainMark {
        nonce: 99,
        workers: 48,
    };
    let load = LoadEstimate {
        age: Span::from_millis(20),
        full: vec![FullPool {
            service: ServiceName::new("s"),
            jobs: 40,
            limit: 30,
            size_limits: vec![SizeLimit {
                priority: 2,
                work: 0,
            }],
            retry_after: Span::from_secs(2),
        }],
    };
    vec![
        survives(PeerRequest::JobStored(key, record())),
        survives(PeerRequest::StoreJob(key, record())),
        survives(PeerRequest::AnnounceHost(report, eligibility)),
        survives(PeerRequest::RelayCalls(batch)),
        survives(PeerRequest::RelayResults(results)),
        survives(PeerResponse::AnnounceAgain(Span::from_secs(1), None)),
        survives(PeerResponse::AnnounceAgain(
            Span::from_secs(1),
            Some(load.clone()),
        )),
        survives(PeerResponse::Acknowledged(Some(load))),
        survives(record()),
        survives(Progress::default()),
        survives(Roster::default()),
        survives(leader()),
        survives(term),
        survives(mark),
    ]
}

fn run<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = Config {
        cases: 3_000,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new(config).run(strategy, test).unwrap();
}

/// Guards against bytes in the store or from another host that end the process.
#[test]
fn arbitrary_bytes_do_not_panic() {
    run(&proptest::collection::vec(any::<u8>(), 0..300), |bytes| {
        decode_as_all(&bytes);
        Ok(())
    });
}

/// Guards against damaged values that end the process, or that make it reserve as much memory
/// as a damaged length says.
#[test]
fn damaged_values_do_not_panic() {
    let values = valid_values();
    let edits = proptest::collection::vec((any::<usize>(), any::<u8>(), 0..4), 1..5);
    run(&(0..values.len(), edits), |(i, edits)| {
        let mut bytes = values[i].clone();
        for (at, byte, action) in edits {
            let at = at % bytes.len().max(1);
            match action {
                0 if at < bytes.len() => bytes[at] = byte,
                1 => bytes.truncate(at),
                // The longest length that can be written.
                2 => drop(bytes.splice(at..at, [255, 255, 255, 255, 255, 255, 255, 255, 255, 1])),
                _ => bytes.insert(at, byte),
            }
        }
        decode_as_all(&bytes);
        Ok(())
    });
}
