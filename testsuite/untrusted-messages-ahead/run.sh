#!/usr/bin/env bash
# Guards against unread input or unsent answers without bound when 150 callers send 20,000 messages ahead and read nothing.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers messages-ahead
