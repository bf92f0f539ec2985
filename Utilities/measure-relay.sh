#!/bin/sh
# Measures the processor time that a VM spends on a relayed step, and what an
# idle VM with a replica spends; one JSON line. Starts three VMs and six engine
# stand-ins on loopback and stops them.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top"
: "${PARSLEYCOVE_BASE_PORT:=18600}"
. Utilities/lib/cluster.sh
work=$(mktemp -d)
trap 'kill_all; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM HUP PIPE

for i in 1 2 3; do start_vm $i; done
wait_until 20 ready_vms || die "the VMs are not ready"
sed "s/@ACCOUNT_KEY_HASH@/$(hash_of $account_key)/" \
  Utilities/examples/classes.json >"$work/change.json"
ctl apply "$work/change.json" --base-revision 0 --change-id set-up \
  --wait-in-force >&2
for stage in 0 1 2; do
  for n in 1 2; do
    start_stand_in "engine_${stage}_$n" parsleycove-engine \
      --listen 127.0.0.1:0 --gateways "$(gateways)" \
      --id "engine-$stage-$n" --zone zone1 --model ice --version 1 \
      --layers "$((stage * 4))..$((stage * 4 + 3))" --model-layers 12 \
      --rate 40000
  done
done
known() { [ "$(ctl endpoints list --json | grep -o '"incarnation"' | wc -l)" -ge 6 ]; }
wait_until 20 known || die "the engines are not registered"

# Processor time of the first VM in clock ticks of 10 ms.
ticks() { awk '{print $14 + $15}' "/proc/$vm1_pid/stat"; }
ask() {
  curl -s -m 30 "http://$(http_of 1)/v1/chat/completions" \
    -H "Authorization: Bearer $account_key" -d "{\"model\":\"ice\",\"seed\":$1,
    \"max_tokens\":200,\"messages\":[{\"role\":\"user\",\"content\":\"Window $1\"}]}" |
    grep -o '"completion_tokens":[0-9]*' | cut -d: -f2
}
before=$(ticks)
callers=""
for caller in 1 2 3 4 5 6; do
  (for n in 1 2 3 4 5 6 7 8; do ask $((caller * 100 + n)); done >"$work/tokens$caller") &
  callers="$callers $!"
done
for caller in $callers; do wait "$caller"; done
after=$(ticks)
tokens=$(cat "$work"/tokens* | awk '{ sum += $1 } END { print sum }')
sleep 1
idle_before=$(ticks)
sleep 5
idle_after=$(ticks)
rss=$(awk '/VmRSS/ { print $2 }' "/proc/$vm1_pid/status")
awk "BEGIN { printf \"{\\\"bench\\\":\\\"relay\\\",\\\"tokens\\\":$tokens,\\\"stages\\\":3,\\\"cpu_us_per_step\\\":%.1f,\\\"idle_cpu_ms_per_s\\\":%.1f,\\\"rss_kb\\\":$rss}\\n\", ($after - $before) * 10000 / ($tokens * 3), ($idle_after - $idle_before) * 10 / 5 }"
