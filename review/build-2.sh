#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; needs what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 -cp "$(printf '%s:' target/platform/*.jar)" review/standins-2/*.java
