use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use super::super::seal::{ReplayFilter, open, seal};
use super::super::server::{Addressed, CALL, NONCE_BYTES, check_call, hash_context};
use super::super::{heartbeat, heartbeat_loop};
use super::*;

fn datagram(keys: &KeyRing, header: &Header, heartbeat: &Heartbeat) -> Vec<u8> {
    let body = postcard::to_allocvec(heartbeat).unwrap();
    seal(keys, b"heartbeat", header, &body).unwrap()
}

/// Checks a datagram and returns whether the replay filter changed.
fn check(replay: &mut ReplayFilter, datagram: &[u8]) -> (Result<Heartbeat, DropReason>, bool) {
    let before = format!("{replay:?}");
    let result = heartbeat_loop::check(&key_ring(&[1, 2]), &own_name(), replay, datagram);
    (result, before != format!("{replay:?}"))
}

/// Guards against dropped datagrams that change which later ones are accepted.
#[test]
fn invalid_datagrams_are_dropped_without_a_change() {
    let mut replay = ReplayFilter::default();
    let good = datagram(&key_ring(&[1]), &header("a", 1, 1), &heartbeat("a", 1));
    assert!(check(&mut replay, &good).0.is_ok());
    let mut altered = datagram(&key_ring(&[1]), &header("a", 1, 2), &heartbeat("a", 1));
    *altered.last_mut().unwrap() ^= 1;
    let wrong_key = datagram(&key_ring(&[3]), &header("a", 1, 3), &heartbeat("a", 1));
    let other_sender = datagram(&key_ring(&[1]), &header("a", 1, 4), &heartbeat("b", 1));
    let own = datagram(&key_ring(&[1]), &header("me", 1, 5), &heartbeat("me", 1));
    let text = seal(&key_ring(&[1]), b"heartbeat", &header("a", 1, 6), b"text").unwrap();
    let call = seal(&key_ring(&[1]), b"call", &header("a", 1, 7), &[]).unwrap();
    let cases = [
        (good.clone(), DropReason::Replayed),
        (good[..31].to_vec(), DropReason::Malformed),
        (altered, DropReason::Unauthenticated),
        (wrong_key, DropReason::Unauthenticated),
        (call, DropReason::Unauthenticated),
        (other_sender, DropReason::Malformed),
        (text, DropReason::Malformed),
        (own, DropReason::Misdirected),
        (
            vec![0; heartbeat::MAX_DATAGRAM_BYTES + 1],
            DropReason::Oversized,
        ),
    ];
    for (datagram, reason) in cases {
        assert_eq!(check(&mut replay, &datagram), (Err(reason), false));
    }
}

/// Guards against processes that reject each other's messages during a key rotation.
#[test]
fn two_keys_are_valid_during_a_rotation() {
    let message = |keys: &KeyRing| seal(keys, b"c", &header("a", 1, 1), b"x").unwrap();
    let (old, new) = (message(&key_ring(&[1])), message(&key_ring(&[2, 1])));
    assert!(open(&key_ring(&[1, 2]), b"c", &old).is_ok());
    assert!(open(&key_ring(&[1, 2]), b"c", &new).is_ok());
    assert_eq!(
        open(&key_ring(&[2]), b"c", &old),
        Err(DropReason::Unauthenticated)
    );
    assert!(KeyRing::new(Vec::new()).is_err());
}

/// Guards against keys in logs and dumps, and against keys short enough to guess.
#[test]
fn keys_are_hidden_and_have_a_minimum_length() {
    let text = "secret-secret-secret-secret-secret";
    let key = Key::from_text(text).unwrap();
    assert_eq!(format!("{key:?}"), "Key(hidden)");
    assert!(Key::from_text("short").is_err());
    let error = KeyRing::read(&["/nonexistent/key".into()]).unwrap_err();
    assert!(error.to_string().contains("/nonexistent/key"), "{error}");
}

/// Guards against reordered datagrams rejected as replays, and against accepted replays.
#[test]
fn the_replay_window_accepts_each_counter_once() {
    let mut replay = ReplayFilter::default();
    let mut take = |incarnation, counter| replay.check(&header("a", incarnation, counter)).is_ok();
    assert!(take(1, 100) && take(1, 90) && !take(1, 90) && !take(1, 36));
    assert!(take(1, 300) && !take(1, 100) && take(1, 299) && !take(1, 236) && take(1, 237));
    assert!(
        take(2, 5) && !take(1, 301),
        "a previous incarnation was accepted"
    );
    assert!(take(2, 4) && !take(2, 5));
}

/// Guards against calls replayed on the same or another connection, or sent on to another
/// process.
#[test]
fn calls_are_bound_to_their_connection_and_receiver() {
    let shared = SharedState::new(own_name(), Incarnation(1), key_ring(&[1]));
    let (nonce, other_nonce) = ([1; NONCE_BYTES], [2; NONCE_BYTES]);
    let message = |to: &str| {
        let body = Addressed {
            to: NodeName::from(to),
            body: Call::Config(Revision(0)),
        };
        let body = postcard::to_allocvec(&body).unwrap();
        seal(
            &key_ring(&[1]),
            &hash_context(CALL, &nonce, 0),
            &header("a", 1, 7),
            &body,
        )
        .unwrap()
    };
    let reason = |result: Result<(Header, Call), DropReason>| result.err();
    assert_eq!(reason(check_call(&shared, &nonce, 6, &message("me"))), None);
    let replayed = check_call(&shared, &nonce, 7, &message("me"));
    assert_eq!(reason(replayed), Some(DropReason::Replayed));
    let elsewhere = check_call(&shared, &other_nonce, 0, &message("me"));
    assert_eq!(reason(elsewhere), Some(DropReason::Unauthenticated));
    let misdirected = check_call(&shared, &nonce, 0, &message("you"));
    assert_eq!(reason(misdirected), Some(DropReason::Misdirected));
}

/// Guards against input that makes a process panic. Each input is also tried with a valid
/// hash, so that it reaches the decoders.
#[test]
fn arbitrary_bytes_never_panic_and_change_nothing() {
    let config = Config {
        rng_seed: RngSeed::Fixed(0x5EA1),
        failure_persistence: None,
        ..Config::default()
    };
    let shared = SharedState::new(own_name(), Incarnation(1), key_ring(&[1]));
    TestRunner::new(config)
        .run(&proptest::collection::vec(any::<u8>(), 0..1_300), |bytes| {
            let mut replay = ReplayFilter::default();
            let (result, changed) = check(&mut replay, &bytes);
            prop_assert!(result.is_err() && !changed);
            prop_assert!(check_call(&shared, &[0; NONCE_BYTES], 0, &bytes).is_err());
            let sealed = seal(&key_ring(&[1]), b"heartbeat", &header("a", 1, 1), &bytes).unwrap();
            let (result, changed) = check(&mut replay, &sealed);
            prop_assert_eq!(result.is_ok(), changed);
            let context = hash_context(CALL, &[0; NONCE_BYTES], 0);
            let sealed = seal(&key_ring(&[1]), &context, &header("a", 1, 1), &bytes).unwrap();
            prop_assert!(check_call(&shared, &[0; NONCE_BYTES], 0, &sealed).is_err());
            Ok(())
        })
        .unwrap();
}
