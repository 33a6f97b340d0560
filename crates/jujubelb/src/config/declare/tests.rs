//! Tests of declaration files: errors with positions, examples, mutated files.

use std::path::Path;

use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use super::*;
use crate::model::{Bytes, Millicores, Span};

fn single_file(text: &str) -> Files {
    IndexMap::from([("site.yaml".to_owned(), text.to_owned())])
}

fn errors(text: &str) -> String {
    format_problems(check(&single_file(text)).expect_err("the file has errors"))
}

fn format_problems(problems: Vec<Problem>) -> String {
    let lines: Vec<String> = problems.iter().map(Problem::to_string).collect();
    lines.join("\n")
}

fn example_files(path: &str) -> Files {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(path);
    let mut names: Vec<_> = std::fs::read_dir(root)
        .expect("the folder exists")
        .map(|entry| entry.expect("a readable entry").path())
        .collect();
    names.sort();
    let text = |p: &Path| std::fs::read_to_string(p).expect("a readable file");
    let name = |p: &Path| {
        p.file_name()
            .expect("a name")
            .to_string_lossy()
            .into_owned()
    };
    names.iter().map(|p| (name(p), text(p))).collect()
}

/// Guards against examples that the check rejects, and against groups that expand to a
/// wrong number of items.
#[test]
fn examples_are_valid() {
    for name in ["ben-salah", "kusunoki"] {
        let config = check(&example_files(name))
            .map_err(format_problems)
            .expect(name);
        assert_eq!(config.hosts.len(), 7, "{name}");
        assert_eq!(config.workers.len(), 48, "{name}");
        assert_eq!(config.domains.len(), 3, "{name}");
        let endpoints: usize = config.services.values().map(|s| s.endpoints.len()).sum();
        assert_eq!(endpoints, 48, "{name}");
        assert!(config.workers.values().all(|w| w.protection), "{name}");
        assert!(
            config.shards.len() == 3 && config.racks.len() == 6,
            "{name}"
        );
    }
    let minimal = include_str!("../../../../../examples/minimal/minimal.yaml");
    let config = check(&single_file(minimal))
        .map_err(format_problems)
        .expect("minimal");
    assert_eq!(config.workers.len(), 2);
    let job = &config.jobs["tidy-up"];
    assert_eq!(job.task.size.cpu, Millicores(1_500));
    assert_eq!(job.task.duration, Some(Span::from_secs(600)));
}

/// Guards against a check that stops at the first error or reports no position.
#[test]
fn all_errors_are_reported_with_position_and_remedy() {
    insta::assert_snapshot!(errors(
        "regions: [north, north]
domains:
  - name: n-1
    region: nroth
  - region: north
  - name: n-2
    region: north
    out: true
hosts:
  - name: Entry_1
    domain: n-1
    entry: localhost:7001
    scheduler: 127.0.0.1:7001
  - name: entry-2
    domain: n-1
    entry: 127.0.0.1:7001
    scheduler: 127.0.0.1:7001
racks:
  - name: r
    domain: n-1
    shard: s
    colour: red
    workers:
      - name: w
        count: 3
        address: 127.0.0.1:90{}
        cpu: 8
        memory: 32
      - name: w-{}
        count: 2
        address: 127.0.0.1:9001
        cpu: 8 cores
        memroy: 32 GiB
        memory: 32 GiB
        reserved: { cpu: 9 }
services:
  - name: web
    deadline: 300
    body: 1 GiB
    endpoints:
      - { name: e, domain: n-1, address: 127.0.0.1:1, slots: 9, connections: 2, slots: 8 }
teams: []
"
    ));
}

