#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/standin-2 ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/standin-2 slow-client-while-stopping review/10
