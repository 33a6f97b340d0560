use super::super::balance::Adaptive;
use super::*;
use crate::model::{Action, Cause, Code};
use crate::peer::EndpointLoad;
use crate::route::AttemptId;

/// Guards against shares that exceed or waste an endpoint's capacity: those of all hosts
/// add up to the slots, with even, uneven and stale loads.
#[test]
fn shares_add_up_to_the_slots() {
    let config = config(7, 8, &[0; 12]);
    let load = |i: usize, demand: u16| EndpointLoad {
        service: "booking".into(),
        endpoint: EndpointName::new(format!("e{i}")),
        inflight: demand,
    };
    // Requests in flight of each host at each endpoint.
    for demands in [[0; 7], [1; 7], [2, 1, 1, 1, 1, 1, 0], [6, 0, 0, 0, 0, 0, 1]] {
        for heard in [true, false] {
            let mut sums = [0; 12];
            for own in 0..7 {
                let mut router = Router::<Adaptive>::new(node(own), DOMAINS[0].0.into());
                router.configure(ms(0), &config);
                set_inflight(&mut router, demands[own], 12);
                for tick in 1..100 {
                    for peer in (0..7).filter(|p| *p != own && heard) {
                        let loads: Vec<_> = (0..12).map(|i| load(i, demands[peer])).collect();
                        router.update_peer_load(ms(tick * 100), &node(peer), &loads);
                    }
                    router.next_step(ms(tick * 100), Ticket(0), &mut rng());
                }
                let state = router.state(ms(10_000));
                for (sum, endpoint) in sums.iter_mut().zip(&state.services[0].endpoints) {
                    *sum += endpoint.share;
                }
            }
            assert_eq!(sums, [8; 12], "{demands:?} heard: {heard}");
        }
    }
}

/// Sets the requests in flight at each endpoint.
fn set_inflight(router: &mut Router<Adaptive>, inflight: u16, endpoints: usize) {
    let service = router.service_for_test("booking");
    for i in 0..endpoints {
        let attempts = (0..u64::from(inflight)).map(|a| (AttemptId(a), ms(0)));
        service.endpoints[i].attempts = attempts.collect();
    }
}

fn node(i: usize) -> NodeName {
    NodeName::new(format!("h{i}/entry"))
}

/// Guards against a host that can't send at all when there are more hosts than slots.
#[test]
fn no_host_is_starved() {
    let config = config(7, 1, &[0, 0]);
    for own in 0..7 {
        let mut router = Router::<Adaptive>::new(node(own), DOMAINS[0].0.into());
        router.configure(ms(0), &config);
        send(&mut router, ms(0), request());
    }
}

/// Guards against borrowing beyond the connections that an endpoint accepts.
#[test]
fn borrowing_stays_within_the_connections() {
    let mut config = config(7, 8, &[0]);
    config.services["booking"].endpoints[0].connections = 14;
    config.services["booking"].queue = 100;
    for own in 0..7 {
        let mut router = Router::<Adaptive>::new(node(own), DOMAINS[0].0.into());
        router.configure(ms(0), &config);
        let mut sent = 0;
        while let Ok(ticket) = router.admit(ms(0), request()) {
            let step = router.next_step(ms(0), ticket, &mut rng());
            sent += u32::from(matches!(step, Step::Send(_)));
        }
        assert_eq!(sent, 2, "14 connections for 7 hosts");
    }
}

/// Guards against shares that stay unused after their host stopped, or are not given
/// back when it returns.
#[test]
fn shares_of_stopped_hosts_are_free() {
    let mut router = router::<Adaptive>(&config(2, 8, &[0]));
    let share = |r: &Router<Adaptive>| r.state(ms(0)).services[0].endpoints[0].share;
    assert_eq!(share(&router), 4);
    router.peer_stopped(ms(0), &node(1));
    assert_eq!(share(&router), 8);
    router.update_peer_load(ms(100), &node(1), &[]);
    router.next_step(ms(200), Ticket(0), &mut rng());
    assert_eq!(share(&router), 4);
}

/// Guards against requests to an unreachable endpoint, and against never probing it.
#[test]
fn failing_endpoint_is_ejected_probed_and_restored() {
    let mut router = router::<Adaptive>(&config(1, 8, &[0]));
    for i in 0..40 {
        let (_, d) = send(&mut router, ms(i), request());
        router.attempt_finished(ms(i), d.attempt, OK);
    }
    for i in 40..43 {
        let (ticket, d) = send(&mut router, ms(i), request());
        router.attempt_finished(ms(i), d.attempt, AttemptOutcome::Unconnected);
        router.cancel_request(ms(i), ticket);
    }
    let refusal = router.admit(ms(50), request()).expect_err("ejected");
    assert_eq!(refusal.code, Code::NoEndpoint);
    let (_, probe) = send(&mut router, ms(1_043), request());
    let second = router.admit(ms(1_043), request());
    assert!(second.is_err(), "one probe at a time");
    router.attempt_finished(ms(1_044), probe.attempt, OK);
    send(&mut router, ms(1_045), request());
    let decisions = router.take_decisions(ms(5_000));
    let has = |action, cause| {
        decisions
            .iter()
            .any(|d| d.action == action && d.cause == cause)
    };
    assert!(has(Action::Remove, Cause::EndpointFailing));
    assert!(has(Action::Restore, Cause::EndpointRecovered));
    let refused = decisions.iter().filter(|d| d.cause == Cause::NoEndpoint);
    assert_eq!(refused.map(|d| d.count).sum::<u32>(), 2);
}

