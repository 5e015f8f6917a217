#!/usr/bin/env bash
# Guards against .ci/unlisted-packages overlooking a package that deploy/system.toml does not list. The build then fails
# on machines without that package, as happened with the libcurl headers that the load generator includes.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
die() { echo "build-packages: $*" >&2; exit 1; }

# A file of libsodium, one of a dependency of libsodium, and one of the linker. The folder of the C library has the name
# of the architecture.
libc=$(realpath "$(g++ -print-file-name=libc.so.6)")
printf '%s\n' /usr/include/sodium.h "$libc" /usr/bin/ld >"$work/files"
.ci/unlisted-packages "$work/files" g++ libsodium-dev >"$work/out" || die "failed although all packages are listed: $(cat "$work/out")"
grep -q '^1 files of libsodium-dev$' "$work/out" || die "the output has no count for libsodium-dev: $(cat "$work/out")"

! .ci/unlisted-packages "$work/files" g++ >"$work/out" || die "passed although libsodium-dev is not listed"
grep -q '^libsodium-dev /usr/include/sodium.h$' "$work/out" || die "the output does not name sodium.h: $(cat "$work/out")"

echo "$work/out" >>"$work/files"
! .ci/unlisted-packages "$work/files" g++ libsodium-dev >"$work/out" || die "passed although a file belongs to no package"
grep -q "^- $work/out$" "$work/out" || die "the output does not name the file that belongs to no package: $(cat "$work/out")"
