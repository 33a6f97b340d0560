use super::*;
use crate::model::Span;

fn exposure(images: &[(&str, f64)]) -> Exposure {
    let owned = |(image, share): &(&str, f64)| (ArcStr::from(*image), *share);
    images.iter().map(owned).collect()
}

/// Adds a fixed pattern of noise of up to a tenth.
fn with_noise(headroom: f64, round: u32) -> f64 {
    headroom * (1.0 + (f64::from(round % 5) - 2.0) * 0.05)
}

/// Own headroom of a job whose load oscillates with a period of ten seconds.
fn oscillating(at: f64) -> f64 {
    3.1 - 1.4 * (at * std::f64::consts::TAU / 10.0).sin()
}

/// Guards against attributing changes of a job's own load to its neighbours: a
/// harmless image runs beside it for complete periods, a harmful one intermittently.
#[test]
fn load_changes_are_not_attributed_to_neighbours() {
    let (mut slopes, serving) = (Slopes::default(), ArcStr::from("desk"));
    let mut own = HeadroomEstimate::new(Time::ZERO);
    for round in 0..60 {
        let now = Time::ZERO + Span::from_millis(350 * u64::from(round));
        let headroom = oscillating(now.since(Time::ZERO).as_secs_f64());
        // One task of the job runs alone, and one beside each of the two images.
        for mix in [
            exposure(&[]),
            exposure(&[("quiet", 0.2)]),
            exposure(&[("noisy", if round % 3 == 0 { 0.1 } else { 0.0 })]),
        ] {
            let taken: f64 = mix
                .iter()
                .map(|(i, share)| share * if i == "noisy" { 12.0 } else { 1.5 })
                .sum();
            let observed = with_noise((headroom - taken).max(0.1), round);
            slopes.learn(&mut own, &serving, observed, &mix, now);
        }
    }
    let quiet = slopes.slope(&serving, &"quiet".into());
    let noisy = slopes.slope(&serving, &"noisy".into());
    assert!((0.0..4.0).contains(&quiet.upper_estimate()), "{quiet:?}");
    assert!((9.0..16.0).contains(&noisy.upper_estimate()), "{noisy:?}");
    assert!(!quiet.is_unknown() && !noisy.is_unknown());
}

/// Guards against slow detection of strong interference, during which callers of the
/// serving task wait too long.
#[test]
fn strong_interference_is_detected_after_two_reports() {
    let (mut slopes, serving) = (Slopes::default(), ArcStr::from("desk"));
    let mut own = HeadroomEstimate::new(Time::ZERO);
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    for ms in [0, 350, 700] {
        slopes.learn(&mut own, &serving, 3.0, &exposure(&[]), at(ms));
    }
    for ms in [1_050, 1_400] {
        slopes.learn(
            &mut own,
            &serving,
            1.5,
            &exposure(&[("noisy", 0.1)]),
            at(ms),
        );
    }
    let noisy = slopes.slope(&serving, &"noisy".into());
    assert!(noisy.upper_estimate() > 9.0, "{noisy:?}");
}

/// Guards against lowering the slope of a best-effort task on an overloaded worker,
/// where its effect can't be observed.
#[test]
fn overloaded_worker_does_not_lower_a_slope() {
    let (mut slopes, serving) = (Slopes::default(), ArcStr::from("desk"));
    let mut own = HeadroomEstimate::new(Time::ZERO);
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    slopes.learn(&mut own, &serving, 1.0, &exposure(&[]), at(0));
    let before = slopes.slope(&serving, &"noisy".into());
    let mix = exposure(&[("noisy", 0.3)]);
    slopes.learn(&mut own, &serving, 0.2, &mix, at(350));
    let after = slopes.slope(&serving, &"noisy".into());
    assert!(
        after.upper_estimate() >= before.upper_estimate() * 0.9,
        "{after:?}"
    );
}

/// Guards against decay that makes a harmful pair count as harmless instead of
/// unknown.
#[test]
fn decay_stops_at_the_initial_slope() {
    let mut slopes = Slopes::default();
    let serving = ArcStr::from("desk");
    let mut own = HeadroomEstimate::new(Time::ZERO);
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    slopes.learn(&mut own, &serving, 3.0, &exposure(&[]), at(0));
    for ms in [350, 700, 1_050] {
        slopes.learn(
            &mut own,
            &serving,
            1.0,
            &exposure(&[("noisy", 0.1)]),
            at(ms),
        );
    }
    for _ in 0..10_000 {
        slopes.decay(0.995);
    }
    let noisy = slopes.slope(&serving, &"noisy".into());
    assert!(noisy.upper_estimate() >= INITIAL_SLOPE.0, "{noisy:?}");
}
