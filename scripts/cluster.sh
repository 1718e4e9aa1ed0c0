# shellcheck shell=bash
# Functions that start and stop stand-ins and entry nodes on loopback. Sourced by scripts/demo, load, slopes
# and spread and by tests/docs/run. Needs: $bin (build directory), $work (an empty directory).

: "${bin:?}" "${work:?}"
pids=()

# Kills the processes that were started here, by process id. SIGCONT first resumes paused ones.
stop_all() {
    local pid
    for pid in "${pids[@]}"; do
        kill -CONT "$pid" 2>/dev/null || true
        kill -KILL "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    pids=()
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails after SECONDS.
wait_until() {
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$deadline" ]; then
            echo "gave up waiting for: $*" >&2
            return 1
        fi
        read -r -t 0.05 _ <> <(:) || true
    done
}

# start_process NAME COMMAND...: starts a process in the background; its output goes to $work/NAME.out and its
# process id to $work/NAME.pid.
start_process() {
    local name=$1
    shift
    "$@" >"$work/$name.out" 2>&1 &
    pids+=("$!")
    echo "$!" >"$work/$name.pid"
}

pid_of() { cat "$work/$1.pid"; }
port_of() { cut -d' ' -f1 "$work/$1.port"; }

# start_platform [OPTION...]: starts the log, with these options, and the host list. Sets $log_address and
# $hosts_address.
start_platform() {
    start_process log "$bin/waxwingnotch-standin" log --port-file="$work/log.port" "$@"
    start_process hosts "$bin/waxwingnotch-standin" hosts --port-file="$work/hosts.port"
    wait_until 10 test -s "$work/log.port"
    wait_until 10 test -s "$work/hosts.port"
    log_address=127.0.0.1:$(port_of log)
    hosts_address=127.0.0.1:$(port_of hosts)
}

# start_workers INVENTORY: starts and registers a worker for each host, and writes $work/inventory.toml with
# their addresses. Sets $worker_names.
start_workers() {
    local host edits=()
    mapfile -t worker_names < <(awk '/^\[\[/{kind=$0} kind=="[[host]]" && /^name/{gsub(/"/,"",$3); print $3}' "$1")
    for host in "${worker_names[@]}"; do
        start_process "$host" "$bin/waxwingnotch-standin" worker --host="$host" --port-file="$work/$host.port"
    done
    for host in "${worker_names[@]}"; do
        wait_until 10 test -s "$work/$host.port"
        edits+=(-e "/^name = \"$host\"\$/{n;s|^address = .*|address = \"127.0.0.1:$(port_of "$host")\"|}")
        curl -sf -X POST "http://$hosts_address/hosts/$host/register" -d "127.0.0.1:$(port_of "$host")" >/dev/null
    done
    sed "${edits[@]}" "$1" >"$work/inventory.toml"
}

# write_settings COUNT: writes the settings of COUNT entry nodes on free ports to $work/entry-N.toml. Sets
# $node_addresses.
write_settings() {
    local count=$1 node other
    mapfile -t ports < <("$bin/waxwingnotch-standin" ports $((2 * count)))
    node_addresses=()
    for ((node = 1; node <= count; node++)); do
        node_addresses+=("127.0.0.1:${ports[$((2 * node - 2))]}")
        {
            printf '[node]\nid = "entry-%d"\ndata_centre = "dc-%d"\n' "$node" "$node"
            printf '[listen]\naddress = "%s"\n' "127.0.0.1:${ports[$((2 * node - 2))]}"
            printf 'peer_address = "127.0.0.1:%d"\n' "${ports[$((2 * node - 1))]}"
            printf '[platform]\nlog = "%s"\nhosts = "%s"\n' "$log_address" "$hosts_address"
            printf '[limits]\ndrain_notice_ms = 300\n'
            printf '[log]\nfile = "%s"\n' "$work/entry-$node.log"
            for ((other = 1; other <= count; other++)); do
                [ "$other" -eq "$node" ] && continue
                printf '[[peer]]\nid = "entry-%d"\naddress = "127.0.0.1:%d"\n' "$other" \
                    "${ports[$((2 * other - 1))]}"
            done
        } >"$work/entry-$node.toml"
    done
}

# Functions of an entry node; the argument is its number, from 1.
start_node() { start_process "entry-$1" "$bin/waxwingnotch" serve --settings="$work/entry-$1.toml"; }
node_address() { echo "${node_addresses[$(($1 - 1))]}"; }
node_serves() { curl -sf "http://$(node_address "$1")/healthz"; }
