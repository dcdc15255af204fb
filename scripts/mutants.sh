#!/usr/bin/env bash
# Takes one mechanism after another out of a scratch copy and shows that the named test goes red.
# Exits non-zero if a test stays green without its mechanism.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
failed=0

# try NAME FILE OLD NEW PACKAGE TEST
try() {
  rm -rf "$scratch/tree"
  mkdir "$scratch/tree"
  git ls-files -z | xargs -0 cp --parents -t "$scratch/tree"
  OLD=$3 NEW=$4 perl -0pi -e 's/\Q$ENV{OLD}\E/$ENV{NEW}/ or die "pattern not found\n"' "$scratch/tree/$2"
  if (cd "$scratch/tree" && timeout 240 go test -count=1 -run "$6" "$5" >"$scratch/out" 2>&1); then
    printf 'GREEN  %-44s %s\n' "$1" "$6"
    failed=1
  elif grep -q 'build failed' "$scratch/out"; then
    printf 'BROKEN %-44s does not compile\n' "$1"
    failed=1
  else
    printf 'red    %-44s %s\n' "$1" "$6"
  fi
}

try 'no host overcommitted: size against room' library/decider/placement.go 'task.Size.Fits(worker.Free()) &&' 'task.Size.Fits(worker.Capacity) &&' ./library/decider 'TestDifferential'
try 'no host overcommitted: terms on the worker' library/fencer/term.go 'case grant.Term != claim:' 'case false:' ./library/decider 'TestGrantIsFenced'
try 'two places: start window' library/fencer/term.go 'case clock > grant.NotAfter:' 'case false:' ./library/decider 'TestGrantIsFenced'
try 'two places: starts in doubt' library/decider/report.go 'report.Clock > task.Grant.NotAfter' 'true' ./library/decider 'TestStartInDoubt'
try 'two places: lost tasks until lease end' library/decider/report.go 'report.Clock > task.Grant.Lease+leaseGuardMS' 'true' ./library/decider 'TestRebootedWorker'
try 'key of the team: withdrawn keys' library/viewer/view.go 'view.Keys[body.Digest] = body' 'body.Withdrawn = false; view.Keys[body.Digest] = body' ./tests 'TestConfigurationInForce'
try 'key of the team: other queues' daemon/server/check.go 'case queue.Team != team && !queue.Open:' 'case false:' ./tests 'TestScripts/badRequests'
try 'upper limit: room in the slice' library/decider/tables.go 'return limit == 0 || amount <= slice' 'return true' ./library/decider 'TestDifferential'
try 'upper limit: pool bounds takes' library/limiter/ledger.go 'change.Take.Min(account.Pool().Max(sizer.Size{}))' 'change.Take' ./library/limiter 'TestLedger'
try 'upper limit: unclaimed workers withheld' library/decider/systems.go 'decider.withheld)' 'decider.total.Sub(decider.total))' ./library/decider 'TestUnclaimed'
try 'whole answer: a cut is passed on' daemon/server/request.go 'panic(http.ErrAbortHandler)' 'return' ./tests 'TestUpstreamEnds'
try 'not run is true: proof before refusal' daemon/server/request.go 'if known && ending == decider.NeverRan {' 'if true {' ./tests 'TestUpstreamEnds'
try 'at most once: keys in progress' daemon/server/keys.go 'case seen.Outcome == "":' 'case seen.Outcome == "" && false:' ./tests 'TestFaults/hostKilled'
try 'leaving upstream: no new work' library/decider/tables.go '!worker.Leaving && ' '' ./tests 'TestUpstreamEnds/leaves'
try 'graceful shutdown: drain' daemon/server/shutdown.go 'len(server.unfinished()) > 0 {' 'false {' ./tests 'TestShutdown/cutsNoRequest'
try 'never reverts: compare and set' library/replayer/register.go 'record.Base != register.sections[record.Section].Number' 'false' ./library/replayer 'TestRegister'
try 'never reverts: older peers' library/replayer/register.go 'if state.AsOf <= register.asOf {' 'if false {' ./library/replayer 'TestRegister'
try 'in force in seconds: peers' daemon/server/beat.go 'if beat.AsOf > server.register.AsOf()' 'if false' ./tests 'TestConfigurationInForce/logDownForOneZone'
exit $failed
