#!/bin/sh
CASE=1
. "$(dirname "$0")/../standins/run.sh"
