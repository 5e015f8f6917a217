#!/usr/bin/env bash
# Guards against a process out of descriptors by 800 connections of peers that send nothing.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers peer-connections
