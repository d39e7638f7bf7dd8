#!/usr/bin/env bash
# Fails when a name of the users' platform stands outside platform/, its tests and the deploy files.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Server-Seal|X-Target-Instance|X-Not-Executed|X-Server-Load|X-Caller-Service|X-Deadline-Ms|X-Instance-Id'
names+='|Server-(Limit|Leaving)|Store-Era|X-Tenant-Id|X-Cold-Start-Ms|api-keys|cold-per-s'
names+='|instances\.(heartbeat|deregister)|/-/(rows|blob|rpc|readiness)|traffic-split|schema-ver|BERYLPORT_BOOT'
if git grep -nIE "$names" -- Source Programs StandIns benchmarks tests ':!tests/PlatformAdapter'; then
    echo "names of the platform belong in platform/"
    exit 1
fi
