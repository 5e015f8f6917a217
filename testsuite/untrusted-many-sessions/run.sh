#!/usr/bin/env bash
# Guards against limits that affect ordinary callers: 3,000 sessions and a message of nearly 1 MiB on an instance of 160 MB.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers many-sessions
