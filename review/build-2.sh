#!/bin/sh
# Builds the stand-ins of the second review's scripts, with the Rust toolchain alone. The program that
# they start is the one that the deploy file builds.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -A dead_code -o target/review-2/cases review/standins-2/main.rs
