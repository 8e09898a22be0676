#!/bin/sh
# Builds the programs of the cases of the second review, stand-ins included: the standard library alone, no network.
# Run it from anywhere, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in 6 7 8 9 10; do
    [ -f "review/$case/case.rs" ] || continue
    "${RUSTC:-rustc}" --edition 2021 -O -o "target/review-2/$case" "review/$case/case.rs"
done
