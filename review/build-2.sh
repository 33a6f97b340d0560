#!/bin/bash
# Builds the stand-ins of the second review, with the compiler alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2024 -O -o target/review-2 review/standin-2/main.rs
