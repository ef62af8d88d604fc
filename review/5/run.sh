#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/kqg-gateway ] && [ -x target/review/case-5 ] || exit 2
timeout -k 2 110 target/review/case-5 review/5/record.txt
status=$?
[ $status -le 1 ] && exit $status
exit 2
