#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the project's own, and those of the review. Run it after deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d rattanplank-standins/target/lib ] || [ ! -d rattanplank-standins/target/classes ]; then
    mvn -o -B -q -Dmaven.test.skip=true -Dspotless.check.skip=true -Dcheckstyle.skip=true \
        -pl rattanplank-standins -am package
fi
rm -rf target/review
mkdir -p target/review
javac -Xlint:all -d target/review review/src/review/*.java
