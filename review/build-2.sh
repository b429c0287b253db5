#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B build-review-2 -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
cmake --build build-review-2 --target review-case -j "$(nproc)"
