#!/usr/bin/env bash
# Plays the case late-starts. TROUBLE=0 leaves the disruption out. Exit: 0 held, 1 broken, 2 could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-standin late-starts review/5
