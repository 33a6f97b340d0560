//! Checks that the documentation pages match the code.

use std::fs;
use std::path::Path;

use jujubelb::model::{Cause, Code};

fn page(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    fs::read_to_string(path).expect("the page exists")
}

/// Serialized name of a code or cause.
fn name(value: impl serde::Serialize) -> String {
    let value = serde_json::to_value(value).expect("a name");
    value.as_str().expect("a text").to_owned()
}

fn codes() -> Vec<String> {
    let row = |c: &Code| {
        format!(
            "| {} | `{}` | {} | {} | {} | {} |",
            c.number(),
            name(c),
            c.http_status(),
            c.meaning().trim(),
            c.may_have_run(),
            c.remedy()
        )
    };
    Code::ALL.iter().map(row).collect()
}

fn causes() -> Vec<String> {
    let row = |c: &Cause| {
        let meaning = c.meaning().trim();
        format!(
            "| {} | `{}` | {meaning} | {} |",
            c.number(),
            name(c),
            c.remedy()
        )
    };
    Cause::ALL.iter().map(row).collect()
}

/// Guards against a page whose codes or causes differ from those that the code defines.
#[test]
fn result_codes_page_is_complete() {
    let page = page("result-codes.md");
    let rows: Vec<&str> = page
        .lines()
        .filter(|l| l.starts_with("| ") && l[2..].starts_with(|c: char| c.is_ascii_digit()))
        .collect();
    let expected: Vec<String> = codes().into_iter().chain(causes()).collect();
    assert_eq!(
        rows,
        expected,
        "write these rows into the page:\n{}",
        expected.join("\n")
    );
}

/// Guards against exit codes of `jujubectl` that the page does not document.
#[test]
fn jujubectl_page_lists_exit_codes() {
    let page = page("jujubectl.md");
    for code in 0..=6 {
        assert!(page.contains(&format!("\n| {code} | ")), "exit code {code}");
    }
}
