#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/platform/rattanplank-platform.jar ] || [ ! -f target/review/review/EndlessEvent.class ]; then
    echo "run deploy/build.sh and review/build.sh first" >&2
    exit 2
fi
exec java -Xmx512m -cp target/review review.EndlessEvent review/1/record.txt
