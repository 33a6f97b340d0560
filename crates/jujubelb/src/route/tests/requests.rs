use super::super::balance::{Adaptive, LeastRequests, RoundRobin, TwoChoices};
use super::super::{ClaimResult, Delivery};
use super::*;
use crate::model::Code;

/// Guards against responses that are delivered to the wrong ticket or twice.
#[test]
fn delivers_to_own_ticket_out_of_order() {
    let mut router = router::<Adaptive>(&config(1, 8, &[0, 0]));
    let (first, a) = send(&mut router, ms(0), request());
    let (second, b) = send(&mut router, ms(0), request());
    assert_eq!(
        router.attempt_finished(ms(5), b.attempt, OK),
        Delivery::Deliver(second)
    );
    assert_eq!(
        router.attempt_finished(ms(9), a.attempt, OK),
        Delivery::Deliver(first)
    );
    assert_eq!(
        router.attempt_finished(ms(9), a.attempt, OK),
        Delivery::Discard
    );
    assert!(router.is_idle());
}

/// Guards against a balancing policy that never chooses some of the endpoints.
#[test]
fn every_policy_uses_all_endpoints() {
    fn used<B: BalancePolicy>() -> usize {
        let mut router = router::<B>(&config(1, 8, &[0, 0, 0, 0]));
        let mut used = indexmap::IndexSet::new();
        let mut rng = rng();
        for i in 0..100 {
            let ticket = router.admit(ms(i), request()).expect("admitted");
            let dispatch = sent(router.next_step(ms(i), ticket, &mut rng));
            router.attempt_finished(ms(i), dispatch.attempt, OK);
            used.insert(dispatch.endpoint);
        }
        used.len()
    }
    assert_eq!(used::<Adaptive>(), 4);
    assert_eq!(used::<RoundRobin>(), 4);
    assert_eq!(used::<LeastRequests>(), 4);
    assert_eq!(used::<TwoChoices>(), 4);
}

/// Guards against load amplification by retries: while all attempts fail, at most 10 %
/// more attempts than requests are sent.
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
        while let Step::Send(dispatch) = router.next_step(now, ticket, &mut rng()) {
            requests += u32::from(std::mem::take(&mut first));
            attempts += 1;
            router.attempt_finished(now, dispatch.attempt, AttemptOutcome::Broken);
        }
    }
    assert!(requests > 1_000, "{requests}");
    assert!(
        f64::from(attempts) <= 1.1 * f64::from(requests),
        "{attempts} of {requests}"
    );
    assert!(attempts > requests);
}

/// Guards against new requests to endpoints that are leaving by the configuration, the
/// host list or their own announcement.
#[test]
fn leaving_endpoint_gets_no_new_requests() {
    type Signal = fn(&mut Router<Adaptive>, &mut Config, &Dispatch);
    let signals: [Signal; 5] = [
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
        |router, config, _| {
            config.revision = Revision(2);
            config.domains["tunis-a"].out = true;
            router.configure(ms(1), config);
        },
        |router, _, d| router.update_host_list(ms(1), [d.address].into()),
        |router, _, _| {
            // A second request to the only endpoint, which declines it.
            let (_, other) = send(router, ms(1), request());
            router.attempt_finished(ms(1), other.attempt, AttemptOutcome::Declined);
        },
    ];
    for (i, signal) in signals.into_iter().enumerate() {
        let mut config = config(1, 8, if i == 4 { &[0] } else { &[0, 0] });
        let mut router = router::<Adaptive>(&config);
        let (ticket, dispatch) = send(&mut router, ms(0), request());
        signal(&mut router, &mut config, &dispatch);
        for j in 0..20 {
            if let Ok(ticket) = router.admit(ms(2 + j), request())
                && let Step::Send(d) = router.next_step(ms(2 + j), ticket, &mut rng())
            {
                assert_ne!(d.endpoint, dispatch.endpoint, "signal {i}");
            }
        }
        // The request that was in flight at the leaving endpoint still finishes.
        let delivery = router.attempt_finished(ms(40), dispatch.attempt, OK);
        assert_eq!(delivery, Delivery::Deliver(ticket));
    }
}

