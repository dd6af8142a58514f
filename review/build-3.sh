#!/bin/sh
# Builds the stand-ins of the third review. Needs no network, only the toolchain of Cargo.toml.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins-3 review/standins-3/main.rs
