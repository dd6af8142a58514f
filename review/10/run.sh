#!/bin/sh
# Runs the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
export PROGRAM=target/release/bluebellgap RECORD="$folder/record.txt"
cases=target/review-2/cases
if [ ! -x "$PROGRAM" ] || [ ! -x "$cases" ]; then
    echo "build with the deploy file's command and review/build-2.sh first" >&2
    exit 2
fi
CASE_TMP=$(mktemp -d) || exit 2
export CASE_TMP
timeout 110 "$cases" silent
code=$?
if [ -f "$CASE_TMP/pids" ]; then
    # A case that ended early leaves its processes; those that have ended are skipped.
    while read -r pid; do
        if grep -q "$CASE_TMP" "/proc/$pid/cmdline" 2>/dev/null; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done < "$CASE_TMP/pids"
fi
rm -rf "$CASE_TMP"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
