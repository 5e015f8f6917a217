#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves the disruptions out.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/platform/citronlug-sessiond ] && [ -x target/review-2/case-7 ] || { echo "build first" && exit 2; }
exec target/review-2/case-7
