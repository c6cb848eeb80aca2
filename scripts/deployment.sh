# Functions that start and stop the processes of a deployment and inject faults.
# The script that sources this file must define the variables work, pid, drained,
# slowest and traffic and the function say.

standin=bin/mimosa-standin

# platform_ip DEPLOYMENT prints the IP address of the platform stand-in.
platform_ip() { case $1 in cubierta-verde) echo 127.0.0.11 ;; cumann) echo 127.0.0.12 ;; esac; }
store_url() { echo "http://$(platform_ip "$1"):7300"; }
platform_admin() { echo "http://$(platform_ip "$1"):7301"; }
upstreams_admin() { echo "$(platform_ip "$1"):7302"; }

# services_of DEPLOYMENT prints the addresses of the services.
services_of() { awk '$1 == "address" {print $3}' examples/"$1"/accounts/*.ini; }

# plan_of DEPLOYMENT prints the name, availability zone and address of each host.
plan_of() {
	for file in examples/"$1"/zones/*.ini; do
		awk -v zone="$(basename "$file" .ini)" '/^\[/ {on = ($0 == "[hosts]")} on && $2 == "=" {print $1, zone, $3}' "$file"
	done
}
hosts_of() { plan_of "$1" | cut -d ' ' -f 1; }

# host_field DEPLOYMENT HOST FIELD prints the zone (2) or address (3) of a host.
host_field() { plan_of "$1" | awk -v host="$2" -v field="$3" '$1 == host {print $field}'; }
admin_urls() { plan_of "$1" | awk '{print "--host http://" $3 ":7402"}'; }

start_platform() {
	local ip
	ip=$(platform_ip "$1")
	$standin platform --listen "$ip:7300" --admin "$ip:7301" 2>"$work/platform-$1.log" &
	pid[platform-$1]=$!
	until $standin call GET "http://$ip:7301/faults" >/dev/null 2>&1; do sleep 0.05; done
}

write_settings() {
	local ip
	ip=$(host_field "$1" "$2" 3)
	cat >"$work/$2.ini" <<-SETTINGS
		[host]
		name = $2
		zone = $(host_field "$1" "$2" 2)
		data = $ip:7400
		control = $ip:7401
		admin = $ip:7402
		grace = 8s
		[platform]
		store = $(store_url "$1")
		hosts = $(store_url "$1")/hosts
		[fabric]
		sources = $(services_of "$1" | cut -d : -f 1 | paste -s -d ,)
		[load]
		interval = 500ms
		[log]
		format = json
	SETTINGS
}

# list_host DEPLOYMENT HOST STATE adds a host to the platform's list of hosts or
# changes its state.
list_host() {
	local ip
	ip=$(host_field "$1" "$2" 3)
	$standin call PUT "$(platform_admin "$1")/hosts/$2" \
		"{\"zone\":\"$(host_field "$1" "$2" 2)\",\"data\":\"$ip:7400\",\"control\":\"$ip:7401\",\"state\":\"$3\"}"
}
unlist_host() { $standin call DELETE "$(platform_admin "$1")/hosts/$2"; }

run_host() {
	bin/mimosad "$work/$2.ini" 2>>"$work/$2.log" &
	pid[$2]=$!
}
start_host() {
	write_settings "$1" "$2"
	list_host "$1" "$2" live
	run_host "$1" "$2"
}
await_ready() { $standin await $(admin_urls "$1"); }

# stop_host DEPLOYMENT HOST does a planned stop: lists the host as leaving, then
# sends SIGTERM.
stop_host() {
	list_host "$1" "$2" leaving
	sleep 0.5
	kill -TERM "${pid[$2]}"
	wait "${pid[$2]}" || true
	unlist_host "$1" "$2"
}

# kill_host DEPLOYMENT HOST kills a host without warning; the list of hosts follows
# with a lag.
kill_host() {
	kill -KILL "${pid[$2]}"
	wait "${pid[$2]}" 2>/dev/null || true
	sleep 1
	unlist_host "$1" "$2"
}

# plan_host DEPLOYMENT start|stop ZONE HOST changes the operators' plan.
plan_host() { bin/mimosactl --store "$(store_url "$1")" --author demo host "$2" "$3" "$4" >>"$work/plan-$1.log"; }

# pause_hosts HOST... and wake_hosts HOST... suspend and resume host processes.
pause_hosts() { for host in "$@"; do kill -STOP "${pid[$host]}"; done; }
wake_hosts() { for host in "$@"; do kill -CONT "${pid[$host]}"; done; }

# restart_host DEPLOYMENT HOST starts a host and lists it as live once it is ready.
restart_host() {
	run_host "$1" "$2"
	$standin await --host "http://$(host_field "$1" "$2" 3):7402"
	list_host "$1" "$2" live
}

start_fabric() {
	$standin fabric --listen $(services_of "$1") --hosts "$(store_url "$1")/hosts" \
		--loss 0.005 --duplicate 0.01 --reorder 0.02 --delay 1ms 2>"$work/fabric-$1.log" &
	pid[fabric-$1]=$!
}

start_upstreams() {
	$standin upstreams --store "$(store_url "$1")" --account "$1" --admin "$(upstreams_admin "$1")" "${@:2}" 2>"$work/upstreams-$1.log" &
	pid[upstreams-$1]=$!
}
await_upstreams() {
	for d in cubierta-verde cumann; do
		until $standin call GET "http://$(upstreams_admin "$d")/report" >/dev/null 2>&1; do sleep 0.05; done
	done
}

# start_callers DEPLOYMENT URGENT BULK starts callers of two services: URGENT gets
# feeds and requests that must not run twice, BULK gets uploads in several parts.
start_callers() {
	$standin callers --store "$(store_url "$1")" --account "$1" --duration "${traffic}s" --record "$work/callers-$1.json" \
		--plan "service=$2 sessions=40 every=400ms body=300 feed=yes" \
		--plan "service=$2 sessions=60 feed=yes" \
		--plan "service=$3 sessions=6 every=1s body=60000 timeout=8s" 2>"$work/callers-$1.log" &
	pid[callers-$1]=$!
}

# accept DEPLOYMENT accepts the declarations in the copy under $work, which
# change_limits edits.
accept() {
	bin/mimosactl --store "$(store_url "$1")" --author demo accept --allow-cuts "$work/declarations/$1"
}
first_acceptance() {
	mkdir -p "$work/declarations"
	cp -r "examples/$1" "$work/declarations/$1"
	accept "$1"
	bin/mimosactl --store "$(store_url "$1")" --author demo keys rotate "$work/declarations/$1"
}

# change_limits DEPLOYMENT RATE accepts a new request rate limit of the account and
# waits until it is in force on every host.
change_limits() {
	local since revision seconds
	sed -i "s/^request-rate = .*/request-rate = $2/" "$work/declarations/$1/accounts/$1.ini"
	since=$(date +%s%3N)
	revision=$(accept "$1" | sed -n "s|^account/$1: .*revision ||p")
	seconds=$($standin await $(admin_urls "$1") --document "account/$1" --revision "$revision" --since "$since")
	say "  $1: revision $revision in force on every host after $seconds s"
	slowest=$(printf '%s\n' "$slowest" "$seconds" | sort -g | tail -1)
}

drain() {
	bin/mimosactl --store "$(store_url "$1")" --author demo drain "account/$1" "$2" >"$work/drain-$1.log"
	drained+=(--drained "$2@$(date +%s%3N)")
}

store_faults() { $standin call PUT "$(platform_admin "$1")/faults" "$2"; }

verify() {
	$standin verify --callers "$work/callers-cubierta-verde.json" --callers "$work/callers-cumann.json" \
		--upstreams "http://$(upstreams_admin cubierta-verde)" --upstreams "http://$(upstreams_admin cumann)" \
		--config-seconds-max "$slowest" "${drained[@]}"
}
