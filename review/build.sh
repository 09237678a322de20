#!/bin/sh
# Builds the stand-ins of the scripts; run it after the build of the deploy file. They use the
# standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
