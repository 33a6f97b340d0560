use super::*;
use crate::model::Time;

fn mix(classes: &[(&str, f64)]) -> ClassMix {
    classes
        .iter()
        .map(|(name, cores)| (ClassName::from(*name), *cores))
        .collect()
}

fn learn(state: &mut InterferenceModel, micros: f64, mix: &ClassMix) -> Option<f64> {
    state.learn(&Observation {
        service: &ServiceName::from("booking"),
        mean: Span::from_micros(micros as u64),
        count: 200,
        load: 400,
        mix,
    })
}

fn estimate(state: &InterferenceModel, class: &str) -> Estimate {
    state.estimate(&ServiceName::from("booking"), &ClassName::from(class))
}

fn upper(state: &InterferenceModel, class: &str) -> f64 {
    let estimate = estimate(state, class);
    estimate.mean + estimate.deviation()
}

/// Builds a model from reports of workers with different mixes and a fixed pattern of
/// noise.
fn trained() -> InterferenceModel {
    let mut state = InterferenceModel::default();
    for round in 0..40 {
        let noise = 1.0 + f64::from(round % 5 - 2) * 0.02;
        learn(&mut state, 20_000.0 * noise, &mix(&[]));
        learn(&mut state, 20_400.0 * noise, &mix(&[("quiet", 4.0)]));
        let both = mix(&[("quiet", 4.0), ("noisy", 2.0)]);
        learn(&mut state, 32_000.0 * noise, &both);
    }
    state
}

/// Guards against attributing a slowdown to a class that only ran beside the one that
/// caused it.
#[test]
fn slowdown_is_attributed_to_the_class_that_causes_it() {
    let state = trained();
    let (quiet, noisy) = (estimate(&state, "quiet"), estimate(&state, "noisy"));
    assert!(!quiet.is_unknown() && !noisy.is_unknown());
    assert!(upper(&state, "quiet") < 0.03, "{quiet:?}");
    assert!((0.2..0.4).contains(&noisy.mean), "{noisy:?}");
}

/// Guards against a class that counts as harmless because it has no reports.
#[test]
fn class_without_reports_is_unknown() {
    let state = trained();
    assert!(estimate(&state, "new").is_unknown());
    assert!(upper(&state, "new") > 0.05);
}

/// Guards against attributing a slowdown to classes when the load rose.
#[test]
fn latency_at_another_load_is_not_attributed_to_classes() {
    let mut state = trained();
    for _ in 0..20 {
        state.learn(&Observation {
            service: &ServiceName::from("booking"),
            mean: Span::from_millis(60),
            count: 200,
            load: 950,
            mix: &mix(&[("quiet", 4.0)]),
        });
    }
    assert!(upper(&state, "quiet") < 0.03);
}

/// Guards against a usual latency that rises with persistent interference.
#[test]
fn persistent_interference_stays_visible() {
    let mut state = trained();
    let both = mix(&[("quiet", 4.0), ("noisy", 2.0)]);
    let slowdown = (0..100).map(|_| learn(&mut state, 32_000.0, &both).unwrap());
    assert!(slowdown.last().unwrap() > 0.5);
}

/// Guards against attributing a late report to the current mix instead of the mix at
/// the time of the measurement.
#[test]
fn late_report_uses_the_mix_at_measurement() {
    let mut history = MixHistory::default();
    let second = |s: u64| Time::from_millis(s * 1_000);
    history.record(second(0), mix(&[("quiet", 1.0)]));
    history.record(second(10), mix(&[("noisy", 1.0)]));
    let min_age = Span::from_secs(1);
    assert_eq!(
        history.at(second(9), min_age),
        Some(&mix(&[("quiet", 1.0)]))
    );
    assert_eq!(history.at(second(10), min_age), None);
    assert_eq!(
        history.at(second(11), min_age),
        Some(&mix(&[("noisy", 1.0)]))
    );
    history.record(second(100), mix(&[]));
    assert_eq!(history.at(second(5), min_age), None);
}

/// Guards against a snapshot that loses estimates.
#[test]
fn estimates_survive_a_snapshot() {
    let state = trained();
    let bytes = postcard::to_stdvec(&state).unwrap();
    assert_eq!(
        postcard::from_bytes::<InterferenceModel>(&bytes).unwrap(),
        state
    );
}
