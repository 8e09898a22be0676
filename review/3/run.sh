#!/bin/sh
CASE=3
. "$(dirname "$0")/../standins/run.sh"
