#!/usr/bin/env bash
# See claim.txt. Writes record.txt; exit code 1: the rule was broken, 0: it held, 2: the case could not run.
cd "$(dirname "${BASH_SOURCE[0]}")" && exec bash ../standin/run-case.sh . quota
