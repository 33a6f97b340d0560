use super::super::balance::{Adaptive, LeastRequests, RoundRobin, TwoChoices};
use super::super::router::Fault;
use super::super::{Claimed, Delivery};
use super::*;
use crate::model::Code;

/// Guards against mixing up answers: each ticket gets the answer of its own attempt.
#[test]
fn delivers_to_own_ticket_out_of_order() {
    let mut router = router::<Adaptive>(&config(1, 8, &[0, 0]));
    let (first, a) = send(&mut router, ms(0), request());
    let (second, b) = send(&mut router, ms(0), request());
    assert_eq!(
        router.finished(ms(5), b.attempt, OK),
        Delivery::Deliver(second)
    );
    assert_eq!(
        router.finished(ms(9), a.attempt, OK),
        Delivery::Deliver(first)
    );
    assert_eq!(router.finished(ms(9), a.attempt, OK), Delivery::Drop);
    assert!(router.idle());
}

/// Guards against a variant that never chooses or that panics without candidates.
#[test]
fn every_variant_uses_all_endpoints() {
    fn used<B: Balance>() -> usize {
        let mut router = router::<B>(&config(1, 8, &[0, 0, 0, 0]));
        let mut used = indexmap::IndexSet::new();
        let mut rng = rng();
        for i in 0..100 {
            let ticket = router.admit(ms(i), request()).expect("admitted");
            let dispatch = sent(router.next(ms(i), ticket, &mut rng));
            router.finished(ms(i), dispatch.attempt, OK);
            used.insert(dispatch.endpoint);
        }
        used.len()
    }
    assert_eq!(used::<Adaptive>(), 4);
    assert_eq!(used::<RoundRobin>(), 4);
    assert_eq!(used::<LeastRequests>(), 4);
    assert_eq!(used::<TwoChoices>(), 4);
}

/// Guards against sending beyond the slots, and against forgetting those who wait.
#[test]
fn waits_for_a_slot_and_is_woken() {
    let mut router = router::<Adaptive>(&config(1, 1, &[0]));
    let (_, first) = send(&mut router, ms(0), request());
    let waiting = router.admit(ms(1), request()).expect("admitted");
    assert!(matches!(
        router.next(ms(1), waiting, &mut rng()),
        Step::Wait { .. }
    ));
    router.take_wakes();
    router.finished(ms(4), first.attempt, OK);
    assert_eq!(router.take_wakes(), [waiting]);
    sent(router.next(ms(4), waiting, &mut rng()));
}

/// Guards against running a non-idempotent request twice after an unclear end.
#[test]
fn unclear_end_is_not_repeated() {
    let mut router = router::<Adaptive>(&config(1, 8, &[0, 0]));
    let once = RequestInfo {
        idempotent: false,
        ..request()
    };
    let (ticket, dispatch) = send(&mut router, ms(0), once.clone());
    router.finished(ms(1), dispatch.attempt, AttemptEnd::Broken);
    let step = router.next(ms(1), ticket, &mut rng());
    assert!(matches!(step, Step::GiveUp(r) if r.code == Code::OutcomeUnknown && !r.release));

    router.break_rule(Fault::RetryUnsafe);
    for i in 0..20 {
        let (_, d) = send(&mut router, ms(2 + i), once.clone());
        router.finished(ms(2 + i), d.attempt, OK);
    }
    let (ticket, dispatch) = send(&mut router, ms(30), once);
    router.finished(ms(31), dispatch.attempt, AttemptEnd::Broken);
    sent(router.next(ms(31), ticket, &mut rng()));
}

