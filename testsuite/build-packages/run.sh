#!/usr/bin/env bash
# Guards against a check of the deployed build that overlooks a package which deploy/system.toml does not list, as
# happened when the load tool's libcurl headers stopped the build on machines without them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
die() { echo "build-packages: $*" >&2; exit 1; }

# Files of libsodium, of a package that libsodium needs, and of the linker's packages.
printf '%s\n' /usr/include/sodium.h /usr/lib/x86_64-linux-gnu/libc.so.6 /usr/bin/ld >"$work/files"
.ci/unlisted-packages "$work/files" g++ libsodium-dev >"$work/out" || die "all packages are listed: $(cat "$work/out")"
grep -q '^1 files of libsodium-dev$' "$work/out" || die "no count for libsodium-dev: $(cat "$work/out")"

! .ci/unlisted-packages "$work/files" g++ >"$work/out" || die "libsodium-dev is not listed"
grep -q '^libsodium-dev /usr/include/sodium.h$' "$work/out" || die "sodium.h is not named: $(cat "$work/out")"

echo "$work/out" >>"$work/files"
! .ci/unlisted-packages "$work/files" g++ libsodium-dev >"$work/out" || die "a file of no package passed"
grep -q "^- $work/out$" "$work/out" || die "a file of no package is not named: $(cat "$work/out")"
