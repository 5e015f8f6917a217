#!/usr/bin/env bash
# Guards against a process killed for its memory by 60 peers without the peer secret that announce 8 MiB and send 7 MiB.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers peer-messages
