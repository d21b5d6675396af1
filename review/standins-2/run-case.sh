#!/usr/bin/env bash
# Runs a case from its folder: run-case.sh FOLDER CLASS. With TROUBLE=0 without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -d target/review-2 ] && [ -f target/platform/rattanplank-platform.jar ] || {
    echo "build first: bash deploy/build.sh && bash review/build-2.sh" >&2
    exit 2
}
exec java -Xmx1g -Djava.net.preferIPv4Stack=true -cp "target/review-2:target/platform/*" Case "$1" "$2"
