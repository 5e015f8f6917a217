#!/usr/bin/env bash
# Guards against unsent answers without bound when 100 callers request 512 KiB a hundred times and read nothing.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers unread-answers
