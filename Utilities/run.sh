#!/bin/sh
# Installs, builds, starts three VMs and the stand-ins, sends a chat request, a
# booking and a change of a class, prints what came back and stops everything
# gracefully. With --keep everything stays up until Enter or a signal.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top"
keep=no
for argument in "$@"; do
  case $argument in
    --keep) keep=yes ;;
    --help) sed -n '2,4s/^# //p' "$0"; exit 0 ;;
    *) echo "run.sh: unknown argument $argument; expected --keep" >&2; exit 2 ;;
  esac
done

sh Utilities/install.sh
cmake --preset normal >/dev/null
cmake --build --preset normal --target parsleycoved parsleycovectl \
  parsleycove-engine parsleycove-service
. Utilities/lib/cluster.sh
work=$(mktemp -d)
trap 'kill_all; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM HUP PIPE

say "== three VMs, each an availability zone and a control replica"
for i in 1 2 3; do start_vm $i; done
wait_until 20 ready_vms || die "the VMs are not ready: $(cat "$work"/vm*.err)"
for i in 1 2 3; do say "vm$i http://$(http_of $i) pid $(eval echo "\$vm${i}_pid")"; done

say "== configuration"
sed "s/@ACCOUNT_KEY_HASH@/$(hash_of $account_key)/" \
  Utilities/examples/classes.json >"$work/change.json"
ctl apply "$work/change.json" --base-revision 0 --change-id first-set-up \
  --wait-in-force

say "== stand-ins: three engines hold the layers of one model, one service"
for stage in 0 1 2; do
  start_stand_in "engine$stage" parsleycove-engine --listen 127.0.0.1:0 \
    --gateways "$(gateways)" --id "engine-$stage" --zone "zone$((stage + 1))" \
    --model ice --version 1 --layers "$((stage * 4))..$((stage * 4 + 3))" \
    --model-layers 12 --rate 20000 --accelerator small
done
start_stand_in service parsleycove-service --listen 127.0.0.1:0 \
  --gateways "$(gateways)" --id escort-1 --zone zone1 --service escort
endpoints_known() { [ "$(ctl endpoints list --json | grep -o '"incarnation"' | wc -l)" -ge 4 ]; }
wait_until 20 endpoints_known || die "the endpoints are not registered"
ctl endpoints list

say "== a chat request, streamed token by token through all twelve layers"
chat='{"model":"ice","seed":7,"max_tokens":12,"stream":true,
  "messages":[{"role":"user","content":"Ice window for the Kara strait?"}]}'
curl -fsSN -D "$work/headers" "http://$(http_of 1)/v1/chat/completions" \
  -H "Authorization: Bearer $account_key" -H 'Content-Type: application/json' \
  -d "$chat" >"$work/events"
sed -n 's/^data: .*"content":"\([^"]*\)".*/\1/p' "$work/events" | tr -d '\n'; echo
grep -q '^data: \[DONE\]' "$work/events" || die "the stream did not end"
trace=$(sed -n 's/^traceparent: 00-\([0-9a-f]*\)-.*/\1/pI' "$work/headers" | tr -d '\r')

say "== one booking, sent to each of the three VMs with the same key"
for i in 1 2 3; do
  curl -fsS "http://$(http_of $i)/v1/services/escort/bookings" \
    -H "Authorization: Bearer $account_key" -H 'X-Work-Class: booking' \
    -H 'Idempotency-Key: booking-1' -H 'Content-Type: application/json' \
    -d '{"ship":"Polaris","slot":"2027-01-04T06:00Z"}'
  echo
done
say "the service's own audit list:"
curl -fsS "http://$service_address/fake/audit"; echo

say "== a class gets another target, in force on all VMs"
cat >"$work/class.json" <<'J'
{"put_classes":[{"name":"briefing","first_token_ms":1200,"token_interval_ms":40,"completion_ms":20000,"success_per_mille":950}]}
J
ctl apply "$work/class.json" --base-revision 1 --change-id sooner-briefings \
  --wait-in-force
ctl classes show briefing

say "== the trace of the chat request (first lines)"
ctl trace "$trace" >"$work/trace"
head -12 "$work/trace"
say "== status"
ctl status

if [ "$keep" = yes ]; then
  say "== kept up; operators' key $operator_key, account's key $account_key"
  say "for example: curl -N http://$(http_of 1)/v1/chat/completions \\"
  say "  -H 'Authorization: Bearer $account_key' -d '$chat'"
  say "press Enter to stop"
  read -r _ || true
fi
say "== graceful stop"
stop_all || die "not every process stopped gracefully"
say "done"
