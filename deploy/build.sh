#!/usr/bin/env bash
# Builds the runnable layout under target/platform, and an archive of the loaded classes beside it.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn -B -q -Dmaven.test.skip=true -Dspotless.check.skip=true -Dcheckstyle.skip=true \
    -pl rattanplank-standins -am package
# A process that starts without the archive only starts slower, so a machine that can't make one still gets its build.
rm -f target/platform/classes.jsa
bin/demo-site --archive target/platform/classes.jsa >target/archive.log 2>&1 \
    || echo "no class archive; see target/archive.log" >&2
