#!/usr/bin/env bash
# Guards against a process killed for its memory, and callers locked out, when 150 callers send a message of nearly 1 MiB and
# stop before its end.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers large-messages
