#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
# TROUBLE=0 the disruption is left out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/sapphirestiled target/review/scene; do
    if [ ! -x "$program" ]; then
        echo "$program is not built" >&2
        exit 2
    fi
done
exec target/review/scene restart-in-outage review/2/record.txt
