#!/usr/bin/env bash
# Guards against a process out of descriptors: the machine gives it 700, and 900 callers open sessions.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers many-connections
