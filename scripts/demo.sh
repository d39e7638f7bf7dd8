#!/usr/bin/env bash
# Installs, builds, and shows a small fleet on loopback: two stores, three nodes in three zones, four targets.
# Ends with "demo: ok" and exit code 0, or with the reason and another code.
set -euo pipefail
cd "$(dirname "$0")/.."
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1

folder=$(mktemp -d)
pids=()

# Ends what the demo has started, newest first.
finish() {
    local status=$?
    for ((n = ${#pids[@]} - 1; n >= 0; --n)); do
        kill "${pids[n]}" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    [ $status -eq 0 ] || { echo "demo: failed; last log lines:"; tail -n 3 "$folder"/*.log; }
    rm -rf "$folder"
    exit $status
}
trap finish EXIT

fail() {
    echo "demo: $1"
    exit 1
}

start() {
    local name=$1
    shift
    "$@" >"$folder/$name.log" 2>&1 &
    pids+=($!)
}

# Repeats a command until it succeeds, for at most 20 s.
wait_until() {
    local reason=$1
    shift
    for _ in $(seq 200); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    fail "$reason"
}

scripts/install-packages.sh
command -v curl >/dev/null || apt-get install -y -qq curl >/dev/null
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >"$folder/build.log"
cmake --build build --target berylportd berylportctl berylport-table berylport-objects berylport-target >>"$folder/build.log"
bin=build/bin

mapfile -t port < <(python3 -c '
import socket
sockets = [socket.socket() for _ in range(24)]
for it in sockets: it.bind(("127.0.0.1", 0))
for it in sockets: print(it.getsockname()[1])')
table=${port[0]}
objects=${port[1]}

start table $bin/berylport-table --port "$table"
start objects $bin/berylport-objects --port "$objects"
zones=(kandy-a colombo-a galle-a)
for n in 0 1 2; do
    first=$((2 + n * 5))
    cat >"$folder/node$n.ini" <<INI
[node]
zone = ${zones[n]}
region = central
[listen]
caller = 127.0.0.1:${port[first]}
local = 127.0.0.1:${port[first + 1]}
operators = 127.0.0.1:${port[first + 2]}
peer = 127.0.0.1:${port[first + 3]}
gossip = 127.0.0.1:${port[first + 4]}
[platform]
table = 127.0.0.1:$table
objects = 127.0.0.1:$objects
[trace]
output = $folder/trace.jsonl
INI
    $bin/berylportd --check --settings "$folder/node$n.ini" >/dev/null || fail "settings of node $n are invalid"
    start "node$n" $bin/berylportd --settings "$folder/node$n.ini"
    wait_until "node $n is not ready" curl -sf "http://127.0.0.1:${port[first]}/berylport/health"
done
ctl="$bin/berylportctl --node 127.0.0.1:${port[4]}"

for n in 0 1 2; do
    start "slotdesk$n" $bin/berylport-target --service slotdesk --service-time-ms 5 --node "127.0.0.1:${port[3 + n * 5]}"
done
start collectsvc $bin/berylport-target --service collectsvc --service-time-ms 20 --node "127.0.0.1:${port[8]}"

echo "== create services"
$ctl service create slotdesk --kind idempotent --caller-wait-ms 1000 --hedged
$ctl service create collectsvc --kind at-most-once --priority critical
all_targets_ready() { [ "$($ctl target list | grep -c ready)" -eq 4 ]; }
wait_until "the targets did not become ready" all_targets_ready
echo "== targets"
$ctl target list

echo "== requests"
for n in 0 1 2; do
    for service in slotdesk collectsvc; do
        answer=$(curl -s -m 5 -o /dev/null -D - -H "Berylport-Service: $service" -H "X-Request-Tag: demo" \
            "http://127.0.0.1:${port[2 + n * 5]}/")
        grep -q '^HTTP/1.1 200' <<<"$answer" || fail "$service through node $n: $answer"
        echo "$service through ${zones[n]}: $(grep -i '^Berylport-Outcome' <<<"$answer" | tr -d '\r')"
    done
done

echo "== measures of the first node"
curl -s "http://127.0.0.1:${port[3]}/metrics" | grep -E '^berylport_(calls|attempts|members|call_seconds)' || fail "no measures"

echo "== spans of the last request"
sleep 0.2
trace=$(tail -n 1 "$folder/trace.jsonl" | sed 's/.*"trace":"\([0-9a-f]*\)".*/\1/')
grep "$trace" "$folder/trace.jsonl" || fail "no spans"

echo "== graceful shutdown"
for ((n = ${#pids[@]} - 1; n >= 0; --n)); do
    kill "${pids[n]}"
    wait "${pids[n]}" || fail "a process ended with code $?"
done
pids=()
echo "demo: ok"
