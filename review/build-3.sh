#!/bin/bash
# Builds the stand-ins of the scripts in review/11 to review/15. They use only the standard
# library of Rust. The nodes are built by the command of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-3 || exit 2
rustc -O --edition 2024 review/standin-3/main.rs -o target/review-3/standin-3 || exit 2
