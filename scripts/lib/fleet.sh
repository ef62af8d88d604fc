# Functions that start fakes and nodes as processes on 127.0.0.1 and end them by
# process id. Source this file with $build set to the folder of the programs. It
# sets $fleet_dir.

fleet_dir=$(mktemp -d)
declare -A fleet_pid fleet_address node_callers node_operators node_nodes
operator_token=operator-token-for-local-use
fleet_next_port=$((20000 + (RANDOM % 8000)))

echo "fleet-credential-for-local-use" >"$fleet_dir/fleet.txt"
echo "local change $operator_token" >"$fleet_dir/operators.txt"
echo "$operator_token" >"$fleet_dir/token.txt"

# Sets $free_port_result to a port of 127.0.0.1 that nothing listens on.
free_port() {
  while (exec 3<>"/dev/tcp/127.0.0.1/$fleet_next_port") 2>/dev/null; do
    fleet_next_port=$((fleet_next_port + 1))
  done
  free_port_result=$fleet_next_port
  fleet_next_port=$((fleet_next_port + 1))
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds.
wait_until() {
  local deadline=$(($(date +%s%N) + $1 * 1000000000))
  shift
  until "$@"; do
    [ "$(date +%s%N)" -lt "$deadline" ] || return 1
    sleep 0.05
  done
}

# start_fake NAME PROGRAM OPTION...: starts a fake on a free port.
start_fake() {
  local name=$1 program=$2
  shift 2
  "$build/$program" --listen 127.0.0.1:0 "$@" \
    >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.err" &
  fleet_pid[$name]=$!
  wait_until 5 grep -q '^listening on' "$fleet_dir/$name.out" || return 1
  fleet_address[$name]=$(sed -n 's/^listening on //p;q' "$fleet_dir/$name.out")
}

# start_node NAME ZONE: starts a node whose seeds are up to three nodes that
# were started before.
start_node() {
  local name=$1 zone=$2 seeds= other count=0
  for other in "${!node_nodes[@]}"; do
    [ "$other" != "$name" ] && [ "$count" -lt 3 ] || continue
    seeds+="${seeds:+, }\"${node_nodes[$other]}\""
    count=$((count + 1))
  done
  if [ -z "${node_callers[$name]:-}" ]; then
    free_port; node_callers[$name]=127.0.0.1:$free_port_result
    free_port; node_operators[$name]=127.0.0.1:$free_port_result
    free_port; node_nodes[$name]=127.0.0.1:$free_port_result
  fi
  cat >"$fleet_dir/$name.toml" <<TOML
[node]
name = "$name"
zone = "$zone"
[callers]
listen = "${node_callers[$name]}"
answer_ttl_s = ${answer_ttl_s:-2}
[operators]
listen = "${node_operators[$name]}"
credentials_file = "$fleet_dir/operators.txt"
[nodes]
listen = "${node_nodes[$name]}"
fleet_credential_file = "$fleet_dir/fleet.txt"
seeds = [$seeds]
[platform]
address = "${fleet_address[platform]}"
[log]
level = "${log_level:-info}"
TOML
  "$build/kqg-node" "$fleet_dir/$name.toml" \
    >"$fleet_dir/$name.out" 2>>"$fleet_dir/$name.err" &
  fleet_pid[$name]=$!
}

# kill_process NAME: kills a process without a graceful stop, as the loss of its
# host would.
kill_process() {
  kill -KILL "${fleet_pid[$1]}"
  wait "${fleet_pid[$1]}" 2>/dev/null || true
  unset "fleet_pid[$1]"
}

# Kills all processes that were started here, by process id.
stop_fleet() {
  local name
  for name in "${!fleet_pid[@]}"; do
    kill -KILL "${fleet_pid[$name]}" 2>/dev/null || true
    wait "${fleet_pid[$name]}" 2>/dev/null || true
  done
  fleet_pid=()
  rm -rf "$fleet_dir"
}

# ctl NODE COMMAND...: sends one operator command to a node.
ctl() {
  local node=$1
  shift
  "$build/kqgctl" --node "${node_operators[$node]}" \
    --credential-file "$fleet_dir/token.txt" "$@"
}

node_ready() {
  curl -sf -o /dev/null "http://${node_callers[$1]}/readyz"
}
