#!/usr/bin/env bash
# Guards against API names of the users' platform in portable code: only platform/, deploy/ and their tests may use them.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
names='X-Lease-Holder|X-Fencing-Token|X-Expected-Instance|X-Instance-Id|MaxStalenessMs|DatabaseName|RouteType|HeartbeatMs'
names+='|TxIdleMs|TargetLatencyMs|StoreRevision|HasMore|WaitMs|ColdRemainingMs|DbRole|CITRONLUG_BOOT|CloudApi|StaleOk'
names+='|CONNLIMIT|MISROUTED|INDOUBT|NOSTMT|STEPDOWN|/promotions|/readyz|bounded_staleness"|read_your_writes"'
if grep -rnE "$names" src share testsuite --include='*' --exclude-dir=platform-names; then
    echo "names of the platform are used outside platform/ and deploy/" >&2
    exit 1
fi