/// Guards against references and sizes that are checked only within one file.
#[test]
fn files_are_checked_as_one_set() {
    let base = include_str!("../../../../../examples/minimal/minimal.yaml");
    let mut files = single_file(base);
    let more = "teams:
  - name: small
    quota: { cpu: 1, memory: 1 GiB }
  - name: watchful
    quota: { cpu: 2, memory: 8 GiB }
jobs:
  - { name: tidy-up, team: small, cpu: 1, memory: 1 GiB, duration: 1s }
  - { name: too-big, team: everyone, cpu: 9, memory: 1 GiB, duration: 1s }
  - { name: over-quota, team: small, cpu: 2, memory: 1 GiB, duration: 1s }
  - { name: nobody, team: ghosts, cpu: 1, memory: 1 GiB, duration: 1s, domains: [mars] }
  - { name: over-limit, team: everyone, cpu: 70, memory: 1 GiB, duration: 1s, tasks: 20000 }
  - { name: odd, team: small, kind: cron, cpu: 1, memory: 1 GiB }
watchers:
  - { name: eye, team: watchful, tasks: 5, cpu: 500m, memory: 1 GiB }
";
    files.insert("more.yaml".into(), more.into());
    let problems = check(&files).expect_err("the files have errors");
    insta::assert_snapshot!(format_problems(problems));
}

