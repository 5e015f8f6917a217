#!/usr/bin/env bash
# Guards against a process out of descriptors: the machine gives it 700, and 800 connections to the readiness page send nothing.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers http-connections
