//! Choice of relays and batches of calls.

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::calls::{Outbox, restore_payload};
use super::gateway::{OpenGateway, RelayLink, WorkerGateway};
use super::message::{Action, Call, CallResult, HostReport, RelayResults};
use super::selection::{KnownHosts, REPORT_LIFETIME, SUSPENSION, needs_relays, relay_of};
use crate::dispatch::{
    JobKey, Order, PollRequest, Refusal, Run, StartReply, StepKey, TaskKey, WorkerOrder,
};
use crate::model::{DomainName, HostName, Span, Time, WorkerName, WorkerTime};
use crate::platform::WorkerConnections;
use crate::telemetry::{self, Metrics};

/// Link speed that does not limit the number of relays.
const FAST_LINK_MBPS: f64 = 200.0;

fn host(name: &str, domain: &str, cores: f64) -> HostReport {
    HostReport {
        host: HostName::new(name),
        domain: DomainName::new(domain),
        peer_address: ([127, 0, 0, 1], 1).into(),
        cores,
        draining: false,
    }
}

fn workers(counts: &[(&str, usize)]) -> IndexMap<DomainName, usize> {
    counts
        .iter()
        .map(|(domain, count)| (DomainName::new(*domain), *count))
        .collect()
}

fn names(relays: &[HostReport]) -> Vec<&str> {
    relays.iter().map(|r| r.host.as_str()).collect()
}

fn start(job: u64, index: u32, payload: &str) -> Call {
    let step = StepKey {
        job: JobKey(job),
        occurrence: 0,
        step: 0,
    };
    let order = WorkerOrder {
        worker: WorkerName::new("w"),
        address: ([127, 0, 0, 1], 1).into(),
        order: Order::Start {
            task: TaskKey { step, index },
            run: Run(1),
            payload: ArcStr::from(payload),
            deadline: WorkerTime::ZERO,
            checkpoint: None,
            ticket: None,
        },
    };
    Call {
        id: u64::from(index),
        action: Action::Order(order, None),
    }
}

/// A call that is no start; its identifier is its index and 1,000.
fn other(index: u32, action: impl FnOnce(WorkerOrder, TaskKey) -> Action) -> Call {
    let Action::Order(order, _) = start(0, index, "").action else {
        unreachable!("a start is an order");
    };
    let Order::Start { task, .. } = order.order else {
        unreachable!("a start is an order");
    };
    Call {
        id: 1_000 + u64::from(index),
        action: action(order, task),
    }
}

fn stop(index: u32) -> Call {
    other(index, |order, task| {
        let run = Run(1);
        let order = WorkerOrder {
            order: Order::Stop { task, run },
            ..order
        };
        Action::Order(order, None)
    })
}

fn poll(index: u32) -> Call {
    let request = poll_request();
    other(index, |order, _| Action::Poll(order.worker, request))
}

fn poll_request() -> PollRequest {
    PollRequest {
        address: ([127, 0, 0, 1], 1).into(),
        lease_deadline: None,
        acknowledged: 0,
        wait: Span::ZERO,
        pending_ack: false,
        previous_deadline: WorkerTime::ZERO,
    }
}

/// Numbers of starts, stops and polls among calls.
fn counts(calls: &[Call]) -> (usize, usize, usize) {
    let polls = calls
        .iter()
        .filter(|c| matches!(c.action, Action::Poll(..)));
    let is_stop = |c: &&Call| matches!(&c.action, Action::Order(order, _) if matches!(order.order, Order::Stop { .. }));
    let (polls, stops) = (polls.count(), calls.iter().filter(is_stop).count());
    (calls.len() - polls - stops, stops, polls)
}

/// Guards against relays on small deployments, where they cost more than they save.
#[test]
fn few_workers_on_a_fast_link_need_no_relays() {
    assert!(!needs_relays(48, 1_000.0));
    assert!(!needs_relays(350, FAST_LINK_MBPS));
    assert!(needs_relays(1_100, FAST_LINK_MBPS));
}

/// Guards against a leader whose link its own calls fill: 120 workers take about 7 Mbit/s.
#[test]
fn a_slow_link_needs_relays() {
    assert!(needs_relays(120, 2.0));
}