/// Guards against shards that are too large for one owner or span several domains.
#[test]
fn shards_are_bounded() {
    insta::assert_snapshot!(errors(
        "regions: [north]
domains: [{ name: a, region: north }, { name: b, region: north }]
racks:
  - name: r-{}
    count: 14
    domain: a
    shard: s
    workers: [{ name: \"w-{rack}-{}\", count: 8, address: \"127.0.{rack}.{}:9000\", cpu: 8, memory: 1 GiB }]
  - { name: other, domain: b, shard: s }
services:
  - name: web
    endpoints: [{ name: e, domain: b, address: \"127.0.0.1:80\", worker: w-1-1 }]
"
    ));
}

/// Guards against syntax errors that hide the errors of other files, and against
/// reporting every reference to the unparsed file as unknown.
#[test]
fn syntax_errors_have_a_position() {
    let mut files = single_file("regions: [north\ndomains: {{\n");
    files.insert(
        "b.yaml".into(),
        "domains:\n  - name: b\n    region: north\n    x: 1\n".into(),
    );
    insta::assert_snapshot!(format_problems(check(&files).expect_err("a syntax error")));
}

/// Guards against wrong factors of units and accepting quantities without one.
#[test]
fn quantities_have_units() {
    assert_eq!(quantity::size("250 GB"), Some(Bytes(250_000_000_000)));
    assert_eq!(quantity::size("1.5GiB"), Some(Bytes(3 << 29)));
    assert_eq!(quantity::size("250 gb"), None);
    assert_eq!(quantity::size("250"), None);
    assert_eq!(quantity::cores_text("1500m"), Some(Millicores(1_500)));
    assert_eq!(quantity::cores_text("1.5"), Some(Millicores(1_500)));
    assert_eq!(quantity::cores_text("0.0001"), None);
    assert_eq!(quantity::cores(-1.0), None);
    assert_eq!(quantity::cores(f64::NAN), None);
    assert_eq!(quantity::rate("2 Mbit/s"), Some(Bytes(250_000)));
    assert_eq!(quantity::span("300ms"), Some(Span::from_millis(300)));
    assert_eq!(quantity::span("0s"), None);
    assert_eq!(quantity::span("2 years"), None);
}

/// Guards against a domain or endpoint that comes back into service because its
/// declaration does not mention the operators' command.
#[test]
fn operations_override_declarations() {
    let mut files = single_file(include_str!("../../../../../examples/minimal/minimal.yaml"));
    let mut operations = Operations::default();
    operations.domains_out.insert("home-a".into());
    operations.endpoints_leaving.insert("hello-1".into());
    let text = operations.to_yaml().expect("not empty");
    assert_eq!(Operations::parse(&text), Ok(operations));
    files.insert(OPERATIONS_FILE.into(), text);
    let config = check(&files).map_err(format_problems).expect("valid");
    assert!(config.domains["home-a"].out);
    assert!(config.services["hello"].endpoints["hello-1"].leaving);
}

/// Guards against files that are too large for the store, have unsafe names or are
/// nested too deeply.
#[test]
fn files_are_bounded() {
    let mut files = single_file(&"#".repeat(MAX_FILE_BYTES + 1));
    files.insert("../etc.yaml".into(), String::new());
    insta::assert_snapshot!(format_problems(check(&files).expect_err("too large")));
    let deep = "[".repeat(10_000);
    assert!(check(&single_file(&deep)).is_err());
}

/// Guards against fields that the documentation does not explain.
#[test]
fn documentation_lists_every_field() {
    let page = include_str!("../../../../../docs/configuration.md");
    let rows: Vec<&str> = page.lines().filter(|l| l.starts_with("| `")).collect();
    let listed = |field: &&str| {
        let quoted = format!("`{field}`");
        let first = |row: &&str| row.split(" | ").next().is_some_and(|c| c.contains(&quoted));
        rows.iter().any(first)
    };
    for field in topology::ALL_FIELDS
        .into_iter()
        .chain(services::ALL_FIELDS)
        .chain(workloads::ALL_FIELDS)
    {
        assert!(field.iter().all(&listed), "{field:?}");
    }
    assert!(operations::FIELDS.iter().all(listed));
    for (section, _) in SECTIONS {
        assert!(page.contains(&format!("`{section}`")), "{section}");
    }
}

fn proptest_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_204),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Texts that are inserted into files at random positions.
const INSERTS: [&str; 24] = [
    "\n",
    " ",
    "- ",
    ": ",
    "{",
    "}",
    "[",
    "]",
    "{}",
    "{rack}",
    "\"",
    "&a ",
    "*a",
    "<<: ",
    "!!int ",
    "-1",
    "1e308",
    ".nan",
    "null",
    "99999999999999999999999999",
    "\u{0}",
    "é",
    "| ",
    "count: 9999",
];

proptest! {
    #![proptest_config(proptest_config(300))]

    /// Guards against panics on malformed input: truncated, duplicated and corrupted text.
    #[test]
    fn mutated_files_never_panic(
        edits in prop::collection::vec((any::<prop::sample::Index>(), 0usize..4, 0usize..INSERTS.len(), 0usize..80), 1..8),
        which in 0usize..3,
    ) {
        let mut files = match which {
            0 => single_file(include_str!("../../../../../examples/minimal/minimal.yaml")),
            1 => example_files("ben-salah"),
            _ => example_files("kusunoki"),
        };
        for (place, action, insert, length) in edits {
            let file = place.index(files.len());
            let text = &mut files[file];
            let mut chars: Vec<char> = text.chars().collect();
            let start = place.index(chars.len().max(1)).min(chars.len());
            let end = (start + length).min(chars.len());
            match action {
                0 => { chars.drain(start..end); }
                1 => chars.splice(start..start, INSERTS[insert].chars()).for_each(drop),
                2 => chars.splice(start..end, INSERTS[insert].chars()).for_each(drop),
                _ => { let part = chars[start..end].to_vec(); chars.splice(start..start, part).for_each(drop); }
            }
            *text = chars.into_iter().collect();
        }
        if let Err(problems) = check(&files) {
            prop_assert!(!problems.is_empty());
            prop_assert!(problems.iter().all(|p| p.line > 0 && p.column > 0 && !p.remedy.is_empty()));
        }
    }
}

/// Guards against an unbounded list of errors, for example from one wrong pattern.
#[test]
fn errors_are_bounded() {
    let endpoints: String = (0..2_000)
        .map(|n| {
            format!(
                "      - {{ name: e-{n}, domain: nowhere, address: '127.0.1.1:{}' }}\n",
                n + 1
            )
        })
        .collect();
    let text = format!("services:\n  - name: web\n    endpoints:\n{endpoints}");
    let problems = check(&single_file(&text)).expect_err("unknown domains");
    assert_eq!(problems.len(), 500);
    let last = problems.last().expect("not empty").to_string();
    assert!(last.ends_with("(and 1500 more errors)"), "{last}");
}
