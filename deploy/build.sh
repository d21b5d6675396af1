#!/usr/bin/env bash
# Builds the runnable layout under target/platform, and a class data sharing archive in it.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -Dmaven.test.skip=true -Dspotless.check.skip=true -Dcheckstyle.skip=true \
    -pl rattanplank-standins -am package
# The archive only makes processes start faster, so the build also succeeds on a machine that cannot create it.
rm -f target/platform/classes.jsa
bin/demo-site --archive target/platform/classes.jsa >target/archive.log 2>&1 \
    || echo "creating the class data sharing archive failed; see target/archive.log" >&2
