use super::*;
use crate::model::Span;

fn exposure(images: &[(&str, f64)]) -> Exposure {
    let own = |(image, share): &(&str, f64)| (ArcStr::from(*image), *share);
    images.iter().map(own).collect()
}

/// A fixed pattern of noise of up to a tenth.
fn noisy(headroom: f64, round: u32) -> f64 {
    headroom * (1.0 + (f64::from(round % 5) - 2.0) * 0.05)
}

/// Own headroom of a job whose load swings with a period of ten seconds.
fn swinging(at: f64) -> f64 {
    3.1 - 1.4 * (at * std::f64::consts::TAU / 10.0).sin()
}

/// Guards against blaming the swing of a job's own load on its neighbours: a
/// harmless image runs beside it through a whole swing, a harmful one now and then.
#[test]
fn swings_of_a_job_are_not_blamed_on_its_neighbours() {
    let (mut slopes, serving) = (Slopes::default(), ArcStr::from("desk"));
    let mut own = HeadroomEstimate::new(Time::ZERO);
    for round in 0..60 {
        let now = Time::ZERO + Span::from_millis(350 * u64::from(round));
        let headroom = swinging(now.since(Time::ZERO).as_secs_f64());
        // Of the job's three tasks one is alone, one beside each image.
        for mix in [
            exposure(&[]),
            exposure(&[("calm", 0.2)]),
            exposure(&[("loud", if round % 3 == 0 { 0.1 } else { 0.0 })]),
        ] {
            let taken: f64 = mix
                .iter()
                .map(|(i, share)| share * if i == "loud" { 12.0 } else { 1.5 })
                .sum();
            let seen = noisy((headroom - taken).max(0.1), round);
            slopes.learn(&mut own, &serving, seen, &mix, now);
        }
    }
    let calm = slopes.slope(&serving, &"calm".into());
    let loud = slopes.slope(&serving, &"loud".into());
    assert!((0.0..4.0).contains(&calm.upper_estimate()), "{calm:?}");
    assert!((9.0..16.0).contains(&loud.upper_estimate()), "{loud:?}");
    assert!(!calm.is_unknown() && !loud.is_unknown());
}

/// One report of a second beside a strong neighbour has to be enough: each
/// further one is time in which callers of the serving task wait too long.
#[test]
fn a_harmful_pair_is_known_after_two_reports() {
    let (mut slopes, serving) = (Slopes::default(), ArcStr::from("desk"));
    let mut own = HeadroomEstimate::new(Time::ZERO);
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    for ms in [0, 350, 700] {
        slopes.learn(&mut own, &serving, 3.0, &exposure(&[]), at(ms));
    }
    for ms in [1_050, 1_400] {
        slopes.learn(&mut own, &serving, 1.5, &exposure(&[("loud", 0.1)]), at(ms));
    }
    let loud = slopes.slope(&serving, &"loud".into());
    assert!(loud.upper_estimate() > 9.0, "{loud:?}");
}

/// A worker that is overloaded anyway shows no more harm by one more task, which
/// must not pass for harmless.
#[test]
fn an_overloaded_worker_acquits_nobody() {
    let (mut slopes, serving) = (Slopes::default(), ArcStr::from("desk"));
    let mut own = HeadroomEstimate::new(Time::ZERO);
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    slopes.learn(&mut own, &serving, 1.0, &exposure(&[]), at(0));
    let before = slopes.slope(&serving, &"loud".into());
    let mix = exposure(&[("loud", 0.3)]);
    slopes.learn(&mut own, &serving, 0.2, &mix, at(350));
    let after = slopes.slope(&serving, &"loud".into());
    assert!(
        after.upper_estimate() >= before.upper_estimate() * 0.9,
        "{after:?}"
    );
}

/// Fading must not turn a harmful pair into a harmless one, only into one that
/// is worth another try.
#[test]
fn fading_stops_at_what_is_believed_of_unknown_pairs() {
    let mut slopes = Slopes::default();
    let serving = ArcStr::from("desk");
    let mut own = HeadroomEstimate::new(Time::ZERO);
    let at = |ms| Time::ZERO + Span::from_millis(ms);
    slopes.learn(&mut own, &serving, 3.0, &exposure(&[]), at(0));
    for ms in [350, 700, 1_050] {
        slopes.learn(&mut own, &serving, 1.0, &exposure(&[("loud", 0.1)]), at(ms));
    }
    for _ in 0..10_000 {
        slopes.decay(0.995);
    }
    let loud = slopes.slope(&serving, &"loud".into());
    assert!(loud.upper_estimate() >= PRIOR.0, "{loud:?}");
}
