#!/bin/sh
# Builds the stand-ins of the scripts, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins-2 review/stand-ins-2/main.rs
