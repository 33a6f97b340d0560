//! Order of preference in elections, over drawn fleets with fixed seeds.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::super::candidacy::{Candidate, RECENT_RESTART, Strength};
use super::super::keys::{self, ChainMark};
use crate::model::Span;

/// Longest time until a host learns that there is no leader, after another one has.
const MAX_LAG_US: u64 = 50_000;

/// Longest round trip to the store for which the order of preference holds.
const MAX_ROUND_TRIP_US: u64 = 30_000;

/// Longest delay that any host may have.
const MAX_DELAY: Span = Span::from_millis(1_100);

fn draw_strength(rng: &mut StdRng) -> Strength {
    Strength {
        cores: *[0.069, 0.1, 0.12, 0.25, 0.39, 0.5, 1.0]
            .choose(rng)
            .unwrap(),
        link_mbps: *[2.0, 10.0, 20.0, 200.0, 1_000.0].choose(rng).unwrap(),
    }
}

fn draw_workers(rng: &mut StdRng) -> u32 {
    *[0, 48, 120, 350, 1_100, 3_000].choose(rng).unwrap()
}

fn draw_candidate(rng: &mut StdRng, workers: u32) -> Candidate {
    Candidate {
        strength: draw_strength(rng),
        uptime: Span::from_micros(rng.random_range(0..2 * RECENT_RESTART.as_micros())),
        round_trip: Span::from_micros(rng.random_range(200..MAX_ROUND_TRIP_US)),
        workers,
    }
}

/// When the election transaction of a host reaches the store: it learns that there is no
/// leader, reads the term, waits, is granted a lease, reads two keys and writes.
fn arrival(candidate: &Candidate, lag: Span) -> Span {
    lag + candidate.round_trip.scale_up(9, 2) + candidate.delay()
}

/// Guards against a host that is too weak for the number of workers and wins against one
/// that is not, because it was recently started, is near the store or learns first that
/// there is no leader. Hosts that don't know the number of workers are among the drawn ones.
#[test]
fn a_strong_enough_host_wins_against_weaker_ones() {
    let mut contested = 0;
    for seed in 0..20_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = draw_workers(&mut rng);
        let need = Strength::needed(workers);
        let hosts: Vec<(Candidate, Span)> = (0..rng.random_range(2..40))
            .map(|_| {
                let known = if rng.random_bool(0.1) { 0 } else { workers };
                let lag = Span::from_micros(rng.random_range(0..MAX_LAG_US));
                (draw_candidate(&mut rng, known), lag)
            })
            .collect();
        // A host that doesn't know the number of workers takes itself for strong enough only
        // if it is so for any number.
        let is_sure = |c: &Candidate| c.strength.covers(Strength::needed(c.workers));
        if !hosts.iter().any(|(c, _)| is_sure(c)) {
            continue;
        }
        contested += u32::from(hosts.iter().any(|(c, _)| c.strength.cores < need.cores));
        let (winner, _) = hosts
            .iter()
            .min_by_key(|(c, lag)| arrival(c, *lag))
            .unwrap();
        assert!(
            winner.strength.cores >= need.cores,
            "seed {seed}, {workers} workers: {winner:?} won"
        );
    }
    assert!(contested > 5_000, "{contested} contested elections");
}

/// Guards against a delay that lets a later preference outweigh an earlier one: capacity,
/// link, recent restart, way to the store.
#[test]
fn an_earlier_preference_outweighs_all_later_ones() {
    for seed in 0..20_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = draw_workers(&mut rng);
        let need = Strength::needed(workers);
        let (a, b) = (
            draw_candidate(&mut rng, workers),
            draw_candidate(&mut rng, workers),
        );
        let both_weak = a.strength.cores.max(b.strength.cores) < need.cores;
        if both_weak && a.strength.cores != b.strength.cores {
            // The larger one is preferred in proportion.
            continue;
        }
        let rank = |c: &Candidate| {
            (
                c.strength.cores < need.cores,
                c.strength.link_mbps < need.link_mbps,
                c.uptime > RECENT_RESTART,
            )
        };
        match rank(&a).cmp(&rank(&b)) {
            std::cmp::Ordering::Less => assert!(a.delay() < b.delay(), "seed {seed}: {a:?} {b:?}"),
            std::cmp::Ordering::Greater => {
                assert!(a.delay() > b.delay(), "seed {seed}: {a:?} {b:?}");
            }
            std::cmp::Ordering::Equal => {
                assert_eq!(
                    a.delay() <= b.delay(),
                    a.round_trip.min(Span::from_millis(20))
                        <= b.round_trip.min(Span::from_millis(20)),
                    "seed {seed}: {a:?} {b:?}"
                );
            }
        }
    }
}

/// Guards against an election that takes so long that leases of runs expire.
#[test]
fn the_delay_is_bounded() {
    for seed in 0..20_000 {
        let mut rng = StdRng::seed_from_u64(seed);
        let workers = draw_workers(&mut rng);
        let mut candidate = draw_candidate(&mut rng, workers);
        candidate.round_trip = Span::from_micros(rng.random_range(0..10_000_000));
        let delay = candidate.delay();
        assert!(delay <= MAX_DELAY, "seed {seed}: {candidate:?} {delay}");
    }
}

/// Guards against a slower change of the leader where all hosts are equal: seven hosts of
/// 0.1 or 0.25 of a core with 48 workers. Their delay was 250 ms times the missing share of
/// a core, 120 ms after 20 s of uptime, and eight round trips.
#[test]
fn equal_hosts_with_few_workers_wait_no_longer_than_before() {
    for (cores, round_trip_ms, uptime_s) in [(0.1, 0, 5), (0.1, 25, 60), (0.25, 3, 60)] {
        let candidate = Candidate {
            strength: Strength {
                cores,
                link_mbps: 1_000.0,
            },
            uptime: Span::from_secs(uptime_s),
            round_trip: Span::from_millis(round_trip_ms),
            workers: 48,
        };
        let uptime_ms = if uptime_s > 20 { 120 } else { 0 };
        let before = (250.0 * (1.0 - cores)) as u64 + uptime_ms + 8 * round_trip_ms;
        assert!(candidate.delay() < Span::from_millis(before));
    }
}

/// Guards against processes of two versions that can't read each other's values and calls
/// while a new version is rolled out.
#[test]
fn appended_fields_are_optional() {
    let old_mark = keys::encode(&7_u64);
    let mark = keys::decode::<ChainMark>("chain", &old_mark).unwrap();
    assert_eq!((mark.nonce, mark.workers), (7, 0));
    let new_mark = keys::encode(&ChainMark {
        nonce: 7,
        workers: 350,
    });
    assert_eq!(keys::decode::<u64>("chain", &new_mark), Some(7));
    assert_eq!(
        keys::decode::<ChainMark>("chain", &new_mark)
            .unwrap()
            .workers,
        350
    );
}