/// Guards against requests that cross to another region although the own one can meet
/// their deadline.
#[test]
fn crosses_only_when_own_region_is_too_slow() {
    let mut config = config(1, 1, &[0, 2]);
    config.services["booking"].deadline = Span::from_millis(200);
    let mut router = router::<Adaptive>(&config);
    for i in 0..100 {
        let (_, d) = send(&mut router, ms(i * 20), request());
        assert_eq!(d.endpoint.as_str(), "e0");
        router.attempt_finished(ms(i * 20 + 20), d.attempt, OK);
    }
    send(&mut router, ms(2_000), request());
    // About ten requests of 20 ms fit into the deadline of 200 ms; the next one crosses.
    for _ in 0..8 {
        let ticket = router.admit(ms(2_000), request()).expect("admitted");
        assert!(matches!(
            router.next_step(ms(2_000), ticket, &mut rng()),
            Step::Wait { .. }
        ));
    }
    let remote = (0..2).find_map(|_| {
        let ticket = router.admit(ms(2_000), request()).expect("admitted");
        match router.next_step(ms(2_000), ticket, &mut rng()) {
            Step::Send(d) => Some(d.endpoint),
            _ => None,
        }
    });
    assert_eq!(remote, Some("e1".into()));
}

/// Guards against sending requests that can't finish before their deadline.
#[test]
fn short_deadline_is_refused_before_sending() {
    let mut router = router::<Adaptive>(&config(1, 8, &[0]));
    for i in 0..100 {
        let (_, d) = send(&mut router, ms(i * 20), request());
        router.attempt_finished(ms(i * 20 + 20), d.attempt, OK);
    }
    let short = RequestInfo {
        deadline: Some(Span::from_millis(5)),
        ..request()
    };
    let refusal = router
        .admit(ms(2_000), short.clone())
        .expect_err("too short");
    assert_eq!(refusal.code, Code::DeadlineTooShort);
    // The estimate decays without responses, so that it can be corrected.
    assert!(router.admit(ms(10_000), short).is_ok());
}

/// Guards against one caller that uses up the capacity for all others.
#[test]
fn callers_are_limited() {
    let mut config = config(1, 64, &[0]);
    config.limits.rate = 2;
    let mut router = router::<Adaptive>(&config);
    let by = |caller: &str| RequestInfo {
        caller: Some(caller.into()),
        ..request()
    };
    assert!(router.admit(ms(0), by("a")).is_ok());
    assert!(router.admit(ms(0), by("a")).is_ok());
    let refusal = router.admit(ms(0), by("a")).expect_err("limited");
    assert_eq!(refusal.code, Code::LimitExceeded);
    assert!(router.admit(ms(0), by("b")).is_ok());
    assert!(router.admit(ms(500), by("a")).is_ok());
}

/// Guards against hedging requests that must not run twice, and hedging beyond the budget.
#[test]
fn hedges_are_few_and_only_for_idempotent_requests() {
    let mut router = router::<Adaptive>(&config(1, 64, &[0, 0]));
    for i in 0..200 {
        let (_, d) = send(&mut router, ms(i * 10), request());
        router.attempt_finished(ms(i * 10 + 10), d.attempt, OK);
    }
    for idempotent in [false, true] {
        let info = RequestInfo {
            idempotent,
            ..request()
        };
        let slow: Vec<_> = (0..50)
            .map(|_| send(&mut router, ms(3_000), info.clone()).0)
            .collect();
        let mut hedge = |t: &Ticket| match router.next_step(ms(3_500), *t, &mut rng()) {
            Step::Send(d) => d.hedge,
            _ => false,
        };
        let hedges = slow.iter().filter(|t| hedge(t)).count();
        assert_eq!(hedges > 0, idempotent);
        assert!(hedges <= 10, "{hedges} of 300 requests");
    }
}

/// Guards against latency reports that lack the worker or include time in the queue.
#[test]
fn latency_reports_name_the_worker() {
    let mut router = router::<Adaptive>(&config(1, 2, &[0]));
    router.take_latency_reports(ms(0));
    let (_, d) = send(&mut router, ms(0), request());
    router.attempt_finished(ms(50), d.attempt, OK);
    let reports = router.take_latency_reports(ms(100));
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].worker.as_str(), "w0");
    assert_eq!(reports[0].mean, Span::from_millis(50));
    // One of two slots was in use for half of the interval.
    assert_eq!(reports[0].load, 250);
    assert!(router.take_latency_reports(ms(200)).is_empty());
}