#[test]
fn relays_are_the_strong_hosts_of_each_domain() {
    let now = Time::from_millis(1_000);
    let mut hosts = KnownHosts::default();
    for domain in ["a", "b"] {
        for i in 0..3 {
            hosts.announced(host(&format!("{domain}-strong-{i}"), domain, 0.5), now);
            hosts.announced(host(&format!("{domain}-weak-{i}"), domain, 0.12), now);
        }
    }
    let chosen = hosts.select(&workers(&[("a", 250), ("b", 250)]), FAST_LINK_MBPS, now);
    let of = |domain: &str| names(&chosen[&DomainName::new(domain)]);
    assert_eq!(of("a"), ["a-strong-0", "a-strong-1", "a-strong-2"]);
    assert_eq!(of("b"), ["b-strong-0", "b-strong-1", "b-strong-2"]);
}

/// Guards against workers without a relay because their domain has no host that is up.
#[test]
fn a_domain_without_hosts_uses_those_of_others() {
    let now = Time::from_millis(1_000);
    let mut hosts = KnownHosts::default();
    hosts.announced(host("a-0", "a", 0.5), now);
    let chosen = hosts.select(&workers(&[("a", 300), ("b", 300)]), FAST_LINK_MBPS, now);
    assert_eq!(names(&chosen[&DomainName::new("b")]), ["a-0"]);
}

/// Guards against calls through a host that has left, is leaving or does not answer.
#[test]
fn hosts_that_are_silent_draining_or_suspended_are_not_used() {
    let now = Time::from_millis(1_000);
    let counts = workers(&[("a", 500)]);
    let mut hosts = KnownHosts::default();
    hosts.announced(host("silent", "a", 0.5), now);
    let later = now + REPORT_LIFETIME;
    let draining = HostReport {
        draining: true,
        ..host("draining", "a", 0.5)
    };
    hosts.announced(draining, later);
    hosts.announced(host("failing", "a", 0.5), later);
    hosts.suspend(&HostName::new("failing"), later);
    assert!(hosts.select(&counts, FAST_LINK_MBPS, later).is_empty());
    // A report in the meantime does not end the suspension.
    hosts.announced(host("failing", "a", 0.5), later + Span::from_millis(1));
    assert!(
        hosts
            .select(&counts, FAST_LINK_MBPS, later + Span::from_millis(1))
            .is_empty()
    );
    let chosen = hosts.select(&counts, FAST_LINK_MBPS, later + SUSPENSION);
    assert_eq!(names(&chosen[0]), ["failing"]);
}

/// Guards against a new relay that changes the relay of all workers, whose polls in
/// progress would then be made twice.
#[test]
fn few_workers_change_their_relay_when_one_comes() {
    let before: Vec<HostReport> = (0..3).map(|i| host(&format!("h{i}"), "a", 0.5)).collect();
    let mut after = before.clone();
    after.push(host("h3", "a", 0.5));
    let changed = (0..400)
        .map(|i| WorkerName::new(format!("w{i}")))
        .filter(|w| relay_of(w, &before) != relay_of(w, &after));
    let count = changed.count();
    assert!((50..150).contains(&count), "{count} of 400 changed");
}

/// Guards against a payload that crosses the link once for each task of a job.
#[test]
fn a_payload_that_orders_share_is_sent_once() {
    let mut outbox = Outbox::default();
    for index in 0..40 {
        outbox.push(start(
            u64::from(index % 2),
            index,
            ["even", "odd"][index as usize % 2],
        ));
    }
    let (payloads, mut calls) = outbox.take_batch();
    assert_eq!(payloads, ["even", "odd"]);
    assert_eq!(calls.len(), 40);
    for call in &mut calls {
        let expected = ["even", "odd"][call.id as usize % 2];
        assert!(restore_payload(&mut call.action, &payloads));
        assert_eq!(call.action, {
            let Action::Order(order, _) = start(call.id % 2, call.id as u32, expected).action
            else {
                unreachable!("a start is an order");
            };
            Action::Order(order, Some(call.id as u32 % 2))
        });
    }
}

