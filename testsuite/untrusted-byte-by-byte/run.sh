#!/usr/bin/env bash
# Guards against callers locked out by 400 connections that send a first message byte by byte.
source "$(dirname "${BASH_SOURCE[0]}")/../hostile.sh"
hostile_callers byte-by-byte
