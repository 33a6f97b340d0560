//! Declarations in YAML files and their checks.
//!
//! [`check`] takes the whole set of files, so declarations may be spread over
//! several files and refer to each other. It reports all errors of all files.

mod cross;
mod draft;
mod fields;
mod operations;
mod pattern;
mod problem;
mod quantity;
mod services;
mod site;
#[cfg(test)]
mod tests;
mod tree;
mod work;

use indexmap::IndexMap;

use super::Config;
use draft::Draft;
use problem::{At, Problems};
use tree::{Node, Tree};

pub use cross::MAX_SHARD_WORKERS;
pub use operations::{OPERATIONS_FILE, Operations};
pub use problem::Problem;

/// Declaration files by name with their text.
pub type Files = IndexMap<String, String>;

/// Largest file in bytes. The store takes values of 1 MB.
pub const MAX_FILE_BYTES: usize = 512 << 10;

/// Most files.
pub const MAX_FILES: usize = 256;

/// Largest sum of all files in bytes; bounds the memory of each process.
pub const MAX_TOTAL_BYTES: usize = 4 << 20;

/// Longest file name.
const FILE_NAME: usize = 100;

/// Reads one entry of a section.
type Reader = fn(&mut Draft, &Node);

/// Sections that are lists, in the order in which they are read.
const SECTIONS: [(&str, Reader); 8] = [
    ("regions", site::region),
    ("domains", site::domain),
    ("hosts", site::host),
    ("racks", site::rack),
    ("services", services::service),
    ("teams", work::team),
    ("jobs", work::job),
    ("watchers", work::watcher),
];

/// The section that is one mapping.
const LIMITS: &str = "limits";

/// Checks all files as one set.
pub fn check(files: &Files) -> Result<Config, Vec<Problem>> {
    let mut problems = Problems::new(files.keys().cloned().collect());
    check_sizes(files, &mut problems);
    if !problems.is_empty() {
        return Err(problems.finish());
    }
    let mut draft = Draft::new(problems);
    let mut syntax = false;
    for (index, (name, text)) in files.iter().enumerate() {
        match tree::parse(index, text, &mut draft.problems) {
            Some(node) if name == OPERATIONS_FILE => operations::read(&mut draft, &node),
            Some(node) => read(&mut draft, &node),
            None => syntax = true,
        }
    }
    // After a syntax error a part of the set is missing, and each reference to
    // that part would be reported as unknown.
    if !syntax {
        cross::check(&mut draft);
    }
    match draft.problems.is_empty() {
        true => Ok(draft.config),
        false => Err(draft.problems.finish()),
    }
}

/// Reports files that are too many, too large or wrongly named.
fn check_sizes(files: &Files, problems: &mut Problems) {
    let start = |file| At {
        file,
        line: 1,
        column: 1,
    };
    let mut total = 0;
    for (index, (name, text)) in files.iter().enumerate() {
        total += text.len();
        if text.len() > MAX_FILE_BYTES {
            let message = format!(
                "the file has {} bytes, more than {MAX_FILE_BYTES}",
                text.len()
            );
            problems.push(start(index), message, "split it into several files");
        }
        if !is_file_name(name) {
            let message = "the file's name can't be used";
            let remedy = "use letters, digits, `-`, `_` and `.`, and end it with `.yaml`";
            problems.push(start(index), message, remedy);
        }
    }
    if total > MAX_TOTAL_BYTES {
        let message = format!("the files have {total} bytes together, more than {MAX_TOTAL_BYTES}");
        let remedy = "declare like things as groups with `count`";
        problems.push(start(files.len() - 1), message, remedy);
    }
    if files.len() > MAX_FILES {
        let message = format!("there are {} files, more than {MAX_FILES}", files.len());
        problems.push(start(files.len() - 1), message, "merge some of them");
    }
}

/// Whether a text may name a declaration file.
pub fn is_file_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    name.len() <= FILE_NAME
        && !name.starts_with('.')
        && name.chars().all(allowed)
        && (name.ends_with(".yaml") || name.ends_with(".yml"))
}

/// Reads one file.
fn read(draft: &mut Draft, root: &Node) {
    if matches!(root.tree, Tree::Null) {
        return;
    }
    let mut known: Vec<&str> = SECTIONS.iter().map(|(name, _)| *name).collect();
    known.push(LIMITS);
    let Some(fields) = fields::Fields::open(root, "file", &known, &mut draft.problems) else {
        return;
    };
    for (name, reader) in SECTIONS {
        for node in fields.list(name, &mut draft.problems) {
            reader(draft, node);
        }
    }
    if let Some(node) = fields.get(LIMITS) {
        work::limits(draft, node);
    }
}
