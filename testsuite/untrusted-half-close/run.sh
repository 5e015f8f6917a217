#!/usr/bin/env bash
# Guards against sockets that stay open, and callers locked out, when 400 callers half-close in the middle of a message or
# before the answer.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers half-close
