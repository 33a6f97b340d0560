use super::*;

/// Guards against generated declarations that are refused, which would end the measurement.
#[test]
fn generated_declarations_are_valid() {
    let checked = jujubelb::config::declare::check(&configuration::files(10, 80, 1));
    assert_eq!(checked.expect("valid declarations").workers.len(), 80);
}

/// Guards against counts that differ between runs: only times may.
#[test]
fn counted_figures_repeat() {
    let cycle = || serde_json::to_string(&journal::cycle()).expect("can be exported");
    assert_eq!(cycle(), cycle());
}
