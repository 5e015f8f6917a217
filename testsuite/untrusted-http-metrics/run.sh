#!/usr/bin/env bash
# Guards against a process killed for its memory by 150 connections to the metrics page with a request body of 1 MiB.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers http-metrics
