#!/usr/bin/env bash
# Measures the processor time of an entry for a task start, with every part a
# process of its own: two entries of one core each (home and witness), eight
# upstreams that answer at once, 40 jobs of 2,000 tasks. Loopback only; ends by
# itself in some 15 s. Linux: it reads /proc.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; rm -rf "$dir"' EXIT
go build -o "$dir/" ./cmd/...

entry() { printf '{"id":"e%d","role":"entry","address":"127.0.0.1:750%d","caller_address":"127.0.0.1:740%d","zone":"a","rack":"r%d"}' "$1" "$1" "$1" "$1"; }
upstream() { printf '{"id":"u%d","role":"upstream","address":"127.0.0.1:760%d","zone":"a","rack":"r1","cpu":64,"memory_mb":131072,"slots":32,"connections":64}' "$1" "$1"; }
{
  printf '{"instances":[%s,%s' "$(entry 1)" "$(entry 2)"
  for i in 0 1 2 3 4 5 6 7; do printf ',%s' "$(upstream "$i")"; done
  printf ']}'
} > "$dir/list.json"
{
  printf '{"service":"desk","deadline_ms":20000,"tasks":[{}'
  for _ in $(seq 1999); do printf ',{}'; done
  printf ']}'
} > "$dir/job.json"

"$dir/sedgehatch" standin platform --instances "$dir/list.json" & pids+=($!)
for i in 0 1 2 3 4 5 6 7; do
  "$dir/sedgehatch" standin upstream --listen 127.0.0.1:760$i --id u$i --zone a --slots 32 & pids+=($!)
done
sleep 0.5
for i in 1 2; do
  printf '[instance]\nfleet = trial\nname = e%d\nzone = a\nrack = r%d\n[listen]\ncallers = 127.0.0.1:740%d\ninner = 127.0.0.1:750%d\n[platform]\naddress = 127.0.0.1:7300\n' "$i" "$i" "$i" "$i" > "$dir/e$i.ini"
  GOMAXPROCS=1 "$dir/sedgehatchd" --config "$dir/e$i.ini" 2> "$dir/e$i.log" & pids+=($!)
done
home=${pids[-2]} witness=${pids[-1]}
sleep 2
submit() { "$dir/sedgehatch" submit --entry 127.0.0.1:7401 --json "$dir/job.json" | grep -q '"fate":"complete"'; }
spent() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000 / hz}' "/proc/$1/stat"; }
submit
home0=$(spent "$home") witness0=$(spent "$witness")
for _ in $(seq 10); do
  calls=()
  for _ in 1 2 3 4; do submit & calls+=($!); done
  for c in "${calls[@]}"; do wait "$c"; done
done
echo "80000 starts: home $(($(spent "$home") - home0)) ms, witness $(($(spent "$witness") - witness0)) ms of processor time"