/// Guards against load multiplication: with all attempts failing, ten percent
/// more are sent at most, hedges included.
#[test]
fn total_failure_multiplies_load_by_at_most_1_1() {
    let mut router = router::<Adaptive>(&config(1, 64, &[0, 0, 0, 0]));
    let (mut requests, mut attempts) = (0, 0);
    for i in 0..5_000 {
        let now = ms(i * 2);
        let Ok(ticket) = router.admit(now, request()) else {
            continue;
        };
        let mut first = true;
        while let Step::Send(dispatch) = router.next(now, ticket, &mut rng()) {
            requests += u32::from(std::mem::take(&mut first));
            attempts += 1;
            router.finished(now, dispatch.attempt, AttemptEnd::Broken);
        }
    }
    assert!(requests > 1_000, "{requests}");
    assert!(
        f64::from(attempts) <= 1.1 * f64::from(requests),
        "{attempts} of {requests}"
    );
    assert!(attempts > requests);
}

/// Guards against new work for endpoints that are leaving by any of the three signals.
#[test]
fn leaving_endpoint_gets_nothing_new() {
    type Signal = fn(&mut Router<Adaptive>, &mut Config, &Dispatch);
    let signals: [Signal; 4] = [
        |router, config, d| {
            config.revision = Revision(2);
            config.services["booking"].endpoints[&d.endpoint].leaving = true;
            router.configure(ms(1), config);
        },
        |router, config, d| {
            config.revision = Revision(2);
            config.services["booking"]
                .endpoints
                .shift_remove(&d.endpoint);
            router.configure(ms(1), config);
        },
        |router, _, d| router.host_list(ms(1), [d.address].into()),
        |router, _, _| {
            // A second request to each endpoint; the one of `d` declines.
            let (_, other) = send(router, ms(1), request());
            router.finished(ms(1), other.attempt, AttemptEnd::Declined);
        },
    ];
    for (i, signal) in signals.into_iter().enumerate() {
        let mut config = config(1, 8, if i == 3 { &[0] } else { &[0, 0] });
        let mut router = router::<Adaptive>(&config);
        let (ticket, dispatch) = send(&mut router, ms(0), request());
        signal(&mut router, &mut config, &dispatch);
        for j in 0..20 {
            if let Ok(ticket) = router.admit(ms(2 + j), request())
                && let Step::Send(d) = router.next(ms(2 + j), ticket, &mut rng())
            {
                assert_ne!(d.endpoint, dispatch.endpoint, "signal {i}");
            }
        }
        // The request in flight there finishes.
        let delivery = router.finished(ms(40), dispatch.attempt, OK);
        assert_eq!(delivery, Delivery::Deliver(ticket));
    }
}

/// Guards against an endpoint that stays out after its host returned.
#[test]
fn endpoint_returns_when_host_list_says_so() {
    let mut router = router::<Adaptive>(&config(1, 8, &[0]));
    let (_, dispatch) = send(&mut router, ms(0), request());
    router.finished(ms(1), dispatch.attempt, AttemptEnd::Declined);
    // This list may be older than the endpoint's statement.
    router.host_list(ms(2_000), [].into());
    assert!(router.admit(ms(2_000), request()).is_err());
    router.host_list(ms(61_002), [].into());
    send(&mut router, ms(61_002), request());
}

/// Guards against calling an earlier attempt with the same key "not run".
#[test]
fn refusal_before_claim_is_304_and_after_it_certain() {
    let keyed = || RequestInfo {
        idempotent: false,
        key: Some("k".into()),
        ..request()
    };
    let mut router = router::<Adaptive>(&config(1, 8, &[0]));
    let ticket = router.admit(ms(0), keyed()).expect("admitted");
    assert!(matches!(
        router.next(ms(0), ticket, &mut rng()),
        Step::Claim { .. }
    ));
    let Step::GiveUp(refusal) = router.next(ms(1_000), ticket, &mut rng()) else {
        panic!("past its deadline");
    };
    assert_eq!(
        (refusal.code, refusal.release),
        (Code::ClaimUnavailable, true)
    );

    let ticket = router.admit(ms(1_000), keyed()).expect("admitted");
    router.next(ms(1_000), ticket, &mut rng());
    router.claimed(ms(1_001), ticket, Claimed::Granted);
    let Step::GiveUp(refusal) = router.next(ms(2_000), ticket, &mut rng()) else {
        panic!("past its deadline");
    };
    assert_eq!(
        (refusal.code, refusal.release),
        (Code::ExpiredInQueue, true)
    );

    router.drain(ms(2_000));
    let refusal = router.admit(ms(2_000), keyed()).expect_err("draining");
    assert_eq!(refusal.code, Code::ClaimUnavailable);
    let refusal = router.admit(ms(2_000), request()).expect_err("draining");
    assert_eq!(refusal.code, Code::Draining);
}

