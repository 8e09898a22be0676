#!/bin/sh
CASE=2
. "$(dirname "$0")/../standins/run.sh"
