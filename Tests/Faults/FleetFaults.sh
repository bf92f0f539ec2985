#!/bin/sh
# Faults on real processes: SIGKILL and SIGSTOP of VMs, a torn log, a lost disk,
# a graceful stop under traffic. Every wait is on an event; prints "N passed, N
# failed" and ends with 0 when none failed.
#
# Usage: FleetFaults.sh BUILD-FOLDER BASE-PORT
set -u
top=$(cd "$(dirname "$0")/../.." && pwd)
PARSLEYCOVE_BUILD=$1
PARSLEYCOVE_BASE_PORT=$2
. "$top/Utilities/lib/cluster.sh"
work=$(mktemp -d)
passed=0
failed=0
tried=0
trap 'kill_all; rm -rf "$work"' EXIT
trap 'exit 130' INT TERM HUP PIPE

check() {
  name=$1; shift
  if "$@"; then passed=$((passed + 1)); say "ok      $name"
  else failed=$((failed + 1)); say "FAILED  $name"; fi
}

admin() { curl -sS -m 20 -H "Authorization: Bearer $operator_key" "$@"; }
number() { sed -n "s/.*\"$1\":\([0-9]*\).*/\1/p"; }
vm_pid() { eval echo "\$vm${1}_pid"; }
ready() { curl -fsS -m 2 "http://$(http_of "$1")/readyz" >/dev/null 2>&1; }
leader_of() { admin "http://$(http_of "$1")/v1/admin/status" | number leader; }
has_leader() { [ "$(leader_of "$1")" -gt 0 ] 2>/dev/null; }

# book VM KEY: prints the status of the answer, leaves the body in a file.
book() {
  curl -sS -m 30 -o "$work/body" -w '%{http_code}' \
    "http://$(http_of "$1")/v1/services/escort/bookings" \
    -H "Authorization: Bearer $account_key" -H 'X-Work-Class: booking' \
    -H "Idempotency-Key: $2" -d "{\"key\":\"$2\"}" 2>/dev/null
}
audit() { curl -sS -m 10 "http://$service_address/fake/audit"; }
runs_of() { audit | grep -o "\"key\":\"$1\"" | wc -l; }
service_fault() { curl -sS -m 10 -d "$1" "http://$service_address/fake/faults" >/dev/null; }

# change VM ID REVISION TARGET: prints the answer.
change() {
  admin "http://$(http_of "$1")/v1/admin/changes" -d "{\"change_id\":\"$2\",
    \"base_revision\":$3,\"operator\":\"test\",\"change\":{\"put_classes\":[{
    \"name\":\"briefing\",\"first_token_ms\":$4,\"token_interval_ms\":40,
    \"completion_ms\":20000,\"success_per_mille\":950}]}}"
}
revision_at() { admin "http://$(http_of "$1")/v1/admin/self" | number revision; }
reached() { [ "$(revision_at "$1")" -ge "$2" ] 2>/dev/null; }
others_of() { for i in 1 2 3; do [ $i = "$1" ] || echo $i; done; }

set_up() {
  for i in 1 2 3; do start_vm $i --endpoint-lease-ms 600000; done
  wait_until 30 ready_vms || die "the VMs are not ready"
  set_up_change=$(sed "s/@ACCOUNT_KEY_HASH@/$(hash_of $account_key)/" \
    "$top/Utilities/examples/classes.json")
  admin "http://$(http_of 1)/v1/admin/changes" -d "{\"change_id\":\"set-up\",
    \"base_revision\":0,\"operator\":\"test\",\"change\":$set_up_change}" \
    >"$work/set-up"
  start_stand_in service parsleycove-service --listen 127.0.0.1:0 \
    --gateways "$(gateways)" --id escort-1 --zone zone1 --service escort
  wait_until 20 book_works || die "the first booking does not work: $(state_of_set_up)"
}
# A key whose booking found no endpoint stays refused, so each try takes new
# ones: each VM books, the others replay it, and it has run once.
book_works() {
  tried=$((tried + 1))
  for own in 1 2 3; do
    for vm in $own $(others_of $own); do
      [ "$(book "$vm" "first-$tried-$own")" = 200 ] || return 1
    done
    [ "$(runs_of "first-$tried-$own")" = 1 ] || return 1
  done
}
state_of_set_up() {
  say "the change got $(cat "$work/set-up")"
  for vm in 1 2 3; do
    say "vm$vm: booking $(book $vm "first-$tried-$vm") $(cat "$work/body")"
    say "$(admin "http://$(http_of $vm)/v1/admin/status")"
    tail -n 5 "$work/vm$vm.err" "$work/vm$vm.log"
  done
  cat "$work/service.out" "$work/service.err"
}

