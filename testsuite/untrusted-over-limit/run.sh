#!/usr/bin/env bash
# Guards against a process killed for its memory when 150 callers send 10 MiB without the end of a line.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers over-limit
