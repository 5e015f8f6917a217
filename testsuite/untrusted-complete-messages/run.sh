#!/usr/bin/env bash
# Guards against a process killed for its memory when 150 callers send four complete messages of nearly 1 MiB each.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers complete-messages
