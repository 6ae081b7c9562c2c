#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/review-2. Needs only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/second/testutils/main.rs
