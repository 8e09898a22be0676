#!/bin/sh
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
CASE_DIR=$(cd "$(dirname "$0")" && pwd) || exit 2
export CASE_DIR
cd "$CASE_DIR/../.." || exit 2
case=target/review-2/$(basename "$CASE_DIR")
[ -x "$case" ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec "$case"
