#!/bin/sh
# Builds, runs the benches and the load runs on loopback, writes
# build/bench.jsonl and prints a table. With --quick: fewer and shorter load runs.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top"
seconds=10
factors="0.5 0.9 1 2 5"
faults="kill freeze silent"
benches="StoreBench StateBench ControlBench DecisionBench"
case ${1:-} in
  "") ;;
  --quick) seconds=4; factors="0.5 1 2"; faults="kill" ;;
  *) echo "bench.sh: unknown argument $1; expected --quick" >&2; exit 2 ;;
esac

jobs=${PARSLEYCOVE_JOBS:-$(nproc)}
cmake --preset normal >/dev/null
cmake --build --preset normal -j "$jobs" --target parsleycoved parsleycovectl \
  parsleycove-engine parsleycove-service parsleycove-load
for bench in $benches; do
  cmake --build --preset normal -j "$jobs" --target "$bench" >/dev/null 2>&1 ||
    say "$bench: does not build"
done
. Utilities/lib/cluster.sh
work=$(mktemp -d)
trap 'kill_all; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM HUP PIPE
result="$top/build/bench.jsonl"
: >"$result"
commit=$(git rev-parse --short HEAD)
machine="$(nproc) cores, $(uname -m), load average $(cut -d" " -f1 /proc/loadavg)"

for bench in $benches; do
  for program in "$build"/Tests/Bench/*/"$bench"; do
    [ -x "$program" ] || { say "$bench: not built, not run"; continue; }
    "$program" >"$work/$bench.out" 2>&1 || say "$bench: failed with code $?"
    grep '^{' "$work/$bench.out" >>"$result" || true
  done
done

# Ten accounts; the load generator makes the first two the large ones.
account_keys=""
accounts=""
for n in 0 1 2 3 4 5 6 7 8 9; do
  account_keys="$account_keys${account_keys:+,}key-$n"
  accounts="$accounts${accounts:+,}{\"name\":\"account-$n\",
    \"key_hash\":\"$(hash_of "key-$n")\",\"default_class\":\"briefing\"}"
done

# Three stages of three engines, each 400 positions/s, and three services.
start_cluster() {
  rm -rf "$work"/vm*
  for i in 1 2 3; do start_vm $i; done
  wait_until 30 ready_vms || die "the VMs are not ready"
  sed '/put_accounts/,/\],/d' Utilities/examples/classes.json |
    sed "s|\"put_models\"|\"put_accounts\":[$(echo "$accounts" | tr -d '\n')],&|" \
      >"$work/change.json"
  ctl apply "$work/change.json" --base-revision 0 --change-id set-up \
    --wait-in-force >/dev/null
  for stage in 0 1 2; do
    for n in 1 2 3; do
      start_stand_in "engine_${stage}_$n" parsleycove-engine \
        --gateways "$(gateways)" --id "engine-$stage-$n" --zone "zone$n" \
        --model ice --version 1 --layers "$((stage * 4))..$((stage * 4 + 3))" \
        --model-layers 12 --rate 400
    done
  done
  for n in 1 2 3; do
    start_stand_in "service_$n" parsleycove-service --gateways "$(gateways)" \
      --id "escort-$n" --zone "zone$n" --service escort
  done
  wait_until 30 all_endpoints || die "the endpoints are not registered"
}
all_endpoints() {
  [ "$(ctl endpoints list --json | grep -o '"incarnation"' | wc -l)" -ge 12 ]
}
stop_cluster() { kill_all; for pid in $pids; do wait "$pid" 2>/dev/null || true; done; pids=""; }

# load PROFILE LABEL RATE flag…
load() {
  profile=$1; label=$2; rate=$3; shift 3
  "$build/Tests/Bench/Load/parsleycove-load" --gateways "$(gateways)" \
    --services "$service_1_address,$service_2_address,$service_3_address" \
    --account-keys "$account_keys" --profile "$profile" --label "$label" \
    --rate "$rate" --bound "$bound" --seconds "$seconds" --commit "$commit" \
    --machine "$machine" "$@" >>"$result"
}

# A full briefing takes 21 positions (6 of the prompt, 15 of the answer), and a
# stage runs 1200 positions/s: 57 briefings/s. Briefings are half of Keelung's
# requests and 65 % of Sabarmati's. The bound is in briefings/s; the rate of load
# x1 is that of all requests.
for profile in keelung sabarmati; do
  bound=57
  full=114
  [ $profile = keelung ] || full=88
  start_cluster
  for factor in $factors; do
    rate=$(awk "BEGIN { print $full * $factor }")
    load $profile "load_x$factor" "$rate"
  done
  stop_cluster
  for fault in $faults; do
    start_cluster
    rate=$(awk "BEGIN { print $full * 0.5 }")
    load $profile "fault_$fault" "$rate" --fault "$fault" \
      --fault-pid "$engine_1_1_pid" --fault-address "$engine_1_1_address" \
      --fault-at "$(awk "BEGIN { print $seconds / 3 }")"
    stop_cluster
  done
done

awk '
function field(name,   rest) {
  if (!match($0, "\"" name "\":")) return "-"
  rest = substr($0, RSTART + RLENGTH)
  if (rest ~ /^"/) { rest = substr(rest, 2); sub(/".*/, "", rest) }
  else sub(/[,}].*/, "", rest)
  return rest == "null" ? "-" : rest
}
function short(text) { return text ~ /[0-9]/ ? sprintf("%.5g", text) : text }
BEGIN {
  form = "%-44s %10s %-11s %10s %8s %8s %s\n"
  printf form, "figure", "value", "unit", "baseline", "ratio", "target", "met"
}
{
  value = field("value"); target = field("target")
  met = target == "-" ? "" : (value + 0 <= target + 0 ? "yes" : "MISSED")
  printf form, field("figure"), short(value), field("unit"),
    short(field("baseline")), short(field("ratio")), short(target), met
}' "$result"
