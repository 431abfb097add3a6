#!/bin/sh
# Runs each case five times with the disruption and once without, and prints the statuses.
cd "$(dirname "$0")" || exit 2
for folder in [0-9]; do
    statuses=""
    for _ in 1 2 3 4 5; do
        "$folder/run.sh" >/dev/null
        statuses="$statuses $?"
    done
    TROUBLE=0 "$folder/run.sh" >/dev/null
    echo "case $folder:$statuses; without the disruption: $?"
done
