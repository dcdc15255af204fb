#!/usr/bin/env bash
# Prints the processor time and resident memory of one idle daemon that is the decider of a zone, for a number of worker
# processes. The daemon has 5 seconds to start before the measurement.
# Usage: scripts/measure-rest.sh WORKERS SECONDS
set -euo pipefail
cd "$(dirname "$0")/.."
workers=${1:-20}
seconds=${2:-20}
work=$(mktemp -d)
started=()
finish() {
  for id in "${started[@]}"; do kill "$id" 2>/dev/null || true; done
  rm -rf "$work"
}
trap finish EXIT
go build -o "$work/" ./command ./daemon ./standin
printf 'root' | sha256sum | cut -d' ' -f1 > "$work/digest"
"$work/standin" log --address 127.0.0.1:7901 & started+=($!)
entries='{"name":"one","kind":"entry","address":"127.0.0.1:7904","zone":"a"}'
for number in $(seq 1 "$workers"); do
  address=127.0.0.1:$((8000 + number))
  "$work/standin" worker --address "$address" --name "w-$number" --size 'cores:32 memory:64GB' & started+=($!)
  entries+=",{\"name\":\"w-$number\",\"kind\":\"worker\",\"address\":\"$address\",\"zone\":\"a\",\"capacity\":{\"milliCores\":32000,\"memoryMB\":65536,\"accelerators\":0}}"
done
printf '{"hosts":[%s]}' "$entries" > "$work/hosts.json"
"$work/standin" list --address 127.0.0.1:7902 --hosts "$work/hosts.json" & started+=($!)
cat > "$work/host.ini" <<INI
[host]
name = one
zone = a
httpAddress = 127.0.0.1:7903
peerAddress = 127.0.0.1:7904
[platform]
logAddress = 127.0.0.1:7901
listAddress = 127.0.0.1:7902
[operators]
rootKeySHA256 = $(cat "$work/digest")
INI
"$work/daemon" --settings "$work/host.ini" 2>"$work/log" & daemon=$!
started+=("$daemon")
sleep 5
ticks() { awk '{print $14 + $15}' "/proc/$daemon/stat"; }
before=$(ticks)
sleep "$seconds"
after=$(ticks)
hertz=$(getconf CLK_TCK)
awk -v ticks=$((after - before)) -v hertz="$hertz" -v seconds="$seconds" -v workers="$workers" \
  'BEGIN { printf "%d workers: %.2f%% of a core\n", workers, 100 * ticks / hertz / seconds }'
awk '/VmRSS/ { printf "resident memory: %.1f MB\n", $2 / 1024 }' "/proc/$daemon/status"
