#!/usr/bin/env bash
# Runs two entries as processes, freezes and then kills one of them, and prints for
# each step the outcomes that callers get for calls that must run at most once. The
# last line has the number of calls that ran twice; the script fails unless it is 0.
# Requires: make build.
set -euo pipefail
bin="$(cd "$(dirname "$0")/.." && pwd)/bin"
dir="$(mktemp -d)"
cd "$dir"
pids=()
stop() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap stop EXIT
start() { # start NAME COMMAND...: runs a command in the background and records its PID
  local name="$1"
  shift
  "$@" >"$name.out" 2>"$name.log" &
  pids+=($!)
  eval "pid_$name=$!"
}

cat >base.yaml <<YAML
Entries: 2
DataCentres: {Hobart: {}}
Services:
  Sales:
    Routes: {Buy: {PathPrefix: /purchases, Class: AtMostOnce}}
    Targets: {s1: {Address: "127.0.0.1:7310", DataCentre: Hobart}}
YAML
"$bin/savorybench" keys --dir keys e1 e2 >/dev/null
start log "$bin/savorybench" log --listen 127.0.0.1:7300
start vms "$bin/savorybench" vms --listen 127.0.0.1:7301 e1 e2
start s1 "$bin/savorybench" backend --listen 127.0.0.1:7310
for n in 1 2; do
  cat >e$n.yaml <<YAML
Name: e$n
DataCentre: Hobart
Listen: 127.0.0.1:732$n
Operator: 127.0.0.1:733$n
Log: http://127.0.0.1:7300
VMs: http://127.0.0.1:7301
Peers: {Listen: "127.0.0.1:734$n", CertFile: keys/e$n-cert.pem, KeyFile: keys/e$n-key.pem, CAFile: keys/ca.pem, Seeds: ["127.0.0.1:7341", "127.0.0.1:7342"]}
YAML
done
sleep 1
"$bin/savoryctl" publish --log http://127.0.0.1:7300 --base base.yaml
start e1 "$bin/savoryroad" run --settings e1.yaml
start e2 "$bin/savoryroad" run --settings e2.yaml
sleep 5

buy() { # buy ENTRY COUNT FILE: makes purchases and appends their keys and outcomes to FILE
  for _ in $(seq "$2"); do "$bin/savorybench" call --entry "127.0.0.1:732$1" >>"$3"; done
}
tally() { awk '{n[$2]++} END {for (o in n) printf "%s %d  ", o, n[o]; print ""}' "$1"; }

buy 2 20 before
echo "both entries run:          $(tally before)"
kill -STOP "$pid_e1"
buy 2 8 frozen
echo "entry 1 is frozen:         $(tally frozen)"
kill -CONT "$pid_e1"
sleep 2
awk '{print $1}' before frozen | while read -r key; do
  "$bin/savorybench" call --entry 127.0.0.1:7321 --key "$key" >>again
done
echo "entry 1 woke, same keys:   $(tally again)"
kill -KILL "$pid_e1"
buy 2 8 killed
echo "entry 1 was killed:        $(tally killed)"
start e1 "$bin/savoryroad" run --settings e1.yaml
sleep 10
buy 1 20 back
echo "entry 1 was started again: $(tally back)"
ran="$(curl -s http://127.0.0.1:7310/runs)"
echo "keys that ran, and twice:  $ran"
[ "${ran##* }" = 0 ]
