#!/usr/bin/env bash
# Checks the models with spin: the protocol must hold, and each seeded mistake must be found. Three runs go at once, each
# bounded to 650 MB and 120 s, so all stay below 2 GB. Usage: check.sh
set -euo pipefail
cd "$(dirname "$0")"

# name | model | switches | mode | expected: pass, or the message of the mistake
cases='
request-safety|request|-DFAULTS=2 -DDEATHS=0|safety|pass
request-hand-over-and-back|request|-DFAULTS=0 -DDEATHS=1 -DBACK|safety|pass
request-liveness|request|-DLIVENESS -DKEYED=0 -DFAULTS=0 -DDEATHS=1|liveness|pass
generation-safety|generation|-DFAULTS=2 -DRESTARTS=2|safety|pass
generation-liveness|generation|-DFAULTS=1 -DRESTARTS=1|liveness|pass
claim-after-send|request|-DFAULTS=1 -DDEATHS=0 -DCLAIM_AFTER_SEND|safety|assertion violated (executions<=1)
take-over|request|-DFAULTS=1 -DDEATHS=0 -DTAKE_OVER|safety|assertion violated (executions<=1)
late-grant|request|-DFAULTS=1 -DDEATHS=0 -DLATE_GRANT|safety|assertion violated (outcome[i]!=
not-run-on-break|request|-DFAULTS=1 -DDEATHS=0 -DNOT_RUN_ON_BREAK|safety|&&ran[i]))
no-reenqueue|request|-DLIVENESS -DKEYED=0 -DFAULTS=0 -DDEATHS=1 -DNO_REENQUEUE|liveness|acceptance cycle
advance-any|generation|-DADVANCE_ANY|safety|assertion violated ((gen[r]>=served[r])
serve-empty|generation|-DSERVE_EMPTY|safety|assertion violated ((gen[r]>=served[r])
lost-is-failed|generation|-DLOST_IS_FAILED|safety|assertion violated  !(effect[p])
'

# run_case builds and runs one case in a directory of its own and prints one line.
run_case() {
  IFS='|' read -r name model switches mode expected <<<"$1"
  local dir="$WORK/$name"
  mkdir -p "$dir"
  cp "$model.pml" "$dir/"
  cd "$dir"
  local build=(-DSAFETY -DNOCLAIM) search=()
  if [ "$mode" = liveness ]; then
    build=(-DNFAIR=3)
    search=(-a -f)
  fi
  # shellcheck disable=SC2086 # switches are words
  spin $switches -a "$model.pml" >spin.log 2>&1 || { cat spin.log; return 1; }
  gcc -O2 -w "${build[@]}" -DCOLLAPSE -DMEMLIM=650 -o pan pan.c
  local start=$SECONDS
  timeout 120 ./pan -m200000 -n "${search[@]}" >out.log 2>&1 || true
  local states
  states=$(awk '/states, stored/ {print $1; exit}' out.log)
  if verdict "$expected"; then
    echo "ok    $name: ${states:-no} states, $((SECONDS - start)) s ($expected)"
  else
    echo "FAIL  $name: expected: $expected"
    cat out.log
    return 1
  fi
}

# verdict compares pan's output with the expectation. A search that was cut short passes nothing.
verdict() {
  if [ "$1" = pass ]; then
    grep -q 'errors: 0' out.log && ! grep -Eq 'not completed|too small|MEMLIM|out of memory' out.log
  else
    grep -q 'errors: 1' out.log && grep -qF -- "$1" out.log
  fi
}

if [ "${1:-}" = case ]; then
  run_case "$2"
  exit
fi
if ! command -v spin >/dev/null || ! command -v gcc >/dev/null; then
  apt-get update -q
  apt-get install -yq spin gcc libc6-dev
fi
WORK=$(mktemp -d)
export WORK
trap 'rm -rf "$WORK"' EXIT
printf '%s' "$cases" | sed '/^$/d' | tr '\n' '\0' | xargs -0 -P 3 -I{} bash check.sh case {}