/// Guards against sending a request whose key is held by an earlier attempt.
#[test]
fn held_key_is_not_sent() {
    for (result, code) in [
        (Claimed::Held, Code::KeyInUse),
        (Claimed::Unavailable, Code::ClaimUnavailable),
    ] {
        let mut router = router::<Adaptive>(&config(1, 8, &[0]));
        let keyed = RequestInfo {
            idempotent: false,
            key: Some("k".into()),
            ..request()
        };
        let ticket = router.admit(ms(0), keyed).expect("admitted");
        router.next(ms(0), ticket, &mut rng());
        router.claimed(ms(1), ticket, result);
        let step = router.next(ms(1), ticket, &mut rng());
        assert!(matches!(step, Step::GiveUp(r) if r.code == code));
        assert!(router.idle());
    }
}

/// Guards against a request that waits for ever for holders that do not answer.
#[test]
fn claim_has_to_be_decided_in_time() {
    let mut config = config(1, 8, &[0]);
    config.services["booking"].deadline = Span::from_secs(100);
    let mut router = router::<Adaptive>(&config);
    let keyed = RequestInfo {
        idempotent: false,
        key: Some("k".into()),
        ..request()
    };
    let ticket = router.admit(ms(0), keyed).expect("admitted");
    let Step::Claim { until } = router.next(ms(0), ticket, &mut rng()) else {
        panic!("needs a claim");
    };
    assert_eq!(until, ms(10_000));
    let step = router.next(until, ticket, &mut rng());
    assert!(matches!(step, Step::GiveUp(r) if r.code == Code::ClaimUnavailable && r.release));
    router.claimed(until, ticket, Claimed::Granted);
    assert!(router.idle());
}

/// Guards against urgent requests that are refused because batch ones fill the queue.
#[test]
fn urgent_takes_the_place_of_batch() {
    let mut config = config(1, 1, &[0]);
    config.services["booking"].queue = 2;
    let mut router = router::<Adaptive>(&config);
    send(&mut router, ms(0), request());
    let batch = RequestInfo {
        priority: Priority::Batch,
        ..request()
    };
    let waiting = router.admit(ms(0), batch.clone()).expect("admitted");
    assert_eq!(
        router.admit(ms(0), batch).expect_err("full").code,
        Code::QueueFull
    );
    router.admit(ms(0), request()).expect("admitted");
    router
        .admit(ms(0), request())
        .expect("in place of the batch request");
    assert_eq!(
        router.admit(ms(0), request()).expect_err("full").code,
        Code::QueueFull
    );
    let step = router.next(ms(0), waiting, &mut rng());
    assert!(matches!(step, Step::GiveUp(r) if r.code == Code::QueueFull));
}

/// Guards against a stop that cuts off requests, and against one that never ends.
#[test]
fn draining_finishes_what_was_admitted() {
    let mut router = router::<Adaptive>(&config(1, 1, &[0]));
    let (_, first) = send(&mut router, ms(0), request());
    let waiting = router.admit(ms(0), request()).expect("admitted");
    router.drain(ms(1));
    assert!(router.admit(ms(1), request()).is_err());
    router.finished(ms(2), first.attempt, OK);
    let second = sent(router.next(ms(2), waiting, &mut rng()));
    assert!(!router.idle());
    router.finished(ms(3), second.attempt, OK);
    assert!(router.idle());
}