/// Guards against a start with an empty payload if a batch does not have the payload.
#[test]
fn a_payload_that_is_missing_is_noticed() {
    let mut outbox = Outbox::default();
    outbox.push(start(1, 0, "text"));
    let (_, mut calls) = outbox.take_batch();
    assert!(!restore_payload(&mut calls[0].action, &[]));
}

/// Guards against batches that fill a slow link for seconds.
#[test]
fn batches_are_limited_by_the_size_of_their_payloads() {
    let mut outbox = Outbox::default();
    let payload = "x".repeat(4_000);
    for index in 0..100 {
        outbox.push(start(u64::from(index), index, &payload));
    }
    let (payloads, calls) = outbox.take_batch();
    assert_eq!(payloads.len(), calls.len());
    assert!(payloads.len() <= 17);
    assert!(!outbox.is_empty());
}

/// Guards against stops that wait behind starts: on a slow link each batch of starts takes a
/// quarter of a second.
#[test]
fn a_stop_is_in_the_next_batch_whatever_is_queued() {
    let payload = "x".repeat(4_000);
    for is_shared in [true, false] {
        let mut outbox = Outbox::default();
        for index in 0..600 {
            let job = if is_shared { 0 } else { u64::from(index) };
            outbox.push(start(job, index, &payload));
        }
        outbox.push(stop(0));
        let (_, calls) = outbox.take_batch();
        assert_eq!(counts(&calls).1, 1, "shared payload: {is_shared}");
    }
}

/// Guards against leases that expire because polls wait behind starts.
#[test]
fn polls_are_sent_while_starts_fill_each_batch() {
    let mut outbox = Outbox::default();
    for index in 0..1_000 {
        outbox.push(start(0, index, "payload"));
    }
    for index in 0..50 {
        outbox.push(poll(index));
    }
    let (_, calls) = outbox.take_batch();
    assert_eq!(counts(&calls).2, 50);
}

/// Guards against starts and polls that are never sent while stops fill each batch.
#[test]
fn starts_and_polls_are_sent_while_stops_fill_each_batch() {
    let mut outbox = Outbox::default();
    for index in 0..1_000 {
        outbox.push(stop(index));
        outbox.push(poll(index));
        outbox.push(start(0, index, "payload"));
    }
    let (_, calls) = outbox.take_batch();
    let (starts, stops, polls) = counts(&calls);
    assert!(
        starts >= 100 && stops >= 100 && polls >= 100,
        "{starts} starts, {stops} stops, {polls} polls"
    );
}

/// Nonce of the term in the tests of results.
const NONCE: u64 = 7;

fn gateway() -> WorkerGateway {
    let connections = WorkerConnections::default();
    let calls = Metrics::new().unwrap().counter(&telemetry::RELAY_CALLS);
    WorkerGateway::new(connections, NONCE, 1, calls)
}

/// Makes a call through a relay that has sent `results` when the call waits for them.
async fn call(results: Vec<(u64, u64, CallResult)>, timeout: Span) -> Option<CallResult> {
    let (gateway, link) = (gateway(), RelayLink::new(host("h", "a", 0.5)));
    let action = start(1, 0, "payload").action;
    let answer = async {
        tokio::task::yield_now().await;
        assert!(!crate::node::state::lock(&link.outbox).is_empty());
        for (nonce, id, result) in results {
            let results = vec![(id, result)];
            gateway.results_received(RelayResults { nonce, results });
        }
    };
    tokio::join!(gateway.call(&link, action, timeout), answer).0
}

fn started() -> CallResult {
    CallResult::Started(StartReply::Started)
}

/// Guards against a result that is applied twice, since a relay sends its results again if
/// the leader's answer was lost.
#[tokio::test]
async fn a_repeated_result_is_ignored() {
    let refused = CallResult::Started(StartReply::Unhealthy);
    let results = vec![(NONCE, 0, started()), (NONCE, 0, refused)];
    assert_eq!(call(results, Span::from_secs(5)).await, Some(started()));
}

/// Guards against results of an earlier term of the same process, whose calls had the same
/// identifiers.
#[tokio::test]
async fn results_of_another_term_are_ignored() {
    let refused = CallResult::Started(StartReply::Unhealthy);
    let results = vec![(NONCE + 1, 0, refused), (NONCE, 0, started())];
    assert_eq!(call(results, Span::from_secs(5)).await, Some(started()));
}

