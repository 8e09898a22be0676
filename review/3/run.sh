#!/bin/sh
# TROUBLE=0 leaves the disruption out; case.rs reads it (standins/common.rs, `trouble`).
TROUBLE=${TROUBLE:-1}
export TROUBLE
CASE=3
. "$(dirname "$0")/../standins/run.sh"
