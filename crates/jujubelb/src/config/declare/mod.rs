//! Parsing and checking of the YAML declaration files.
//!
//! [`check`] takes the complete set of files, because declarations may be spread
//! over several files and refer to each other. It reports the errors of all files
//! in one run.

mod builder;
mod consistency;
mod fields;
mod operations;
mod pattern;
mod problem;
mod quantity;
mod services;
#[cfg(test)]
mod tests;
mod topology;
mod workloads;
mod yaml;

use indexmap::IndexMap;

use super::Config;
use builder::ConfigBuilder;
use problem::{Position, Problems};
use yaml::{Node, Value};

pub use consistency::MAX_SHARD_WORKERS;
pub use operations::{OPERATIONS_FILE, Operations};
pub use problem::Problem;

/// Text of each declaration file by file name.
pub type Files = IndexMap<String, String>;

/// Maximum size of a file in bytes. The store accepts values of up to 1 MiB.
pub const MAX_FILE_BYTES: usize = 512 << 10;

/// Maximum number of files in a set.
pub const MAX_FILES: usize = 256;

/// Maximum total size of all files in bytes; bounds the memory of each process.
pub const MAX_TOTAL_BYTES: usize = 4 << 20;

/// Maximum length of a file name.
const MAX_FILE_NAME_BYTES: usize = 100;

/// Reads one entry of a section into the builder.
type EntryReader = fn(&mut ConfigBuilder, &Node);

/// Sections that contain a list, in the order in which they are read.
const SECTIONS: [(&str, EntryReader); 8] = [
    ("regions", topology::region),
    ("domains", topology::domain),
    ("hosts", topology::host),
    ("racks", topology::rack),
    ("services", services::service),
    ("teams", workloads::team),
    ("jobs", workloads::job),
    ("watchers", workloads::watcher),
];

/// The section that contains a mapping instead of a list.
const LIMITS_SECTION: &str = "limits";

/// Parses and checks all files as one set. Returns the configuration, or all errors.
pub fn check(files: &Files) -> Result<Config, Vec<Problem>> {
    let mut problems = Problems::new(files.keys().cloned().collect());
    check_sizes(files, &mut problems);
    if !problems.is_empty() {
        return Err(problems.finish());
    }
    let mut builder = ConfigBuilder::new(problems);
    let mut syntax = false;
    for (index, (name, text)) in files.iter().enumerate() {
        match yaml::parse(index, text, &mut builder.problems) {
            Some(node) if name == OPERATIONS_FILE => operations::read(&mut builder, &node),
            Some(node) => read_file(&mut builder, &node),
            None => syntax = true,
        }
    }
    // After a syntax error part of the set is missing, and every reference to
    // that part would be reported as unknown.
    if !syntax {
        consistency::check(&mut builder);
    }
    match builder.problems.is_empty() {
        true => Ok(builder.config),
        false => Err(builder.problems.finish()),
    }
}

/// Reports files that are too many, too large or badly named.
fn check_sizes(files: &Files, problems: &mut Problems) {
    let start = |file| Position {
        file,
        line: 1,
        column: 1,
    };
    let mut total = 0;
    for (index, (name, text)) in files.iter().enumerate() {
        total += text.len();
        if text.len() > MAX_FILE_BYTES {
            let message = format!(
                "the file has {} bytes, more than the maximum of {MAX_FILE_BYTES}",
                text.len()
            );
            problems.push(start(index), message, "split it into several files");
        }
        if !is_file_name(name) {
            let message = "the file name is not valid";
            let remedy = "use letters, digits, `-`, `_` and `.`, and the extension `.yaml`";
            problems.push(start(index), message, remedy);
        }
    }
    if total > MAX_TOTAL_BYTES {
        let message = format!(
            "the files have {total} bytes in total, more than the maximum of {MAX_TOTAL_BYTES}"
        );
        let remedy = "declare similar items as groups with `count`";
        problems.push(start(files.len() - 1), message, remedy);
    }
    if files.len() > MAX_FILES {
        let message = format!(
            "there are {} files, more than the maximum of {MAX_FILES}",
            files.len()
        );
        problems.push(start(files.len() - 1), message, "merge some of them");
    }
}

/// Whether `name` is a valid name of a declaration file.
pub fn is_file_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    name.len() <= MAX_FILE_NAME_BYTES
        && !name.starts_with('.')
        && name.chars().all(allowed)
        && (name.ends_with(".yaml") || name.ends_with(".yml"))
}

/// Reads the sections of one parsed file; an empty file is valid.
fn read_file(builder: &mut ConfigBuilder, root: &Node) {
    if matches!(root.value, Value::Null) {
        return;
    }
    let mut known: Vec<&str> = SECTIONS.iter().map(|(name, _)| *name).collect();
    known.push(LIMITS_SECTION);
    let Some(fields) = fields::Fields::open(root, "file", &known, &mut builder.problems) else {
        return;
    };
    for (name, reader) in SECTIONS {
        for node in fields.list(name, &mut builder.problems) {
            reader(builder, node);
        }
    }
    if let Some(node) = fields.get(LIMITS_SECTION) {
        workloads::limits(builder, node);
    }
}
