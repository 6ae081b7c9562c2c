#!/bin/sh
# Builds the stand-ins of the review's scripts into target/review. Needs only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/testutils/main.rs
