#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
timeout --kill-after=5 115 node case.mjs
code=$?
grep -q '"event":"verdict"' record.txt 2>/dev/null || exit 2
exit "$code"