/// Guards against an endpoint that stays out of service after its host returned.
#[test]
fn endpoint_returns_when_host_list_says_so() {
    let mut router = router::<Adaptive>(&config(1, 8, &[0]));
    let (_, dispatch) = send(&mut router, ms(0), request());
    router.attempt_finished(ms(1), dispatch.attempt, AttemptOutcome::Declined);
    // This list may be older than the endpoint's announcement.
    router.update_host_list(ms(2_000), [].into());
    assert!(router.admit(ms(2_000), request()).is_err());
    router.update_host_list(ms(61_002), [].into());
    send(&mut router, ms(61_002), request());
}

/// Guards against codes that say "not run" before a claim was decided: an earlier
/// request with the same key may have run.
#[test]
fn refusal_is_304_before_claim_and_specific_after_it() {
    let mut router = router::<Adaptive>(&config(1, 8, &[0]));
    let ticket = router.admit(ms(0), keyed()).expect("admitted");
    assert!(matches!(
        router.next_step(ms(0), ticket, &mut rng()),
        Step::Claim { .. }
    ));
    let Step::GiveUp(refusal) = router.next_step(ms(1_000), ticket, &mut rng()) else {
        panic!("past its deadline");
    };
    assert_eq!(
        (refusal.code, refusal.release_claim),
        (Code::ClaimUnavailable, true)
    );

    let ticket = router.admit(ms(1_000), keyed()).expect("admitted");
    router.next_step(ms(1_000), ticket, &mut rng());
    router.claim_finished(ms(1_001), ticket, ClaimResult::Granted);
    let Step::GiveUp(refusal) = router.next_step(ms(2_000), ticket, &mut rng()) else {
        panic!("past its deadline");
    };
    assert_eq!(
        (refusal.code, refusal.release_claim),
        (Code::ExpiredInQueue, true)
    );

    router.drain(ms(2_000));
    let refusal = router.admit(ms(2_000), keyed()).expect_err("draining");
    assert_eq!(refusal.code, Code::ClaimUnavailable);
    let refusal = router.admit(ms(2_000), request()).expect_err("draining");
    assert_eq!(refusal.code, Code::Draining);
}

/// Guards against sending a request whose key was claimed by an earlier one or could
/// not be claimed.
#[test]
fn held_key_is_not_sent() {
    for (result, code) in [
        (ClaimResult::Held, Code::KeyInUse),
        (ClaimResult::Unavailable, Code::ClaimUnavailable),
    ] {
        let mut router = router::<Adaptive>(&config(1, 8, &[0]));
        let ticket = router.admit(ms(0), keyed()).expect("admitted");
        router.next_step(ms(0), ticket, &mut rng());
        router.claim_finished(ms(1), ticket, result);
        let step = router.next_step(ms(1), ticket, &mut rng());
        assert!(matches!(step, Step::GiveUp(r) if r.code == code));
        assert!(router.is_idle());
    }
}

/// Guards against a request that waits indefinitely for holders that do not respond.
#[test]
fn claim_has_to_be_decided_in_time() {
    let mut config = config(1, 8, &[0]);
    config.services["booking"].deadline = Span::from_secs(100);
    let mut router = router::<Adaptive>(&config);
    let ticket = router.admit(ms(0), keyed()).expect("admitted");
    let Step::Claim { until } = router.next_step(ms(0), ticket, &mut rng()) else {
        panic!("needs a claim");
    };
    assert_eq!(until, ms(10_000));
    let step = router.next_step(until, ticket, &mut rng());
    assert!(matches!(step, Step::GiveUp(r) if r.code == Code::ClaimUnavailable && r.release_claim));
    router.claim_finished(until, ticket, ClaimResult::Granted);
    assert!(router.is_idle());
}
