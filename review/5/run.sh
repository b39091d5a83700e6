#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:src python3 -S review/5/case.py &
case_id=$!
trap 'kill -TERM "$case_id"' TERM INT HUP
wait "$case_id"
result=$?
if [ "$result" -gt 128 ] && kill -0 "$case_id" 2>/dev/null; then
    wait "$case_id" # a signal came first: the case ends what it started
    result=$?
fi
case "$result" in
0) exit 0 ;;
3) exit 1 ;; # the case's own word that the rule was broken
*) exit 2 ;;
esac
