#!/bin/sh
# Runs each case five times with the disruption and once without, and prints the statuses and the last counts.
cd "$(dirname "$0")" || exit 2
for folder in [0-9]; do
    statuses=""
    for _ in 1 2 3 4 5; do
        "$folder/run.sh" >/dev/null
        statuses="$statuses $?"
        grep -h " ran twice, \| ran [0-9]* times\| sent, " "$folder/record.txt" | grep -v "log of" | tail -1
    done
    TROUBLE=0 "$folder/run.sh" >/dev/null
    echo "case $folder:$statuses; without the disruption: $?"
done
