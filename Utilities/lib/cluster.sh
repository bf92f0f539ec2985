# Shell functions that start VMs and stand-ins as separate processes on
# loopback, and end exactly those. Source this file; set `top` first.

build=${PARSLEYCOVE_BUILD:-$top/build/normal}
base_port=${PARSLEYCOVE_BASE_PORT:-17800}
# The daemon refuses variables of its prefix that it does not know.
unset PARSLEYCOVE_BUILD PARSLEYCOVE_BASE_PORT PARSLEYCOVE_JOBS
operator_key=operator-secret
account_key=account-secret
pids=""

hash_of() { printf %s "$1" | sha256sum | cut -d' ' -f1; }
http_port() { echo $((base_port + $1)); }
control_port() { echo $((base_port + 100 + $1)); }
http_of() { echo "127.0.0.1:$(http_port "$1")"; }

say() { printf '%s\n' "$*"; }
die() { say "failed: $*" >&2; exit 1; }

# wait_until SECONDS COMMAND…: polls until the command succeeds.
wait_until() {
  tries=$(($1 * 20)); shift
  while ! "$@" >/dev/null 2>&1; do
    tries=$((tries - 1))
    [ "$tries" -gt 0 ] || return 1
    sleep 0.05
  done
}

bootstrap_list() {
  list=""
  for i in 1 2 3; do
    list="$list${list:+,}$i@vm$i@zone$i@127.0.0.1:$(control_port "$i")"
  done
  echo "$list"
}

# start_vm NUMBER [flag…]: a VM in availability zone NUMBER with a data folder.
start_vm() {
  number=$1; shift
  mkdir -p "$work/vm$number"
  "$build/Source/Daemon/parsleycoved" \
    --vm "vm$number" --zone "zone$number" --listen "$(http_of "$number")" \
    --data-folder "$work/vm$number" --replica-id "$number" \
    --control-listen "127.0.0.1:$(control_port "$number")" \
    --bootstrap "$(bootstrap_list)" \
    --operator-key-hash "$(hash_of $operator_key)" \
    --log-file "$work/vm$number.log" --trace-file "$work/vm$number.trace" \
    --drain-grace-ms 500 "$@" 2>>"$work/vm$number.err" &
  eval "vm${number}_pid=$!"
  pids="$pids $!"
}

# start_stand_in NAME PROGRAM flag…: waits for its line "ready ADDRESS" and
# leaves the address in the variable NAME_address.
start_stand_in() {
  name=$1; program=$2; shift 2
  "$build/Tests/Fakes/$program" "$@" >"$work/$name.out" 2>"$work/$name.err" &
  eval "${name}_pid=$!"
  pids="$pids $!"
  wait_until 10 grep -q '^ready ' "$work/$name.out" ||
    die "$program did not start: $(cat "$work/$name.err")"
  eval "${name}_address=$(sed -n 's/^ready //p' "$work/$name.out")"
}

gateways() { echo "$(http_of 1),$(http_of 2),$(http_of 3)"; }

# A process that ended at its start, for example since another one holds its
# port, is never taken for ready.
ready_vms() {
  for i in 1 2 3; do
    kill -0 "$(eval echo "\$vm${i}_pid")" || return 1
    curl -fsS "http://$(http_of $i)/readyz" || return 1
  done
}

ctl() {
  "$build/Source/Ctl/parsleycovectl" --server "$(gateways)" \
    --operator-key "$operator_key" "$@"
}

# stop_all: graceful stop of everything that this script started; each process
# must end with code 0.
stop_all() {
  status=0
  for pid in $pids; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in $pids; do wait "$pid" || { status=$?; say "process $pid ended with code $status"; }; done
  pids=""
  return $status
}

# kill_all: for the exit trap, whatever is left.
kill_all() {
  for pid in $pids; do kill -KILL "$pid" 2>/dev/null || true; done
}
