#!/bin/sh
# Builds the stand-ins of the third review, without cargo and without dependencies.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/stand-ins-3/main.rs
