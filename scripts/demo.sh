#!/usr/bin/env bash
# Runs both deployments of examples/ on loopback addresses, injects faults, and
# compares the records of the callers with the reports of the upstreams.
#
#   scripts/demo.sh [--run-twice]
#
# --run-twice makes the upstreams run each request twice; the demo then fails.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/deployment.sh

fault=${1:-}
traffic=40
work=$(mktemp -d)
started=$SECONDS
declare -A pid=()
slowest=0
drained=()

say() { printf '%3ds  %s\n' "$((SECONDS - started))" "$*"; }

cleanup() {
	for name in "${!pid[@]}"; do kill "${pid[$name]}" 2>/dev/null || true; done
	wait 2>/dev/null || true
	if [ -z "${KEEP_LOGS:-}" ]; then rm -rf "$work"; else echo "logs are in $work"; fi
}
trap cleanup EXIT

# at SECOND waits until SECOND seconds after the start of the traffic.
at() { while [ $((SECONDS - traffic_start)) -lt "$1" ]; do sleep 0.1; done; }

say "starting platform, configuration, hosts, upstreams and fabric of both deployments"
for d in cubierta-verde cumann; do
	start_platform "$d"
	first_acceptance "$d" >"$work/accept-$d.log"
	for host in $(hosts_of "$d"); do start_host "$d" "$host"; done
done
for d in cubierta-verde cumann; do
	await_ready "$d"
	start_fabric "$d"
	start_upstreams "$d" $fault
done
await_upstreams

say "callers: feeds, orders and entries, uploads in parts"
traffic_start=$SECONDS
start_callers cubierta-verde pedidos medidas
start_callers cumann harvest-ledger sheet-intake

at 4;  say "a changed configuration is accepted in both deployments"
for d in cubierta-verde cumann; do change_limits "$d" 7000; done

at 8;  say "an upstream drains in each deployment"
drain cubierta-verde pedidos-01
drain cumann harvest-ledger-01

at 12; say "alajuela-a-2 is stopped and started by the plan, dun-chaoin-2 by a signal"
plan_host cubierta-verde stop alajuela-a alajuela-a-2
stop_host cumann dun-chaoin-2
restart_host cumann dun-chaoin-2
plan_host cubierta-verde start alajuela-a alajuela-a-2

at 19; say "hosts heredia-b-1 and ciarrai-thuaidh-1 are killed and replaced"
for h in cubierta-verde:heredia-b-1 cumann:ciarrai-thuaidh-1; do kill_host "${h%%:*}" "${h#*:}"; done
for h in cubierta-verde:heredia-b-1 cumann:ciarrai-thuaidh-1; do restart_host "${h%%:*}" "${h#*:}"; done

at 24; say "hosts cartago-c-1 and beara-1 stand still for 3 seconds"
pause_hosts cartago-c-1 beara-1
sleep 3
wake_hosts cartago-c-1 beara-1

at 29; say "the store of both deployments is out; meanwhile dun-chaoin-1 is stopped as planned and started again"
for d in cubierta-verde cumann; do store_faults "$d" '{"down":true}'; done
stop_host cumann dun-chaoin-1
restart_host cumann dun-chaoin-1
at 35; say "the store is back, another configuration is accepted"
for d in cubierta-verde cumann; do store_faults "$d" '{}'; change_limits "$d" 7500; done

say "waiting for the callers to end"
wait "${pid[callers-cubierta-verde]}" "${pid[callers-cumann]}"
unset 'pid[callers-cubierta-verde]' 'pid[callers-cumann]'
say "comparing what callers saw with what upstreams ran"
verify
