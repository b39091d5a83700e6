#!/usr/bin/env bash
# Plays the case; exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" python3 -B review/3/case.py
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
