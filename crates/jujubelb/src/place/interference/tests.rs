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

/// Reports from workers with different mixes, with a fixed pattern of noise.
fn trained() -> InterferenceModel {
    let mut state = InterferenceModel::default();
    for round in 0..40 {
        let noise = 1.0 + f64::from(round % 5 - 2) * 0.02;
        learn(&mut state, 20_000.0 * noise, &mix(&[]));
        learn(&mut state, 20_400.0 * noise, &mix(&[("calm", 4.0)]));
        let both = mix(&[("calm", 4.0), ("loud", 2.0)]);
        learn(&mut state, 32_000.0 * noise, &both);
    }
    state
}

/// Guards against blame on a class that only ran beside the disturbing one.
#[test]
fn the_disturbing_class_is_told_from_its_neighbour() {
    let state = trained();
    let (calm, loud) = (estimate(&state, "calm"), estimate(&state, "loud"));
    assert!(!calm.is_unknown() && !loud.is_unknown());
    assert!(upper(&state, "calm") < 0.03, "{calm:?}");
    assert!((0.2..0.4).contains(&loud.mean), "{loud:?}");
}

/// Guards against a class that counts as harmless because nothing is known of it.
#[test]
fn a_class_without_reports_is_unknown() {
    let state = trained();
    assert!(estimate(&state, "new").is_unknown());
    assert!(upper(&state, "new") > 0.05);
}

/// Guards against blame on classes when the load rose.
#[test]
fn latency_at_another_load_is_not_blamed() {
    let mut state = trained();
    for _ in 0..20 {
        state.learn(&Observation {
            service: &ServiceName::from("booking"),
            mean: Span::from_millis(60),
            count: 200,
            load: 950,
            mix: &mix(&[("calm", 4.0)]),
        });
    }
    assert!(upper(&state, "calm") < 0.03);
}

/// Guards against a usual latency that follows disturbed workers upwards.
#[test]
fn a_lasting_disturbance_stays_visible() {
    let mut state = trained();
    let both = mix(&[("calm", 4.0), ("loud", 2.0)]);
    let slowdown = (0..100).map(|_| learn(&mut state, 32_000.0, &both).unwrap());
    assert!(slowdown.last().unwrap() > 0.5);
}

/// Guards against reports that are attributed to what runs now instead of then.
#[test]
fn a_late_report_finds_the_mix_of_its_time() {
    let mut history = MixHistory::default();
    let second = |s: u64| Time::from_millis(s * 1_000);
    history.record(second(0), mix(&[("calm", 1.0)]));
    history.record(second(10), mix(&[("loud", 1.0)]));
    let steady = Span::from_secs(1);
    assert_eq!(history.at(second(9), steady), Some(&mix(&[("calm", 1.0)])));
    assert_eq!(history.at(second(10), steady), None);
    assert_eq!(history.at(second(11), steady), Some(&mix(&[("loud", 1.0)])));
    history.record(second(100), mix(&[]));
    assert_eq!(history.at(second(5), steady), None);
}

/// Guards against a snapshot that loses what was learned.
#[test]
fn estimates_survive_a_snapshot() {
    let state = trained();
    let bytes = postcard::to_stdvec(&state).unwrap();
    assert_eq!(
        postcard::from_bytes::<InterferenceModel>(&bytes).unwrap(),
        state
    );
}
