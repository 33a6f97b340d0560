//! Reads declaration files from the local disk.

use std::fs;
use std::path::{Path, PathBuf};

use super::CtlError;
use crate::config::declare::{Files, MAX_FILE_BYTES, OPERATIONS_FILE};

/// Reads files, and folders with their `.yaml` and `.yml` files. Each
/// file is keyed by the last component of its path.
pub(super) fn read(paths: &[PathBuf]) -> Result<Files, CtlError> {
    let mut files = Files::new();
    for path in paths {
        for path in list_files(path)? {
            let name = path.file_name().unwrap_or_default().to_string_lossy();
            let text = read_file(&path)?;
            if files.insert(name.to_string(), text).is_some() {
                let message = format!("two files are named {name}; rename one of them");
                return Err(CtlError::Usage(message));
            }
        }
    }
    Ok(files)
}

fn list_files(path: &Path) -> Result<Vec<PathBuf>, CtlError> {
    let failed = |error| CtlError::File {
        path: path.into(),
        error,
    };
    if !fs::metadata(path).map_err(failed)?.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut list = Vec::new();
    for entry in fs::read_dir(path).map_err(failed)? {
        let path = entry.map_err(failed)?.path();
        let is_yaml = path.extension().is_some_and(|e| e == "yaml" || e == "yml");
        // The servers write the operations file; a local copy is not a declaration.
        let is_reserved = path.file_name().is_some_and(|n| n == OPERATIONS_FILE);
        if is_yaml && !is_reserved && path.is_file() {
            list.push(path);
        }
    }
    list.sort();
    match list.is_empty() {
        true => Err(CtlError::Usage(format!(
            "{} holds no .yaml file",
            path.display()
        ))),
        false => Ok(list),
    }
}

fn read_file(path: &Path) -> Result<String, CtlError> {
    let failed = |error| CtlError::File {
        path: path.into(),
        error,
    };
    let length = fs::metadata(path).map_err(failed)?.len();
    if length > MAX_FILE_BYTES as u64 {
        let message = format!(
            "{} has {length} bytes, more than {MAX_FILE_BYTES}; split it into several files",
            path.display()
        );
        return Err(CtlError::Usage(message));
    }
    fs::read_to_string(path).map_err(failed)
}