leader_killed() {
  old=$(leader_of 1)
  kill -KILL "$(vm_pid "$old")"
  set -- $(others_of "$old")
  wait_until 20 accepted "$1" killed-leader 1 1400 || return 1
  start_vm "$old" --endpoint-lease-ms 600000
  wait_until 20 ready "$old" && wait_until 20 reached "$old" 2
}
# Sends the same change until it is accepted; resends get the first answer.
accepted() { change "$@" | grep -q '"code":"ok"'; }

leader_frozen() {
  old=$(leader_of 1)
  kill -STOP "$(vm_pid "$old")"
  set -- $(others_of "$old")
  wait_until 20 accepted "$1" frozen-leader 2 1300
  taken=$?
  status=$(book "$2" frozen-1)
  kill -CONT "$(vm_pid "$old")"
  [ $taken = 0 ] && [ "$status" = 200 ] && wait_until 20 ready "$old" &&
    wait_until 20 reached "$old" 3 && [ "$(book "$old" frozen-1)" = 200 ] &&
    [ "$(runs_of frozen-1)" = 1 ]
}

# The VM that booked dies before the answer; the outcome is learned or unknown.
booking_vm_killed() {
  service_fault '{"delay_ms":1500}'
  book 1 killed-1 >"$work/first" &
  book_pid=$!
  # The dispatch is in the ledger before the call leaves the VM.
  wait_until 20 dispatched killed-1 || return 1
  kill -KILL "$(vm_pid 1)"
  wait $book_pid
  service_fault '{"delay_ms":0}'
  wait_until 10 has_leader 2
  status=$(book 2 killed-1)
  runs=$(runs_of killed-1)
  start_vm 1 --endpoint-lease-ms 600000
  wait_until 20 ready 1 && [ "$runs" -le 1 ] && ! grep -q not_run "$work/body" &&
    { [ "$status" = 409 ] || [ "$status" = 504 ] || [ "$status" = 200 ]; }
}
dispatched() {
  admin "http://$(http_of 2)/v1/admin/actions/north-shipping/$1" |
    grep -q '"state":"dispatched"'
}

racing_operators() {
  change 1 race-a 3 1100 >"$work/a" &
  a_pid=$!
  change 2 race-b 3 1000 >"$work/b"
  wait $a_pid
  [ "$(cat "$work/a" "$work/b" | grep -c '"code":"ok"')" = 1 ] &&
    [ "$(cat "$work/a" "$work/b" | grep -c revision_conflict)" = 1 ]
}

# All VMs are killed at once; what was accepted is in force again.
all_killed() {
  for i in 1 2 3; do kill -KILL "$(vm_pid $i)"; done
  for i in 1 2 3; do start_vm $i --endpoint-lease-ms 600000; done
  wait_until 30 ready_vms && wait_until 20 reached 3 4 &&
    [ "$(book 3 frozen-1)" = 200 ] && [ "$(runs_of frozen-1)" = 1 ]
}

graceful_stop_under_traffic() {
  service_fault '{"delay_ms":700}'
  book 2 stop-1 >"$work/stop" &
  book_pid=$!
  wait_until 20 dispatched stop-1 || return 1
  kill -TERM "$(vm_pid 2)"
  kill -TERM "$(vm_pid 2)"
  wait $book_pid
  [ "$(cat "$work/stop")" = 200 ] || return 1
  wait "$(vm_pid 2)" || return 1
  service_fault '{"delay_ms":0}'
  start_vm 2 --endpoint-lease-ms 600000
  wait_until 20 ready 2 && [ "$(runs_of stop-1)" = 1 ]
}

set_up
check "leader killed: next change accepted, old leader comes back with it" leader_killed
check "leader frozen: change and booking go on, it wakes and repeats nothing" leader_frozen
check "VM killed in the middle of a booking: at most one run, no false word" booking_vm_killed
check "two operators race with equal revisions: exactly one wins" racing_operators
check "all VMs killed at once: configuration and ledger come back" all_killed
check "graceful stop, ordered twice, cuts off no booking" graceful_stop_under_traffic
printf '%s passed, %s failed\n' "$passed" "$failed"
[ "$failed" = 0 ]