/// Guards against orders that a term still sends after its end, directly or through a relay,
/// while the next leader sends its own; and against links that outlive their term.
#[tokio::test]
async fn nothing_is_sent_after_the_end_of_a_term() {
    let gateway = std::sync::Arc::new(gateway());
    let link = std::sync::Arc::new(RelayLink::new(host("h", "a", 0.5)));
    gateway.add_link(link.clone());
    let Action::Order(order, _) = start(1, 0, "payload").action else {
        unreachable!("a start is an order");
    };
    drop(OpenGateway(gateway.clone()));
    assert_eq!(
        gateway.start(&order, || true).await.reply,
        StartReply::NotSent
    );
    assert!(crate::node::state::lock(&link.outbox).is_empty());
    assert_eq!(std::sync::Arc::strong_count(&link), 1);
}

/// Guards against a start that counts as not executed because a relay was paused: without a
/// result, the worker may have the run.
#[tokio::test]
async fn a_missing_result_is_no_evidence() {
    assert_eq!(call(Vec::new(), Span::ZERO).await, None);
}

/// Guards against a call that leaves for a relay after it was given up: its worker may have
/// restarted since, and a start would count as sent at the time at which it was given up.
#[tokio::test]
async fn a_call_that_was_given_up_is_not_sent() {
    let gateway = gateway();
    let link = RelayLink::new(host("h", "a", 0.5));
    let call = |index| start(1, index, "payload").action;
    assert_eq!(gateway.call(&link, call(0), Span::ZERO).await, None);
    let second = gateway.call(&link, call(1), Span::from_secs(5));
    let batch = async {
        tokio::task::yield_now().await;
        let (_, calls) = gateway.take_batch(&link);
        let ids: Vec<u64> = calls.iter().map(|c| c.id).collect();
        let results = vec![(1, started())];
        gateway.results_received(RelayResults {
            nonce: NONCE,
            results,
        });
        ids
    };
    let (result, ids) = tokio::join!(second, batch);
    assert_eq!((result, ids), (Some(started()), vec![1]));
}

/// Makes a start through a relay whose worker refuses it because of its token, and accepts it
/// if it is sent again, which `may_repeat` allows. Before the refusal the token is raised to
/// `raised`.
async fn start_refused(raised: u64, may_repeat: bool) -> StartReply {
    let gateway = gateway();
    gateway.add_link(std::sync::Arc::new(RelayLink::new(host("h", "a", 0.5))));
    let Action::Order(order, _) = start(1, 0, "payload").action else {
        unreachable!("a start is an order");
    };
    let refused = CallResult::Started(StartReply::Refused(Refusal::Fence));
    let answers = async {
        tokio::task::yield_now().await;
        gateway.raise_token(raised);
        for (id, result) in [(0, refused), (1, started())] {
            let (nonce, results) = (NONCE, vec![(id, result)]);
            gateway.results_received(RelayResults { nonce, results });
            tokio::task::yield_now().await;
        }
    };
    let sent = std::cell::Cell::new(false);
    let may_send = || !sent.replace(true) || may_repeat;
    tokio::join!(gateway.start(&order, may_send), answers)
        .0
        .reply
}

/// Guards against a term that ends because a call was overtaken by a later one of the same term
/// with a raised token, and against a gang that waits for the member that was refused.
#[tokio::test]
async fn a_call_that_was_overtaken_is_sent_again() {
    assert_eq!(start_refused(2, true).await, StartReply::Started);
}

/// Guards against a leader that goes on although its worker has seen the token of a newer one.
#[tokio::test]
async fn a_call_that_was_refused_under_the_present_token_is_not_sent_again() {
    let refused = StartReply::Refused(Refusal::Fence);
    assert_eq!(start_refused(1, true).await, refused);
}

/// Guards against a start that is sent again to a worker that has restarted in the meantime, for
/// which the token was raised.
#[tokio::test]
async fn a_start_that_was_overtaken_is_checked_before_it_is_sent_again() {
    assert_eq!(start_refused(2, false).await, StartReply::NotSent);
}
