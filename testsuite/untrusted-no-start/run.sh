#!/usr/bin/env bash
# Guards against callers locked out by 400 connections that send nothing, twice the number of callers that are accepted.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers no-start
