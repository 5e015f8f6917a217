#!/usr/bin/env bash
# Guards against session values without bound: 40 callers set 16 values of 256 KiB each.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers session-values
