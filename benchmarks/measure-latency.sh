#!/usr/bin/env bash
# Measures what a call through Berylport adds to the same call sent straight to the target, in one run on loopback:
# direct, through the node beside the target, and through another node. Prints latencies, processor time a call and
# memory of the nodes. Usage: measure-latency.sh [calls a second] [seconds]
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-200}
seconds=${2:-10}
bin=build/bin
folder=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait 2>/dev/null || true; rm -rf "$folder"' EXIT

mapfile -t port < <(python3 -c '
import socket
sockets = [socket.socket() for _ in range(13)]
for it in sockets: it.bind(("127.0.0.1", 0))
for it in sockets: print(it.getsockname()[1])')

start() {
    "$@" >"$folder/log" 2>&1 &
    pids+=($!)
}

# Processor time of a process in clock ticks of 10 ms.
ticks() { awk '{ print $14 + $15 }' "/proc/$1/stat"; }
memory() { awk '/VmRSS/ { print $2 " kB" }' "/proc/$1/status"; }

start $bin/berylport-table --port "${port[0]}"
start $bin/berylport-objects --port "${port[1]}"
for n in 0 1; do
    first=$((2 + n * 5))
    cat >"$folder/node$n.ini" <<INI
[node]
zone = kandy-a
region = central
[listen]
caller = 127.0.0.1:${port[first]}
local = 127.0.0.1:${port[first + 1]}
operators = 127.0.0.1:${port[first + 2]}
peer = 127.0.0.1:${port[first + 3]}
gossip = 127.0.0.1:${port[first + 4]}
[platform]
table = 127.0.0.1:${port[0]}
objects = 127.0.0.1:${port[1]}
INI
    start $bin/berylportd --settings "$folder/node$n.ini"
    sleep 1
done
beside=${pids[2]}
other=${pids[3]}
start $bin/berylport-target --port "${port[12]}" --service slotdesk --service-time-ms 5 --slots 50 --node "127.0.0.1:${port[3]}"
sleep 3
$bin/berylportctl --node "127.0.0.1:${port[4]}" service create slotdesk --kind idempotent >/dev/null
sleep 1

echo "memory at rest: node beside the target $(memory "$beside"), other node $(memory "$other")"
load() { $bin/berylport-load --service slotdesk --rate "$rate" --duration-s "$seconds" --seed 1 "$@"; }
echo "== direct to the target"
load --direct "127.0.0.1:${port[12]}"
echo "== through the node beside the target"
before=$(ticks "$beside")
load --node "127.0.0.1:${port[2]}"
echo "processor time of the node: $((($(ticks "$beside") - before) * 10000 / (rate * seconds))) us a call"
echo "== through another node"
before=$(ticks "$other")
load --node "127.0.0.1:${port[7]}"
echo "processor time of the entry node: $((($(ticks "$other") - before) * 10000 / (rate * seconds))) us a call"
echo "memory after: node beside the target $(memory "$beside"), other node $(memory "$other")"
