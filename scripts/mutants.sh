#!/usr/bin/env bash
# Mutation test: disables one mechanism at a time in a scratch copy and checks that the test named for it fails.
# Exits with status 1 if a test passes without its mechanism, or if a mutant does not compile. With an argument, only the
# mutants whose label contains it are run.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
failed=0
only=${1:-}

# try LABEL FILE OLD NEW PACKAGE TEST: replaces the first occurrence of OLD in FILE by NEW and runs TEST of PACKAGE.
try() {
  [[ $1 == *"$only"* ]] || return 0
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

try 'overcommitment: task size against free capacity' library/decider/placement.go 'task.Size.Fits(worker.Free()) &&' 'task.Size.Fits(worker.Capacity) &&' ./library/decider 'TestDifferential'
try 'overcommitment: fencing by term on the worker' library/fencer/term.go 'case grant.Term != claim:' 'case false:' ./library/decider 'TestGrantIsFenced'
try 'duplicate runs: latest start of a grant' library/fencer/term.go 'case clock > grant.NotAfter:' 'case false:' ./library/decider 'TestGrantIsFenced'
try 'duplicate runs: starts without an answer' library/decider/report.go 'report.Clock > task.Grant.NotAfter' 'true' ./library/decider 'TestStartWithUnknownOutcome'
try 'duplicate runs: records of a later term' daemon/server/keep.go 'if tenure.term.Less(record.Term) {' 'if false {' ./tests 'TestSupersededDecider'
try 'duplicate runs: lost tasks kept until lease end' library/decider/report.go 'report.Clock > task.Grant.LeaseEnd+leaseGuardMS' 'true' ./library/decider 'TestRebootedWorker'
try 'API keys: withdrawn keys' library/viewer/view.go 'view.Keys[body.Digest] = body' 'body.Withdrawn = false; view.Keys[body.Digest] = body' ./tests 'TestConfigurationInForce'
try 'API keys: queues of other teams' daemon/server/check.go 'case queue.Team != team && !queue.Open:' 'case false:' ./tests 'TestScripts/badRequests'
try 'limits: amount within the slice' library/decider/tables.go 'return limit == 0 || amount <= slice' 'return true' ./library/decider 'TestDifferential'
try 'gangs: reserve anew when a reserved worker is lost' library/decider/reservation.go 'if decider.reservationsUsable(head, now) {' 'if true {' ./library/decider 'TestGangs'
try 'limits: takes bounded by unallocated amount' library/limiter/ledger.go 'change.Take.Min(account.Unallocated().Max(sizer.Size{}))' 'change.Take' ./library/limiter 'TestLedger'
try 'limits: reserves wait for unmet demand' library/limiter/plan.go 'if account.WantedByOthers(zone).Zero() {' 'if true {' ./library/limiter 'TestConcurrentPlans'
try 'limits: repeated forfeits' library/limiter/ledger.go 'ledger.tenures[record.Forfeit].after(record.Term, record.Step)' 'false' ./tests 'TestForfeitedZone'
try 'limits: capacity of unclaimed workers withheld' library/decider/systems.go 'decider.unclaimedCapacity)' 'decider.totalCapacity.Sub(decider.totalCapacity))' ./library/decider 'TestUnclaimed'
try 'truncated answers: connection is aborted' daemon/server/request.go 'panic(http.ErrAbortHandler)' 'return' ./tests 'TestUpstreamEnds'
try 'outcome notRun: only if proven' daemon/server/request.go 'if known && ending == decider.NeverRan {' 'if true {' ./tests 'TestUpstreamEnds'
try 'idempotency keys: requests in progress' daemon/server/keys.go 'case seen.Outcome == "":' 'case seen.Outcome == "" && false:' ./tests 'TestFaults/hostKilled'
try 'foreign: jobs in open queues of other teams' daemon/server/job.go 'cmp.Or(job.Submitter, job.Team)' 'cmp.Or(job.Team, job.Submitter)' ./tests 'TestJobsOfOtherTeams'
try 'foreign: one submission under a key at a time' daemon/server/jobs.go 'if !inProgress {' 'if !inProgress || true {' ./tests 'TestSameKeyAtOnce'
try 'leaving upstreams: no new work' library/decider/tables.go '!worker.Leaving && ' '' ./tests 'TestUpstreamEnds/leaves'
try 'graceful shutdown: drain' daemon/server/shutdown.go 'len(server.unfinishedRequests()) > 0 {' 'false {' ./tests 'TestShutdown/cutsNoRequest'
try 'configuration never reverts: compare and set' library/replayer/register.go 'record.Base != register.sections[record.Section].Offset' 'false' ./library/replayer 'TestRegister'
try 'configuration never reverts: older peer state' library/replayer/register.go 'if state.AsOf <= register.asOf {' 'if false {' ./library/replayer 'TestRegister'
try 'configuration through peers' daemon/server/heartbeat.go 'if heartbeat.AsOf > server.register.AsOf()' 'if false' ./tests 'TestConfigurationInForce/logDownForOneZone'
try 'fleet: ends acknowledged only once stored' library/planner/journal.go 'worker.pendingEnds[0].batch <= storedBatch' 'true' ./library/planner 'TestAcknowledgment'
try 'fleet: batch without records has no number' library/planner/journal.go 'if len(batch.Records) > 0 {' 'if true {' ./library/planner 'TestUnstoredBatches'
try 'large jobs: progress in parts' library/planner/parts.go 'if job.taskCount()*job.maxOccurrences() <= maxUndividedTasks {' 'if true {' ./library/planner 'TestLargeJobs'
try 'large jobs: runs in parts' library/planner/tables.go '	step.touch(run.Key.Index)
	planner.ensureWorker(run.Worker).addRun(run)' '	planner.ensureWorker(run.Worker).addRun(run)' ./library/planner 'TestLargeJobs|TestLargeJobProperty'
try 'large jobs: one part for one change' library/planner/parts.go 'Number: entry.layout.PartOf(step.key.Step, index)' 'Number: 0*index' ./library/planner 'TestLargeJobs|TestLargeJobCompletes'
try 'large jobs: checkpoints give way' library/planner/parts.go 'len(key)+len(data) > limit' 'false' ./library/planner 'TestLongCheckpoints'
try 'large jobs: tasks of a job' library/planner/job.go 'tasks > maxTasks' 'false' ./library/planner 'TestJobLimits'
try 'large jobs: size as stored' library/planner/job.go 'len(data) > maxStoredBytes' 'false' ./library/planner 'TestJobLimits'
try 'large jobs: memory' library/planner/submission.go 'limit <= 0 || planner.taskCount == 0 ||' 'true ||' ./library/planner 'TestTasksInMemory'
try 'large jobs: one record of an earlier release' library/planner/parts.go '		entry.touchAll()
' '' ./library/planner 'TestDivideStored'
try 'rejected records: left out' daemon/scheduler/rejected.go 'if rejections < rejectionsToDrop {' 'if true {' ./tests 'TestFleetRejectedRecord/limitUnknown'
try 'rejected records: told from unknown outcomes' platform/translator/store.go 'case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:' 'case http.StatusTeapot:' ./tests 'TestFleetRejectedRecord/limitUnknown'
try 'rejected records: the job is refused' daemon/scheduler/calls.go 'if tenure.planner.Unstorable(id) {' 'if false {' ./tests 'TestFleetRejectedRecord'
try 'rejected records: the job is given up' library/planner/unstorable.go '		entry.unstorable = true
' '' ./tests 'TestFleetRejectedRecord'
try 'restored planner: newest configuration' daemon/scheduler/tenure.go '		restored.SetCatalog(catalog)
' '		_ = catalog
' ./tests 'TestFleetChangeWhileRestoring'
try 'restored planner: drained zones' daemon/scheduler/tenure.go '	restored.SetDrainedZones(tenure.host.drains.Zones())
' '' ./tests 'TestFleetChangeWhileRestoring'
try 'restored planner: handover' daemon/scheduler/tenure.go 'if tenure.handsOver {' 'if false {' ./daemon/scheduler 'TestAdoptWhileHandingOver'
try 'ended jobs: runs are restored' library/planner/journal.go 'if entry.state.Final() && (!entry.hasOpenRuns() || entry.unstorable) {' 'if entry.state.Final() {' ./library/planner 'TestEndedJobsStillCount|TestProperty'
try 'ended jobs: runs are stopped' library/planner/restore.go '				step.markStopping(now)
' '				continue
' ./library/planner 'TestEndedJobsAreStopped'
try 'ended jobs: runs in parts' library/planner/parts.go 'entry.state.Final() && !occurrence.hasOpenRunsIn(entry.layout.Spans(part.Number))' 'entry.state.Final()' ./library/planner 'TestEndedJobsStillCount'
try 'ended jobs: runs outlive the retention' library/planner/submission.go 'if entry.hasOpenRuns() {' 'if false {' ./library/planner 'TestRunsOutliveRetention'
try 'ended jobs: copies of done tasks' library/planner/restore.go 'if step.tasks[open.Index].Done && !step.Gang {' 'if false {' ./library/planner 'TestCopyOutlivesTask'
try 'pending jobs: until one has begun' library/planner/planner.go '!entry.begun && !entry.storedState.Final() {' 'entry.storedState == Queued {' ./library/planner 'TestPending'
try 'pending jobs: begun by a listing' library/planner/runs.go 'run.answered, step.job.begun = true, true' 'run.answered = true' ./library/planner 'TestPending'
try 'large jobs: parts newer than the progress' library/planner/restore.go '		planner.completeOccurrence(entry, occurrence, now)
	}
}' '	}
}' ./library/planner 'TestPartsNewerThanProgress'
try 'ended jobs: withdrawn before they were stored' library/planner/submission.go 'if entry == nil || !entry.state.Final() {' 'if entry == nil {' ./library/planner 'TestWithdrawnJobIsForgotten'
try 'fleet: older state is not reported' library/planner/journal.go '&& batch.Number >= entry.storedStateBatch' '' ./library/planner 'TestUnstoredBatches'
try 'fleet: only jobs not yet accepted are withdrawn' library/planner/submission.go 'entry == nil || !planner.newJobs[id]' 'entry == nil' ./library/planner 'TestUnstoredBatches'
try 'fleet: fencing token raised with unknown runs' library/planner/worker.go 'worker.Token++' '' ./library/planner 'TestOrdersWithUnknownOutcome'
try 'fleet: runs not yet ordered are not closed' library/planner/place.go 'Token: worker.Token,
' 'Token: 0,
' ./library/planner 'TestOrdersWithUnknownOutcome'
try 'fleet: wait for the end of leases' library/lessor/leases.go 'max(leases.endMS-leases.clockMS, 0)' '0' ./library/planner 'TestClocks|TestUnresponsiveWorker'
try 'fleet: wait for leases of the former decider' library/lessor/leases.go 'leases.earlier = leases.earlier.Later(leases.formerLease(now))' '_ = leases.formerLease(now)' ./library/planner 'TestTakeover'
try 'fleet: runs of restarted workers are confirmed' library/planner/runs.go 'run.Confirmed, run.Token, run.Incarnation, run.sound = false, 0, worker.Incarnation, false' 'planner.closeVanished(run, planner.now)' ./library/planner 'TestRestartUndetected'
try 'fleet: leases of restarted workers' library/lessor/leases.go 'expiry := Expiry{At: now.Add(leases.terms.Longest()), Reason: Restarted}' 'expiry := Expiry{}' ./library/lessor 'TestExpiry'
try 'fleet: runs of a lost worker still count' library/planner/runs.go 'return run.Sent && !run.InFlight && now.After(worker.leasesExpireAt(run))' 'return run.Sent && !run.InFlight' ./library/planner 'TestLeasesOfNextLife'
try 'fleet: restart detected by the clock' library/lessor/leases.go 'clockMS+clockToleranceMS < leases.MinClockMS(sentAt)' 'false' ./library/planner 'TestRestartAfterEnds'
try 'fleet: run numbers are stored' library/tracker/tracker.go 'restored.LastNumber = stored.Numbers[position]' '' ./library/planner 'TestTakeover'
try 'fleet: limit of a team' library/planner/place.go 'return limit == 0 || used <= limit' 'return true' ./library/planner 'TestPlacement'
try 'fleet: free capacity of a worker' library/planner/obstacles.go 'Mul(int64(assigned + 1)).Fits(worker.Free())' 'Mul(int64(assigned + 1)).Fits(worker.Capacity)' ./library/planner 'TestPlacement'
try 'fleet: shares limit placement' library/planner/shares.go 'if !pass.limitShares {' 'if true {' ./library/planner 'TestSchedulingOrder'
try 'fleet: jobs in excess of the rate go last' library/planner/plan.go 'case step.job.Excess:' 'case false:' ./library/planner 'TestSchedulingOrder'
try 'fleet: gang that loses a member is stopped' library/planner/gangs.go 'member != nil && !member.Stopping' 'false' ./library/planner 'TestGang'
try 'fleet: policy queries bounded by slots' library/planner/policy.go 'return planner.openQueries.Long < planner.slots.Long' 'return true' ./library/planner 'TestPolicy'
try 'fleet: cost of placement in another zone' library/placer/cost.go '{task.Urgent && task.Zone != "" && task.Zone != worker.Zone, otherZoneCost},' '{false, otherZoneCost},' ./library/planner 'TestPlacement'
try 'fleet: unavailable standing tasks are bounded' library/planner/moves.go 'return movableRun.unavailable(now) < movableRun.maxMissing()' 'return true' ./library/planner 'TestEvacuation|TestEvacuateStanding'
try 'fleet: runs that hang' library/planner/plan.go 'if planner.hangs(run, now) {' 'if false {' ./library/planner 'TestHang'
try 'fleet: only the current decider denies a job' daemon/scheduler/calls.go 'reply.Verdict == planner.Missing && !tenure.stillDecides(ctx)' 'false' ./tests 'TestFleetDeposed'
try 'fleet: deciders check if superseded' daemon/scheduler/watch.go 'if tenure.mayBeSuperseded() {' 'if false {' ./tests 'TestFleetDeposed'
try 'fleet: configuration from peers' daemon/scheduler/catalog_fetcher.go 'host.applyCatalog(text, "peer")' '_ = text' ./tests 'TestFleetConfiguration'
try 'fleet: older configuration is ignored' daemon/scheduler/catalog.go 'current.Version >= catalog.Version' 'false' ./tests 'TestFleetConfiguration'
try 'fleet: answers of an earlier incarnation' library/planner/runs.go 'worker.restarted && listing.Token < worker.Token' 'false' ./library/planner 'TestRestartEarlierAnswers'
try 'fleet: clock compared as of the time of sending' library/planner/runs.go 'worker.leases.ShowsRestart(clockMS, sentAt)' 'worker.leases.ShowsRestart(clockMS, planner.now)' ./library/planner 'TestRestartEarlierAnswers'
try 'fleet: speculative copy, silent worker' library/planner/copies.go 'if !worker.RunsKnown {' 'if false {' ./library/planner 'TestCopies'
try 'fleet: speculative copy, lagging run' library/planner/copies.go 'return pass.now.Sub(run.OrderedAt) > max(lagFactor*expected, minLagTime)' 'return false' ./library/planner 'TestCopies'
try 'fleet: speculative copy, only if allowed' library/planner/copies.go 'if step.Speculative && ' 'if ' ./library/planner 'TestCopies|TestUnresponsiveWorker|TestProperty'
try 'fleet: speculative copy, other run is stopped' library/planner/endings.go 'planner.stopRun(other, now)' '_ = other' ./library/planner 'TestCopies'
try 'fleet: speculative copy, both runs are stored' library/planner/journal.go 'open.Number = run.Number' '' ./library/planner 'TestCopies'
try 'fleet: journal through peers' daemon/scheduler/relay.go 'if len(peers) == 0 {
		return Member{}, false
	}
	route.mu.Lock()' 'if true {
		return Member{}, false
	}
	route.mu.Lock()' ./tests 'TestFleetStoreCut'
try 'fleet: journal through another peer per attempt' daemon/scheduler/relay.go 'route.peerIndex+attempt/routeCount' 'route.peerIndex' ./tests 'TestFleetStoreCut'
try 'fleet: deciders cut off from the store hand over' daemon/scheduler/watch.go 'host.transferToRelay(tenure, election)' '' ./tests 'TestFleetStoreCut'
try 'fleet: lost answers of the store' daemon/scheduler/journal.go 'journal.recordLoss(attempts.directLost > 0)' '' ./tests 'TestFleetLateAppends'
try 'fleet: lost answers of workers' daemon/scheduler/poller.go 'if tenure.answerLossRate.record(time.Since(poller.lostAt) < lossWindow, tenure.host.uptime()) {' 'if false {' ./tests 'TestFleetLostWorkerAnswers'
try 'fleet: probe of the previous decider' daemon/scheduler/tenure.go '	tenure.probeFormerDeciders()' '' ./tests 'TestFleetAllLost|TestFleetFormerLeases'
try 'fleet: lease expiries are recorded' library/planner/runs.go 'planner.updateExpiries(now)' '_ = now' ./library/planner 'TestLeaseExpiry'
try 'fleet: no lease before the expiry is dropped' library/planner/expiry.go 'worker.expiryDropBatch <= planner.storedBatch' 'worker.expiryDropBatch >= 0' ./library/planner 'TestLeaseExpiry'
try 'fleet: tolerance of restart detection' library/lessor/leases.go 'const clockToleranceMS = 10' 'const clockToleranceMS = 500' ./library/planner 'TestRestartTwice'
try 'fleet: several policy queries of one step' library/planner/policy.go 'step.policy.OpenCount() < maxOpen &&' 'step.policy.OpenCount() < 1 &&' ./library/planner 'TestMixedLoad'
try 'fleet: room that queries are expected to use' library/planner/policy.go 'expected := min(step.policy.ExpectedTasks(), float64(tasks))' 'expected := float64(tasks)' ./library/planner 'TestPolicy'
try 'fleet: members of a completed gang end on their own' library/planner/submission.go 'func (step *step) endsTogether() bool { return step.Gang && step.completedTasks == step.Count }' 'func (step *step) endsTogether() bool { return false }' ./library/planner 'TestGang'
try 'fleet: runs that were not sent outlast an idle lease' library/planner/runs.go 'return run.Sent && !run.InFlight && now' 'return now' ./library/planner 'TestStartOnIdleWorker'
try 'fleet: no lease while the term is not confirmed' library/planner/expiry.go 'return planner.mayLease && ' 'return ' ./library/planner 'TestMayLease'
try 'fleet: rest of a lease counted from its reading' library/planner/expiry.go 'planner.inMS(leaseExpiry.RemainingMS)' 'planner.now' ./library/planner 'TestClocks|TestLeaseExpiry|TestLeaseProperty'
try 'fleet: age of a job is stored' library/planner/restore.go 'planner.journalTime(stored.DueMS))' 'now)' ./library/planner 'TestClocks'
try 'fleet: renewals end after the journal is fenced' daemon/scheduler/quorum.go 'if fencedAt.After(quorumSince) {' 'if false {' ./daemon/scheduler 'TestFormerRenewalsEnd'
try 'fleet: start orders through delegates' daemon/scheduler/poller.go 'delegate := tenure.pickDelegate(order.Worker)' 'delegate := (*delegate)(nil)' ./tests 'TestFleetDelegatesCarryCalls'
try 'fleet: polls through delegates' daemon/scheduler/poller.go 'delegate := tenure.pickDelegate(worker)' 'delegate := (*delegate)(nil)' ./tests 'TestFleetDelegatesCarryCalls'
try 'fleet: immediate polls through delegates' daemon/scheduler/poller.go 'delegate := tenure.pickDelegate(worker)' 'delegate := tenure.pickDelegate(worker)
	if wait == 0 {
		delegate = nil
	}' ./tests 'TestFleetDelegatesCarryFences'
try 'fleet: no order with an expired ticket' library/planner/runs.go '(queue.Policy == nil || step.hasTicket(worker, planner.now))' 'true' ./library/planner 'TestPolicy'
try 'fleet: more time for a task after each hang' library/planner/plan.go 'duration *= 2' '_ = duration' ./library/planner 'TestSlowTask'
try 'fleet: preemption only where the policy allows' library/planner/obstacles.go 'queue.Policy == nil || step.policy.AllowedBefore(worker.ID))' 'queue.Policy == nil || !step.policy.Denied(worker.ID))' ./library/planner 'TestPolicy'
try 'fleet: caps count the processors of fillers' library/planner/tables.go 'usage.used = usage.used.Add(step.Size)' 'usage.used = usage.used.Add(run.Size)' ./library/planner 'TestPlacement'
try 'fleet: nobody waits for a lost decider to campaign' daemon/scheduler/watch.go 'if answer.StoreOutage >= maxStoreOutage || peer.Name == election.Host {' 'result.maxShare = 10
			if answer.StoreOutage >= maxStoreOutage || peer.Name == election.Host {' ./tests 'TestFleetTakeoverOfStrongest'
try 'duplicate runs: copies on hosts that were restarted' daemon/server/tenure.go 'tenure.goroutines.Go(func() { tenure.server.runEvery(tenure.ctx, replicaInterval, tenure.copyToReplicas) })' '' ./tests 'TestRollingRestarts'
try 'duplicate runs: copies of another zone do not count' daemon/server/keep.go 'if call.Complete == server.settings.Zone {' 'if call.Complete != "" {' ./daemon/server 'TestCompleteCopies'
try 'ready hosts know all deciders' daemon/server/routes.go 'if time.Since(server.startedAt) > maxDeciderWait {' 'if true {' ./tests 'TestReadyHostAcceptsJobs'
try 'takeover by the holder of the term' library/detector/detector.go 'if holder == self.Name {' 'if false {' ./tests 'TestRollingRestarts'
try 'fleet: versions of the configuration in heartbeats' daemon/scheduler/heartbeat.go 'host.catalogFetcher.report(answer.CatalogVersion, address)' '' ./tests 'TestFleetConfiguration'
try 'fleet: short leases of leaving workers' library/planner/polling.go 'max(worker.timeUntilLeaving(now), 0)+leavingWorkerLease' 'planner.Settings.Lease' ./library/planner 'TestEvacuation'
try 'duplicate runs: order of the workers of a machine' library/planner/crashes.go '!worker.firstListedAt.IsZero() && worker.firstListedAt.Before(other.firstListedAt)' 'true' ./library/planner 'TestMachineBack'
try 'fleet: tasks that crash workers are given up' library/blamer/evidence.go 'MaxCrashes = 3' 'MaxCrashes = 300' ./library/planner 'TestCrashNeighbors'
try 'fleet: two crashes of a task alone are enough' library/blamer/evidence.go 'loss.Alone && !loss.Unanswered && evidence.Crashes >= maxCrashesAlone' 'false' ./library/planner 'TestCrashingTask'
try 'fleet: neighbors need a third crash' library/blamer/evidence.go 'loss.Alone && !loss.Unanswered && evidence.Crashes >= maxCrashesAlone' 'evidence.Crashes >= maxCrashesAlone' ./library/planner 'TestCrashNeighbors'
try 'fleet: a silent worker that answers again crashed nothing' library/planner/crashes.go 'blamer.Restarted(lost.Incarnation, worker.Incarnation)' 'lost.Incarnation != 0 && worker.Incarnation != 0' ./library/planner 'TestCrashNeighbors'
try 'fleet: standing tasks that ran long are no suspects' library/planner/crashes.go 'return run.Standing && run.Confirmed && blamer.Sound(worker.AnsweredAt.Sub(run.ConfirmedAt))' '_ = worker
	return false' ./library/planner 'TestCrashNeighbors'
try 'fleet: each task of a gang has its own count' library/planner/crashes.go 'task := &step.tasks[key.Index]
	if step.job.state.Final()' 'task := &step.tasks[0]
	if step.job.state.Final()' ./library/planner 'TestCrashNeighbors'
try 'fleet: crashes of workers that never come back' library/planner/runs.go 'planner.resolveGone(worker)' '_ = worker' ./library/planner 'TestCrashingTask'
try 'fleet: takeovers keep the counts of crashes' library/blamer/records.go 'records.Crashes = setCount(records.Crashes, index, evidence.Crashes)' '' ./library/planner 'TestCrashingTask'
try 'fleet: takeovers keep the lost runs' library/blamer/records.go 'range evidence.Lost' 'range evidence.Lost[:0]' ./library/planner 'TestCrashingTask'
try 'fleet: tasks wait for the workers that fell silent' library/blamer/evidence.go '	if !givesUp(answered, unanswered) {
		return false' '	if !givesUp(answered, unanswered) || now.After(time.Time{}) {
		return false' ./library/planner 'TestCrashingTask'
try 'fleet: a held task starts after a time' library/blamer/evidence.go 'now.Sub(loss.ClosedAt) < maxHoldTime' 'now.After(loss.ClosedAt)' ./library/planner 'TestHeldTaskStarts'
try 'fleet: as many lost runs hold a task as give it up' library/blamer/evidence.go 'answered+unanswered >= maxUnansweredCrashes || slices' 'slices' ./library/planner 'TestCrashingTask'
try 'fleet: one suspect at a time on a worker' library/planner/quarantine.go 'if !worker.hasSuspectBeside(step.job.ID, pass.now) {' 'if true {' ./library/planner 'TestSuspectsStartApart'
try 'fleet: suspects prefer empty workers' library/planner/quarantine.go ' + blamer.NeighborCost(len(worker.Runs))' '' ./library/planner 'TestSuspectsStartApart'
try 'fleet: nothing new beside a suspect of two crashes' library/blamer/isolation.go 'isolation.runsUntil = until' '_ = until' ./library/planner 'TestSuspectsStartApart'
try 'fleet: suspects that end leave the others apart' library/planner/quarantine.go 'worker.beginTrial(other)' '_ = other' ./library/planner 'TestSuspectsStartApart'
try 'fleet: no copies of suspects' library/planner/copies.go 'step.suspicion(index) == 0 && ' '' ./library/planner 'TestCrashingTask'
try 'fleet: runs of a machine that is back are closed' library/planner/crashes.go 'planner.closeRefused(run, planner.now)' '_ = run' ./library/planner 'TestMachineBack'
try 'fleet: drained workers have not crashed' library/planner/crashes.go 'if worker.Draining {' 'if false {' ./library/planner 'TestMachineBack'
try 'fleet: no start on a worker that has shrunk' library/planner/runs.go '!worker.stillFits(run) {' 'false {' ./library/planner 'TestCapacityThatChanges'
try 'fleet: crashes are noticed by whole hosts' library/planner/runs.go 'case run.loss != nil:' 'case false:' ./tests 'TestFleetCrashingTask'
try 'fleet: store outage of the former decider' daemon/scheduler/decider_status.go 'deciderStatus.storeOutage.Store(0) // this and the next were those of the former decider' '' ./tests 'TestFleetReturnFromCut'
try 'stragglers: clearly earlier' library/hedger/hedger.go 'case float64(action.Remaining) <= patience*float64(action.Restarted):' 'case patience < 0:' ./library/hedger 'TestDecide|TestLoads|TestDifferential'
try 'stragglers: patience doubles' library/hedger/hedger.go 'patience := clearFactor * math.Exp2(float64(min(run.EarlierHedges, maxEarlierHedges)))' 'patience := clearFactor + 0*math.Exp2(0)' ./library/hedger 'TestPatience'
try 'stragglers: two long runs show a long task' library/hedger/hedger.go 'work = max(work, min(seen, run.EarlierRunWork))' '_ = seen' ./library/hedger 'TestDecide|TestLoads'
try 'stragglers: percent is rounded down' library/hedger/hedger.go 'float64(run.Percent + 1 - run.BasePercent)' 'max(float64(run.Percent - run.BasePercent), 0.1)' ./library/hedger 'TestRounding'
try 'stragglers: runs in time are kept' library/hedger/hedger.go 'case remaining <= run.TimeLeft:' 'case false:' ./library/hedger 'TestDecide'
try 'stragglers: the job has to gain' library/hedger/hedger.go 'case action.Restarted > run.TimeLeft && !run.OnlyLateRunsLeft:' 'case false:' ./library/hedger 'TestDecide'
try 'stragglers: moves that do not help end' library/hedger/hedger.go 'case kind == Move && run.expectedAfterMove(action) >= float64(action.Remaining):' 'case false:' ./library/hedger 'TestDecide'
try 'stragglers: price within the budget' library/hedger/hedger.go 'case action.Price > run.Budget:' 'case false:' ./library/hedger 'TestDecide|TestProperties'
try 'stragglers: budget is spent' library/hedger/budget.go 'budget.level -= cost' '_ = cost' ./library/hedger 'TestBudget|TestLoads'
try 'stragglers: copies only where allowed' library/hedger/hedger.go 'if run.MayCopy {' 'if true {' ./library/hedger 'TestProperties|TestDecide'
try 'stragglers: off without the setting' library/planner/stragglers.go 'if !planner.Settings.MoveStragglers {' 'if false {' ./library/planner 'TestStragglers/settingIsOff'
try 'stragglers: late runs are moved' library/planner/stragglers.go 'planner.stopRun(task.run, pass.now)' '_ = task.run' ./library/planner 'TestStragglers'
try 'stragglers: another worker than before' library/planner/stragglers.go 'task.Avoid(task.run.Worker)' '_ = task.Avoided' ./library/planner 'TestStragglers'
try 'stragglers: siblings correct estimates' library/planner/stragglers.go 'if len(works) >= minComparedSiblings {' 'if false {' ./library/planner 'TestStragglers/wrongEstimate'
try 'stragglers: the same room for one move' library/planner/stragglers.go 'pass.reserved[task.hedges.open.Target] = true' '_ = task' ./library/planner 'TestStragglers/sameRoom'
try 'stragglers: slow workers are remembered' library/planner/stragglers.go 'planner.recordSlowRun(event, run, now)' '_ = event' ./library/planner 'TestStragglers/manyStragglers'
try 'stragglers: only slow workers are' library/planner/stragglers.go 'if event.SlowWorker && ' 'if ' ./library/planner 'TestStragglers/manyLongRuns'
try 'stragglers: pace of runs of a former decider' library/planner/stragglers.go 'run.basePercent, run.basedAt = percent, now' '_ = percent' ./library/planner 'TestStragglers/slowSinceBeforeATakeover'
try 'stragglers: late runs are read' library/planner/stragglers.go 'pass.planner.effects = append(pass.planner.effects, Reading{Worker: worker.ID})' '_ = Reading{}' ./library/planner 'TestReadings'
try 'stragglers: only late runs are read' library/planner/stragglers.go 'if median <= 0 || hedged.Elapsed <= time.Duration(float64(median)*worker.slowness()) {' 'if median <= 0 {' ./library/planner 'TestReadings'
try 'stragglers: older answers to readings' library/planner/stragglers.go 'worker != nil && worker.AnsweredAt.After(listing.SentAt)' 'worker == nil' ./library/planner 'TestReadings'
try 'stragglers: whole hosts move late runs' library/planner/stragglers.go 'return hedger.Decide(*run).Kind != hedger.Keep' 'return false' ./tests 'TestFleetStragglers'
try 'fleet: steps that wait for the policy' library/planner/blocked.go '!found && (queue.Policy == nil || !pass.hasRoom(step, pool))' '!found' ./library/planner 'TestPolicy'
try 'fleet: late answers of the store are not lost ones' daemon/scheduler/journal.go 'if lost := attempts.answerLost();' 'if lost := attempts.answerLost() || true;' ./tests 'TestFleetLateStoreAnswers'
try 'fleet: appends that overtake each other go one at a time' daemon/scheduler/journal.go 'journal.lossRate.isHigh() || journal.overtaking():' 'journal.lossRate.isHigh():' ./tests 'TestFleetLateStoreAnswers'
try 'fleet: polls while answers get lost are bounded' daemon/scheduler/rates.go 'max(lossyPollWait, time.Duration(workers)*time.Second/lossyPollsPerSecond)' 'lossyPollWait' ./daemon/scheduler 'TestLossyPolls'
try 'fleet: heartbeats of large fleets are bounded' daemon/scheduler/rates.go 'if stronger < maxSurveyedPeers {' 'if stronger < maxSurveyedPeers || true {' ./daemon/scheduler 'TestHeartbeatRate'
try 'fleet: calls that fail together are one failure of a delegate' daemon/scheduler/delegator.go '!now.Before(delegate.backoff.until) {' 'true {' ./daemon/scheduler 'TestDelegateRest'
try 'fleet: results that have arrived are not lost' daemon/scheduler/delegator.go 'case result := <-results:
		return result
	default:' 'default:' ./daemon/scheduler 'TestReadyDelegateResult'
try 'links: late calls do not close a connection that answers' daemon/linker/pool.go '&& silence >= silenceTimeout' '&& silence >= 0' ./daemon/linker 'TestManyLateCalls'
try 'fleet: messages to delegates carry several calls' daemon/scheduler/delegator.go 'max(outboxDelay, outboxInterval-now.Sub(sentAt))' 'outboxDelay + 0*now.Sub(sentAt)' ./daemon/scheduler 'TestOutboxDelay'
try 'fleet: appends move on from an unusable peer' daemon/scheduler/relay.go 'route.peerIndex = (route.peerIndex + 1) % len(peers)' '_ = peers' ./daemon/scheduler 'TestRelayPeer'
try 'fleet: only direct attempts tell of lost answers' daemon/scheduler/attempts.go 'if !relayed {' 'if true {' ./tests 'TestFleetLateStoreAnswers'
try 'fleet: registrations that change nothing' daemon/scheduler/tenure.go 'case !found || !known.Equal(*registration.info):' 'default:' ./daemon/scheduler 'TestRegistrations'
try 'fleet: placement passes are spaced' daemon/scheduler/pass_pacer.go 'min(passShareDivisor*passPacer.took, batchInterval)' '0' ./daemon/scheduler 'TestPassPacer'
try 'fleet: own lateness is added to timeouts' daemon/scheduler/poller.go 'lag := tenure.tickLag.recent()' 'lag := tenure.tickLag.current()' ./daemon/scheduler 'TestLagAllowance'
try 'fleet: waiting for the processor is no slow processor' daemon/scheduler/speed.go 'speed.samples == 0 || took < speed.least' 'speed.samples == 0 || took > speed.least' ./daemon/scheduler 'TestSpeed'
try 'fleet: starts in flight are bounded' library/planner/start_limit.go 'return startLimit.Available > 0' 'return true' ./library/planner 'TestOverload$|TestStartLimit'
try 'fleet: late calls are repeated' daemon/scheduler/hedged_calls.go 'if hedgedCaller.budget.Retry(method) {' 'if hedgedCaller.budget.Retry(method) && false {' ./tests 'TestFleetLossyLinks'
try 'zones: a stale read changes nothing' library/drainer/register.go 'if read.End < register.asOf {' 'if false {' ./library/drainer 'TestRegister'
try 'zones: an earlier peer changes nothing' library/drainer/register.go 'if state.AsOf <= register.asOf {' 'if false {' ./library/drainer 'TestRegister'
try 'zones: a peer that holds a request is told the state' library/drainer/register.go 'register.used = true // a peer' '// a peer' ./library/drainer 'TestRegister'
try 'zones: damaged states are refused' library/drainer/register.go 'decoded.AsOf < 0 ||' 'false &&' ./library/drainer 'TestStateDecoding'
try 'zones: no placement in drained zones' library/planner/place.go 'pass.planner.drainedZones[worker.Zone] || ' '' ./library/planner 'TestDrain$'
try 'zones: no order that was planned before' library/planner/runs.go ' && !planner.drainedZones[worker.Zone]' '' ./library/planner 'TestDrainUnsentOrder|TestDrainProperty'
try 'zones: standing tasks leave' library/planner/moves.go '	pass.moveSome(pass.planner.runsInDrainedZones(pass.now), urgent)' '' ./library/planner 'TestDrainStanding'
try 'zones: disruption budget of standing steps' library/planner/moves.go '!movableRun.short && !movableRun.withinBudget(pass.now)' 'false' ./library/planner 'TestDrainStanding'
try 'zones: standing gangs stay' library/planner/moves.go '|| step.Gang ||' '||' ./library/planner 'TestDrainMoves'
try 'zones: teams above their cap do not move' library/planner/moves.go 'if pass.planner.withinCap(movableRun.step.job.Team, movableRun.step.Step, 0) {' 'if true {' ./library/planner 'TestDrainMoves'
try 'zones: room is kept during a move' library/planner/moves.go 'pass.reserved[move.target] = true' '' ./library/planner 'TestDrainMoves'
try 'zones: each move has a worker of its own' library/planner/moves.go 'pass.reserved[target.ID] = true' '' ./library/planner 'TestDrainMoves'
try 'zones: moved tasks start first' library/planner/moves.go 'pass.place(step)' '_ = step' ./library/planner 'TestDrainMoves'
try 'zones: permission outlasts the stop' library/planner/moves.go 'pass.now.Add(stopTime)' 'pass.now.Add(0 * stopTime)' ./library/planner 'TestDrainMoves'
try 'zones: permission is asked for before a move' library/planner/moves.go 'pass.queryPolicyFor(step, queue, 1)' '' ./library/planner 'TestDrainMoves'
try 'zones: jobs for drained zones are refused' daemon/scheduler/calls.go 'tenure.planner.JobDrained(job, queue.Service)' 'tenure.planner.JobDrained(job, queue.Service) && false' ./tests 'TestFleetDrain$'
try 'zones: jobs with a schedule are accepted' library/planner/drain.go ' || job.Runs > 0' '' ./library/planner 'TestDrainRefusals'
try 'zones: later steps are not refused' library/planner/drain.go 'len(step.DependsOn) == 0 && ' '' ./library/planner 'TestDrainRefusals'
try 'zones: states in heartbeats' daemon/scheduler/heartbeat.go 'host.learnDrains(heartbeat.Drains)' '' ./tests 'TestFleetDrainStoreFailures/deciderCutFromStore'
try 'zones: states in answers to heartbeats' daemon/scheduler/heartbeat.go 'host.learnDrains(answer.Drains)' '' ./tests 'TestFleetDrainStoreFailures/allButOneCutFromStore'
try 'zones: a new decider knows them' daemon/scheduler/tenure.go 'restored.SetDrainedZones(tenure.host.drains.Zones())' '' ./tests 'TestFleetDrainHostFailures'
try 'zones: the decider learns of changes' daemon/scheduler/drains.go 'tenure.planner.SetDrainedZones(tenure.host.drains.Zones())' '' ./tests 'TestFleetDrain$'
try 'zones: runs in drained zones on metrics' daemon/scheduler/drains.go 'metrics.drainedRuns.Reset()' '' ./daemon/scheduler 'TestDrainedRunsGauge'
try 'zones: last run is logged once' daemon/scheduler/drains.go 'empty[zone] && !drainWatch.empty[zone]' 'empty[zone]' ./daemon/scheduler 'TestDrainWatch'
try 'zones: explain prints a change once' command/cmd_explain.go '!printedDrains[change]' 'true' ./command 'TestExplainDrain'
try 'cold workers: urgent work prefers warm ones' library/placer/cost.go '{worker.Cold, coldCost}' '{false, coldCost}' ./library/planner 'TestColdWorkers'
try 'cold workers: other work in proportion' library/planner/warmup.go 'used.DominantShare(worker.Capacity) <= over' 'used.DominantShare(worker.Capacity) <= 1+over' ./library/planner 'TestColdWorkers'
try 'cold workers: a repeated registration changes nothing' library/planner/warmup.go 'if left == worker.ColdLeft && worker.Listed {' 'if false {' ./library/planner 'TestColdWorkers'
try 'cold workers: their run times do not count' library/planner/health.go 'if worker.cold(run.OrderedAt) {' 'if false {' ./library/planner 'TestColdWorkers'
try 'cold workers: time left is decoded' platform/translator/registration.go 'ColdLeft: decoded.ColdLeftMS.Duration' 'ColdLeft: 0' ./platform/translator 'TestWorkerEntry'
try 'run times: a change replaces former observations' library/estimator/distribution.go 'if certain.score < shiftThreshold {' 'if true {' ./library/estimator 'TestChange'
try 'run times: runs in progress count' library/estimator/distribution.go 'if math.Log(value) > distribution.longer.limitOr(limit) {' 'if math.IsNaN(limit) {' ./library/estimator 'TestRunning'
try 'run times: teams apart from each other' library/estimator/distribution.go 'share *= explained / square' '_ = explained' ./library/estimator 'TestTeams'
try 'run times: the narrower distribution' library/estimator/estimator.go 'if path.spread(ratiosNode, 0) <= path.spread(secondsNode, logEstimate)+relativeAccuracy {' 'if true {' ./library/estimator 'TestNarrowerDistribution'
try 'run times: impossible estimates' library/estimator/estimator.go 'return duration > 0 && duration <= maxRunTime' 'return true' ./library/estimator 'TestBadEstimates'
try 'run times: bounded memory' library/estimator/estimator.go 'estimator.evict()' '_ = estimator' ./library/estimator 'TestMemory'
try 'run times: snapshots of other versions' library/estimator/snapshot.go 'if header.Version != snapshotVersion {' 'if false {' ./library/estimator 'TestDamagedSnapshot'
try 'run times: size of a snapshot' library/estimator/snapshot.go 'if len(data)+len(",")+len(encoded)+len(end) > MaxSnapshotBytes {' 'if false {' ./library/estimator 'TestSnapshot'
try 'run times: resumed runs' library/planner/runtimes.go 'run.learning.resumed ||' '' ./library/planner 'TestLearnedRunTimes'
try 'run times: runs of an earlier planner' library/planner/runtimes.go '|| run.learning.restored' '' ./library/planner 'TestLearnedRunTimes'
try 'run times: runs in progress are observed' library/planner/plan.go 'planner.observeRunning(worker, run, now)' '' ./library/planner 'TestLearnedRunTimes'
try 'run times: high quantile for draining workers' library/planner/runtimes.go 'step.job.Team, highQuantile)
	return scaled' 'step.job.Team, medianQuantile)
	return scaled' ./library/planner 'TestLearnedEvacuation'
try 'run times: takeovers keep them' library/planner/runtimes.go 'planner.learned.estimator.Restore(record.Value)' 'error(nil)' ./library/planner 'TestEstimatesRecord'
try 'run times: interval of the record' library/planner/runtimes.go 'planner.now.Sub(learned.storedAt) < interval' 'interval < 0' ./library/planner 'TestEstimatesRecord'
try 'run times: first tasks on a worker' library/planner/runtimes.go 'max(1/float64(worker.health.speedRuns+1), slownessWeight)' 'slownessWeight' ./library/planner 'TestLearnedSpeed'
try 'run times: calibration' library/planner/runtimes.go 'if took <= run.learning.high {' 'if true {' ./library/planner 'TestLearnedCalibration'
try 'run times: whole hosts keep them' library/planner/restore.go 'planner.restoreEstimates(records)...)' 'nil...)' ./tests 'TestFleetRunTimes'
try 'run times: order of jobs' library/planner/health.go 'if planner.learned != nil {
		return planner.runTimeQuantile' 'if planner.learned != nil && step.EstimateMS == 0 {
		return planner.runTimeQuantile' ./library/planner 'TestLearnedLoad'
try 'shares: use that lowers weights' library/divider/divide.go 'lowerWeights(claims, demands)
	for' 'for' ./library/divider 'TestDivide'
try 'shares: caps' library/divider/divide.go '*amount = min(*amount, limit)' '_ = limit' ./library/divider 'TestDivide'
try 'shares: exhausted resources' library/divider/divide.go 'filling.shares[index] = filling.claims[index].weight * filling.level' 'filling.shares[index] = filling.claims[index].limit' ./library/divider 'TestDivide|TestDifferential'
try 'shares: room held by later classes' library/divider/divide.go 'fractions(pool.Held, pool.Capacity)' '[resources]float64{}' ./library/divider 'TestDivide'
try 'shares: by service' library/planner/shares.go 'return pass.belowPoolShare(step)' '_ = step' ./library/planner 'TestPoolShares'
try 'shares: teams below their shares by use' library/planner/place.go 'range pass.ordered(all[:count])' 'range all[:count]' ./library/planner 'TestNoisyNeighbor'
try 'shares: classes of priority' library/planner/pool_shares.go 'class := accountant.ClassOf(queue.Priority)' 'class := accountant.Classes - 1' ./library/planner 'TestPoolShares'
try 'shares: turns of teams with large tasks' library/planner/pool_shares.go 'charged.Recent(charged.class) < limit.Entitled' 'false' ./library/planner 'TestPoolShares'
try 'shares: silent workers are no capacity' library/planner/pool_shares.go ' || len(worker.Runs) == 0 && (worker.Draining || !planner.acceptsRuns(worker, now))' '' ./library/planner 'TestGiveBack'
try 'shares: room is given back' library/planner/preempt.go 'pass.giveBack(step, queue, waited)' '_ = waited' ./library/planner 'TestGiveBack'
try 'shares: givers keep their shares' library/planner/pool_shares.go 'if run.Stopping || left' 'if false && left' ./library/planner 'TestGiveBack'
try 'shares: bounded rate' library/planner/pool_shares.go 'pool.budget -=' '_ =' ./library/planner 'TestGiveBack'
try 'shares: least work lost first' library/placer/room.go 'cmp.Compare(a.Loss, b.Loss)' '0*cmp.Compare(a.Loss, b.Loss)' ./library/planner 'TestGiveBack'
try 'shares: only runs with checkpoints' library/planner/pool_shares.go 'step.Checkpoints && !step.Standing' '!step.Standing' ./library/planner 'TestGiveBack'
try 'shares: no standing tasks' library/planner/pool_shares.go '!step.Standing && ' '' ./library/planner 'TestGiveBack'
try 'shares: no gangs' library/planner/pool_shares.go ' && !step.Gang
	run.savedAt' '
	run.savedAt' ./library/planner 'TestGiveBack'
try 'shares: not for lower priorities' library/planner/pool_shares.go 'charged.class < step.charged.class || ' '' ./library/planner 'TestGiveBack'
try 'shares: runs that end soon' library/planner/pool_shares.go 'planner.expectedRest(run) > queue.TargetLatency' 'true' ./library/planner 'TestGiveBack'
try 'shares: futile searches' library/planner/pool_shares.go 'if pass.stopFor(step, queue, waited) {' 'if pass.stopFor(step, queue, waited) || true {' ./library/planner 'TestGiveBack'
try 'shares: workers for large tasks' library/planner/preempt.go 'max(limit, workers/reservedDivisor)' 'limit' ./library/planner 'TestLargestTenth'
try 'shares: reserved workers are left alone' library/placer/cost.go '{worker.KeptFree, keptFreeCost}' '{false, keptFreeCost}' ./library/planner 'TestLargestTenth'
try 'admission: refusal of what is too late' library/forecaster/forecaster.go 'verdict.Refused, verdict.Reason = true, PoolBusy' 'verdict.Refused, verdict.Reason = false, PoolBusy' ./library/forecaster 'TestMetastableFailure'
try 'admission: lower margin in a lasting overload' library/forecaster/forecaster.go 'if backlog.Pressed || backlog.Offered > pressedLoad*backlog.rate() {' 'if false {' ./library/forecaster 'TestMetastableFailure'
try 'admission: margin follows the offered load' library/forecaster/forecaster.go 'if backlog.Pressed || backlog.Offered > pressedLoad*backlog.rate() {' 'if backlog.Pressed {' ./library/forecaster 'TestMetastableFailure'
try 'admission: callers return one after another' library/forecaster/forecaster.go 'slot := max(verdict.Completion-verdict.Limit, backlog.Promised)' 'slot := verdict.Completion - verdict.Limit' ./library/forecaster 'TestThunderingHerd'
try 'admission: returning callers are spread' library/forecaster/forecaster.go 'slot + time.Duration(candidate.Jitter*float64(window))' 'slot' ./library/forecaster 'TestReturnsAreSpread'
try 'admission: shares protect from floods' library/forecaster/forecaster.go 'if backlog.Share > 0 {' 'if false {' ./library/forecaster 'TestNoisyNeighbor'
try 'admission: room that is free' library/forecaster/forecaster.go 'case capWait == 0 && Fits(backlog.Free, candidate.Ready):' 'case false:' ./library/forecaster 'TestProperties'
try 'admission: waiting work of capped teams' library/planner/admission.go 'if verdict.Refused && pool.capped {' 'if false {' ./library/planner 'TestAdmission'
try 'admission: bursts are no lasting load' library/planner/backlog.go 'max(0, accepted-backlog.Above.Seconds(pool.capacity)/acceptedSeconds)' 'accepted' ./library/planner 'TestAdmission'
try 'admission: room since the last rebuild' library/planner/admission.go 'backlog.Free = planner.freeNow(queue.Service, now)' '_ = queue' ./library/planner 'TestAdmission'
try 'admission: excess is behind the regular jobs' library/planner/admission.go 'rank.tier = tierExcess' '_ = excess' ./library/planner 'TestAdmission'
try 'admission: jobs accepted since the last plan' library/planner/backlog.go 'planner.addRecent(&backlog, service, job.Team, limit)' '' ./library/planner 'TestAdmission'
try 'admission: huge estimates' library/planner/admission.go 'return min(expected, maxMeanMultiple*mean)' 'return expected' ./library/planner 'TestAdmission'
try 'admission: new deciders accept all' library/forecaster/forecaster.go 'case backlog.Observed < MinObserved || ' 'case ' ./library/planner 'TestAdmissionAcceptsAll'
try 'admission: old backlogs refuse nothing' library/planner/admission.go ' || age > maxBacklogAge' '' ./library/planner 'TestAdmissionAcceptsAll'
try 'admission: lists that may be incomplete' library/planner/roster.go 'now.Sub(roster.since) < forecaster.MinObserved' 'false' ./library/planner 'TestUnservable'
try 'admission: workers that left' library/planner/roster.go 'if slices.ContainsFunc(sizes, capacity.Fits) {' 'sizes = nil
	if false {' ./library/planner 'TestUnservable'
try 'admission: refusals are confirmed' daemon/scheduler/admission.go 'if !tenure.confirmedSince(ctx, refusedAt) {' '_ = refusedAt
	if false {' ./tests 'TestFleetRefusalIsConfirmed'
try 'admission: callers are told when to return' daemon/scheduler/admission.go 'RetryAfter: refusal.RetryAfter}, nil' 'RetryAfter: time.Second}, nil' ./tests 'TestFleetOverload'
try 'slow deciders: late answers count' daemon/scheduler/decider_status.go 'deciderStatus.answeredAt.Store(int64(uptime))' 'if took < heartbeatTimeout {
		deciderStatus.answeredAt.Store(int64(uptime))
	}' ./tests 'TestFleetSlowDecider'
try 'slow deciders: a takeover gets time' daemon/scheduler/watch.go 'if sinceElection < takeoverTime {' 'if false {' ./tests 'TestFleetSlowDecider/fullLink/takeover'
try 'slow deciders: takeovers in a row' daemon/scheduler/decider_status.go 'deciderStatus.suspicions.Add(1)' '' ./daemon/scheduler 'TestSuspicionBackoff'
try 'slow deciders: a backoff ends' daemon/scheduler/decider_status.go 'if sinceElection >= shortTerm {' 'if false {' ./daemon/scheduler 'TestSuspicionBackoff'
try 'slow deciders: delay of the former one' daemon/scheduler/decider_status.go 'deciderStatus.answerTimeNS.Store(0)' '' ./daemon/scheduler 'TestFormerAnswerTime'
try 'slow links: delay in timeouts' daemon/scheduler/poller.go 'return min(answerLagTimeoutFactor*lag, maxLagTimeout)' 'return 0 * lag' ./daemon/scheduler 'TestLinkAllowance'
try 'slow links: replaced connections stay open' daemon/linker/pool.go 'time.AfterFunc(retirementTime, func()' 'time.AfterFunc(0, func()' ./daemon/linker 'TestReplacedConnection'
try 'slow links: connections have time to open' daemon/linker/pool.go 'connectTimeout = time.Second' 'connectTimeout = 300 * time.Millisecond' ./tests 'TestFleetSlowDecider/suddenDelay'
try 'slow links: runs that were not listed' library/planner/plan.go ' || now.Sub(run.readAt) > maxReadingAge' '' ./library/planner 'TestHangWithoutListings'
try 'overload: starts in flight shrink' library/throttler/window.go 'case congested && now.Sub(window.shrankAt) >= took:' 'case false:' ./library/throttler 'TestOverload'
try 'overload: slow stores do not shrink it' library/throttler/window.go 'case congested && ' 'case ' ./library/throttler 'TestOtherDelays'
try 'slowed processor: noticed soon' daemon/scheduler/speed.go 'speedWindow     = 500 * time.Millisecond' 'speedWindow     = 5 * time.Second' ./daemon/scheduler 'TestSpeed/lateTimers'
try 'slowed processor: one fast second' daemon/scheduler/speed.go 'speed.usual += (speed.least - speed.usual) / divisor' '_ = divisor
	speed.usual = min(speed.usual, speed.least)' ./daemon/scheduler 'TestSpeed/oneFastSecond'
try 'odd entries: addresses' platform/translator/registration.go 'if ip := parsed.Addr(); parsed.Port() == 0 ||' 'if ip := parsed.Addr(); false ||' ./platform/translator 'TestOddWorkerEntry'
try 'odd entries: elections' daemon/scheduler/fleet.go 'if election.Term > end {' 'if false {' ./tests 'TestFleetOddRecords'
try 'takeovers: a term settles once its predecessors are known' library/planner/settled.go 'planner.now.After(planner.former.RenewalsEnd)' 'planner.now.Sub(planner.startedAt) > planner.Settings.FormerRenewalWindow' ./library/planner 'TestClocks'
try 'takeovers: elections name the ones before them' daemon/scheduler/fleet.go '	}.withFormer(previous)' '	}
	_ = previous' ./tests 'TestFleetLastingTasks'
try 'takeovers: leases count from proofs' daemon/scheduler/quorum.go 'tenure.planner.SetLeaseBase(tenure.leaseBase(now))' 'tenure.planner.SetLeaseBase(now)' ./tests 'TestFleetRefusingCut'
try 'takeovers: the time of a lease is read first' daemon/scheduler/quorum.go '	return now
}

// leaseBase' '	return time.Now()
}

// leaseBase' ./daemon/scheduler 'TestLeaseTime'
try 'takeovers: refused connections prove nothing' daemon/scheduler/former.go '		return "", false
	case answer.BootID' '		return groundGone, true
	case answer.BootID' ./tests 'TestFleetRefusingCut'
try 'takeovers: released leases stay released' daemon/scheduler/quorum.go 'if tenure.releasedLeases() {' 'if false {' ./daemon/scheduler 'TestReleasedLeases'
try 'standbys: permission before the lease ends' library/planner/place.go '	pass.queryForStandbys()
	pass.endRounds()' '	pass.endRounds()' ./library/planner 'TestStandby'
try 'standbys: room is kept free' library/planner/standby.go '	pass.reserved[standby.target] = true' '' ./library/planner 'TestStandby'
try 'moves: off workers that leave' library/planner/moves.go '	pass.moveSome(pass.planner.runsOnLeavingWorkers(pass.now), urgent)' '' ./library/planner 'TestEvacuateStanding'
try 'moves: a target first' library/planner/moves.go '	if target == nil {' '	if false {' ./library/planner 'TestEvacuateStays'
try 'policy queries: through hosts that are present' daemon/scheduler/balancer.go 'case balancer.tenure.quorum.includes(member.Name):' 'case true:' ./daemon/scheduler 'TestQueriesAvoidAbsentHosts'
try 'crashing tasks: orders without an answer' library/planner/crashes.go 'Unanswered: !run.answered}' 'Unanswered: false}' ./library/planner 'TestCrashNeighbors'
try 'duplicate runs: answers to polls overtake each other' library/planner/runs.go '		if !run.Confirmed {
			run.Confirmed, run.ConfirmedAt, run.ProgressAt = true, now, now' '		if !run.Confirmed {
			run.Confirmed, run.ConfirmedAt, run.ProgressAt = true, listing.SentAt, now' ./library/planner 'TestOverlappingPolls'
try 'takeovers: only members support a decider' daemon/scheduler/heartbeat.go 'if known { // the quorum is counted over the members' 'if true {' ./tests 'TestFleetUnregisteredHost'
try 'takeovers: former deciders may know fewer hosts' daemon/scheduler/quorum.go 'blocked := 2*(hostCount-count) <= formerHostCount' 'blocked := 2*count >= hostCount' ./tests 'TestFleetUnknownHost'
try 'takeovers: appends confirm from their beginning' daemon/scheduler/journal.go 'tenure.confirmTerm(attempts.begunAt)' 'tenure.confirmTerm(sentAt)' ./daemon/scheduler 'TestRepeatedAppendConfirms'
try 'handover: no leases after it began' library/planner/handover.go 'return !planner.handingOver.begun && planner.handingOver.resumeBatch' 'return planner.handingOver.resumeBatch' ./library/planner 'TestHandover'
try 'handover: leases again only without the record' library/planner/handover.go ' && planner.handingOver.resumeBatch <= planner.storedBatch' '' ./library/planner 'TestHandover'
try 'handover: record of the term before only' library/planner/handover.go 'if handover.Term == planner.Settings.FormerTerm {' 'if true {' ./library/planner 'TestHandover'
try 'handover: times of the workers' library/planner/handover.go 'bounds := lessor.Bounds{Known: planner.inMS(leasesMS)}' 'bounds := lessor.Bounds{Known: planner.inMS(leasesMS + 3_600_000)}' ./library/planner 'TestHandover'
try 'handover: at shutdown' daemon/scheduler/handover.go '	tenure.awaitPlanner(ctx)
	tenure.beginHandover(ctx)' '	tenure.awaitPlanner(ctx)' ./tests 'TestFleetHandover'
try 'handover: a campaign under way' daemon/scheduler/host.go '	host.endCampaigns(ctx)
' '' ./tests 'TestFleetLastingTasks/plannedStopsAtOnce'
try 'handover: least term' daemon/scheduler/host.go '		tenure.awaitMinTerm(ctx)
' '' ./tests 'TestFleetLastingTasks/plannedStopsInARow'
try 'scarce: overdue jobs give way' library/planner/plan.go 'case left < (objective-remaining)/2:' 'case false:' ./library/planner 'TestScarceStarts'
try 'scarce: the newest overdue job first' library/planner/plan.go 'byDeadline = -byDeadline' 'byDeadline *= 1' ./library/planner 'TestScarceStarts|TestScarceOrder'
try 'gangs: a counted failure is stored' library/planner/journal.go 'progress.FailedNumber = step.gang.FailedNumber' 'progress.FailedNumber = 0' ./library/planner 'TestGangFailureAfterOtherEnds'
try 'gangs: failures of later runs count' library/tracker/tracker.go 'if number <= gang.FailedNumber {' 'if gang.FailedNumber > 0 {' ./library/planner 'TestGangFailuresCountOnce'
try 'gangs: failures of earlier releases' library/tracker/tracker.go 'gang.FailedNumber = lastNumber' 'gang.FailedNumber = 0' ./library/planner 'TestGangFailuresOfEarlierRelease'
try 'gangs: broken ones are stopped after a takeover' library/planner/gangs.go '			step.stopBroken(now)' '			_ = now' ./library/planner 'TestEndedGangIsStopped'
try 'gangs: done ones of which a part was stored' library/planner/gangs.go '				step.completeRestored()' '' ./library/planner 'TestHalfStoredGang'
try 'large jobs: the end of a job goes first' library/planner/journal.go '	if entry.state.Final() {
		ordered' '	if false {
		ordered' ./library/planner 'TestHalfStoredEnd'
try 'hangs: their number is stored' library/tracker/tracker.go 'progress.AddHangs(index, task.Hangs)' '' ./library/planner 'TestHangsAfterTakeover'
try 'hangs: stored with their part' library/planner/plan.go '		step.touch(run.Key.Index)
' '' ./library/planner 'TestHangWithLostStop'
try 'failed workers: stored' library/tracker/tracker.go 'progress.AddAvoided(index, task.Avoided)' '' ./library/planner 'TestFailedWorkersAfterTakeover'
try 'crashes: long runs are stored' library/planner/crashes.go '		run.sound = true
' '' ./library/planner 'TestLongRunsAfterTakeover'
try 'crashes: long runs are restored' library/planner/restore.go 'run.sound, run.answered = open.Sound, open.Sound' '' ./library/planner 'TestLongRunsAfterTakeover'
try 'crashes: long runs of parts' library/planner/crashes.go '		step.touch(run.Key.Index)
		planner.markDirty(step.job)
	}
}

// recordLoss' '		planner.markDirty(step.job)
	}
}

// recordLoss' ./library/planner 'TestLongRunsAfterTakeover'
try 'successor: failed runs of gangs' library/planner/gangs.go '			step.gang.RestoreFailedNumber(' '			step.gang.FailedNumber = 0
			step.gang.RestoreFailedNumber(0*' ./library/planner 'TestSuccessorProperty'
try 'successor: failures of tasks' library/tracker/tracker.go 'restored.Failures = stored.Failures[position]' '_ = restored' ./library/planner 'TestSuccessorProperty'
try 'successor: crashes' library/tracker/tracker.go 'task.Evidence.Crashes = crashes' '_ = crashes' ./library/planner 'TestSuccessorProperty'
try 'successor: runs of ended jobs' library/planner/journal.go '(!entry.hasOpenRuns() || entry.unstorable)' 'true' ./library/planner 'TestSuccessorProperty'
try 'stored jobs: size with what acceptance adds' library/planner/job.go 'accepted.AcceptedMS, accepted.Excess = maxDueMS, true' '' ./library/planner 'TestLargestJobs'
try 'stored jobs: no limits for new jobs' library/planner/job.go '	if err := job.checkFields(); err != nil {
		return Job{}, err' '	if err := job.Check(); err != nil {
		return Job{}, err' ./library/planner 'TestStoredJobsGoOn'
try 'clients: number of connections' daemon/acceptor/listener.go 'if listener.conns >= listener.limits.Conns {' 'if false {' ./daemon/acceptor 'TestOldestIsClosed'
try 'clients: served connections stay open' daemon/acceptor/handler.go '			conn.beginRequest()
' '' ./daemon/acceptor 'TestOldestIsClosed'
try 'clients: memory of heads' daemon/acceptor/heads.go 'for listener.headBytes > listener.limits.HeadBytes {' 'for false {' ./daemon/acceptor 'TestHeads'
try 'clients: short lines of heads' daemon/acceptor/heads.go 'costPerHeadLine*int64(' '0*int64(' ./daemon/acceptor 'TestHeads'
try 'clients: heads in a row' daemon/acceptor/conn.go 'conn.releaseHead(conn.head.cost - conn.head.latest)' 'conn.releaseHead(conn.head.cost)' ./daemon/acceptor 'TestHeads'
try 'clients: drained requests' daemon/acceptor/conn.go '!drainEnd.IsZero() &&' 'false && !drainEnd.IsZero() &&' ./daemon/acceptor 'TestDrain'
try 'clients: requests received during a drain' daemon/acceptor/conn.go '	if !conn.listener.drainEnd.IsZero() {
' '	if false {
' ./daemon/acceptor 'TestServedWhileDrained'
try 'clients: limits of each request' daemon/acceptor/conn.go 'case limits.Request != nil && !conn.limitHead(count):' 'case false:' ./daemon/acceptor 'TestRequestLimits'
try 'clients: unread bytes' daemon/acceptor/listener.go 'if limits.ReceiveBuffer > 0 {' 'if false {' ./daemon/acceptor 'TestReceiveBuffer'
try 'clients: room of small bodies' library/budgeter/budget.go '	return []*room{&budget.large}
' '	return []*room{&budget.large, &budget.small}
' ./library/budgeter 'TestLargeBodies'
try 'clients: late bodies give way' library/budgeter/budget.go 'if now.Sub(claim.since) < minEvictionAge {' 'if now.Sub(claim.since) < time.Hour {' ./library/budgeter 'TestLargeBodies'
try 'clients: arrived bodies stay' library/budgeter/budget.go '		claim.room.arriving.Remove(claim.element)
		claim.element = nil
	}
	return nil' '	}
	return nil' ./library/budgeter 'TestLargeBodies'
try 'clients: memory of bodies' library/receiver/receiver.go 'receiver.Budget.Claim(size*CostPerByte' 'receiver.Budget.Claim(0*size*CostPerByte' ./library/receiver 'TestNoMemory'
try 'clients: time of bodies' library/receiver/receiver.go 'time.Now().Add(timeout)' 'time.Now().Add(time.Hour + timeout)' ./library/receiver 'TestLate'
try 'clients: steps while they are decoded' platform/translator/submission.go 'if len(steps) == planner.MaxSteps {' 'if false {' ./platform/translator 'TestDecodingIsBounded'
try 'clients: dependencies while they are decoded' platform/translator/submission.go 'if bytes.Count(data' 'if false && bytes.Count(data' ./platform/translator 'TestDecodeSteps'
try 'clients: memory of decoded steps' platform/translator/ingress.go 'body.Reserve(memoryPerStep *' 'body.Reserve(0 * memoryPerStep *' ./platform/translator 'TestStepsTakeMemory'
try 'clients: busy answers to repeated calls' daemon/scheduler/hedged_calls.go 'if isBusy(answer.err) {' 'if false && isBusy(answer.err) {' ./daemon/scheduler 'TestBusyPeer'
try 'clients: memory of peers'"'"' submissions' daemon/scheduler/calls.go 'Claim(int64(len(body))*' 'Claim(0*int64(len(body))*' ./daemon/scheduler 'TestBusyDecider'
try 'clients: memory of jobs' library/planner/submission.go 'planner.jobBytes+job.memory() <= limit' 'true' ./library/planner 'TestJobsInMemory'
try 'clients: payloads of ended jobs' library/planner/journal.go '		planner.dropPayload(entry)
' '' ./library/planner 'TestJobsInMemory'
try 'clients: announced messages' daemon/linker/codec.go 'make([]byte, 0, min(size, firstBytes))' 'make([]byte, 0, size)' ./daemon/linker 'TestLargeMessages'
try 'clients: messages until they are answered' daemon/linker/codec.go '	if size > firstBytes {
' '	if false {
' ./daemon/linker 'TestLargeMessages'
try 'clients: open calls' daemon/linker/open_calls.go 'if openCalls.maxBytes == 0 ||' 'if true || openCalls.maxBytes == 0 ||' ./daemon/linker 'TestOpenCalls'
try 'clients: calls of closed connections' daemon/linker/open_calls.go '		connCalls.openCalls.awaitMemory()
' '' ./daemon/linker 'TestOpenCalls'
try 'clients: busiest peer' daemon/linker/open_calls.go 'conn.bytes > busiest.bytes' 'conn.bytes < busiest.bytes' ./daemon/linker 'TestOpenCalls'
try 'clients: jobs of a zone' daemon/server/job_memory.go 'if tenure.jobBytes+tenure.reservedBytes+bytes >' 'if false && tenure.jobBytes+tenure.reservedBytes+bytes >' ./daemon/server 'TestReserveMemory'
try 'clients: expired jobs' daemon/server/job_memory.go '	tenure.jobBytes = 0
' '' ./daemon/server 'TestCountMemory'
try 'clients: receive buffers' daemon/acceptor/listener.go '	if !hasFullBuffer {' '	if false && !hasFullBuffer {' ./daemon/acceptor 'TestReceiveBuffer'
try 'clients: receive buffers of peers' daemon/acceptor/shares.go '		ReceiveBuffer: peerReceiveBuffer,
' '' ./tests/crowder 'TestCrowds/manyPeersCalls'
try 'clients: receive buffers of uploads' daemon/server/client_limits.go '		ReceiveBuffer: streamBuffer,
' '' ./tests/crowder 'TestServerUploads'
try 'clients: receive buffers of answers' daemon/dialer/buffers.go '			capper.LimitReceived(conn, size)' '			_, _ = size, capper.LimitReceived' ./tests/crowder 'TestServerUploads'
try 'clients: answers that are not read' daemon/acceptor/listener.go '	capper.LimitUnsent(raw)' '' ./tests/crowder 'TestCrowds/unreadAnswers'
try 'clients: bodies that workers do not read' daemon/dialer/buffers.go '			capper.LimitUnsent(conn)' '' ./tests/crowder 'TestServerUploads'
try 'clients: jobs that callers read' daemon/server/job_reads.go 'bytes = min(bytes, server.jobAnswers.MaxBytes())' 'bytes = 0*bytes' ./tests/crowder 'TestServerJobReads'
try 'clients: submissions that were accepted' daemon/server/routes.go '	body.Close() // a' '	// a' ./tests/crowder 'TestServerUnreadSubmissions'
try 'clients: answers of keys' daemon/server/key_memory.go 'if tenure.keyBytes+answer.memory() >' 'if false && tenure.keyBytes+answer.memory() >' ./tests/crowder 'TestServerKeys'
try 'clients: idempotency keys' daemon/server/key_memory.go 'if tenure.keyBytes+state.memory() <=' 'if true || tenure.keyBytes+state.memory() <=' ./daemon/server 'TestKeyMemory'
try 'clients: resumable answers' daemon/acceptor/listener.go 'if element := listener.resumable.Front(); element != nil {' 'if element := listener.resumable.Front(); false && element != nil {' ./daemon/acceptor 'TestResumableAnswers'
try 'clients: unread answers' daemon/acceptor/listener.go 'if element := listener.writing.Front(); element != nil {' 'if element := listener.writing.Front(); false && element != nil {' ./daemon/acceptor 'TestUnreadAnswers'
try 'late orders: time left is checked before the end of a call' platform/translator/send_guard.go 'if sendGuard.timeLeft() <= 0 {' 'if false {' ./platform/translator 'TestSentInTime'
try 'late orders: the end of the time ends connecting' platform/translator/send_guard.go '		if guard.drop() {' '		if false {' ./platform/translator 'TestSentInTime'
try 'late orders: delegates bound calls' daemon/scheduler/delegate.go 'host.workers.Start(ctx, *call.Order, host.timeLeft(call.SendBy))' 'host.workers.Start(ctx, *call.Order, host.timeLeft(host.uptime()+call.Timeout))' ./daemon/scheduler 'TestDelegatedCallAge'
try 'late orders: on the whole path' daemon/scheduler/delegate.go 'host.workers.Start(ctx, *call.Order, host.timeLeft(call.SendBy))' 'host.workers.Start(ctx, *call.Order, host.timeLeft(host.uptime()+call.Timeout))' ./tests 'TestFleetLateOrders$'
try 'late orders: calls for another process' daemon/scheduler/delegate.go 'case calls.Boot != "" && calls.Boot != host.bootID:' 'case false:' ./daemon/scheduler 'TestDelegatedCallAge'
try 'late orders: orders of deciders of earlier releases' daemon/scheduler/delegate.go 'case calls.Boot == "" && slices' 'case false && slices' ./daemon/scheduler 'TestDelegatedCallAge'
try 'late orders: delegates of earlier releases' daemon/scheduler/delegator.go 'return delegate.clock.boot != ""' 'return true' ./daemon/scheduler 'TestDelegateOfEarlierRelease'
try 'late orders: clocks that drift' daemon/scheduler/peer_clock.go 'return peerClock.ahead - max(' 'return peerClock.ahead - 0*max(' ./daemon/scheduler 'TestPeerClock'
try 'late orders: uptimes that arrive late' daemon/scheduler/peer_clock.go 'ahead = max(ahead, peerClock.aheadAt(receivedAt))' '_ = peerClock.aheadAt' ./daemon/scheduler 'TestPeerClock'
try 'late orders: runs in flight stay open' library/planner/runs.go 'present[run.Key] == run.Number || run.InFlight' 'present[run.Key] == run.Number' ./library/planner 'TestOrderInFlight|TestInFlightProperty'
try 'late orders: orders of the former decider' library/planner/restore.go 'run.InFlight = planner.Settings.OrderTime > 0' 'run.InFlight = false' ./library/planner 'TestFormerOrders'
try 'late orders: orders of the former decider, whole path' daemon/scheduler/tenure.go 'OrderTime: startTimeout' 'OrderTime: 0' ./tests 'TestFleetLateOrdersAtTakeover'
try 'late orders: suspended deciders' daemon/timekeeper/suspensions.go 'total := suspensions.Read() - suspensions.before' 'total := 0 * (suspensions.Read() - suspensions.before)' ./daemon/scheduler 'TestSuspendedDecider'
try 'late orders: quorum after a suspension' daemon/scheduler/quorum.go 'total-quorum.suspendedBy >= timekeeper.MinSuspension' 'total != quorum.suspendedBy' ./daemon/scheduler 'TestQuorumAfterSuspension'
try 'waiting work: reserved for tasks that are disturbed' library/planner/obstacles.go 'case step.disturbedOnceEmptied(worker):' 'case false:' ./library/planner 'TestReservedInBusyService'
try 'waiting work: half of the workers are reserved' library/planner/preempt.go 'limit = min(limit, (workers+maxReservedDivisor-1)/maxReservedDivisor)' '' ./library/planner 'TestReservedInBusyService'
try 'waiting work: starts on reserved workers' library/planner/preempt.go 'return !step.blockedSince.IsZero() &&' 'return false && !step.blockedSince.IsZero() &&' ./library/planner 'TestWaitingWorkKeepsNoOneOut'
try 'waiting work: turns' library/planner/blocked.go 'if pool.turns >= maxTurns ||' 'if true || pool.turns >= maxTurns ||' ./library/planner 'TestWaitingWorkKeepsNoOneOut'
try 'waiting work: queries' library/planner/policy.go '!pass.couldStart(step, queue, worker) {' '!worker.hasLabel(step.Label) {' ./library/planner 'TestWaitingWorkLeavesQueries'
try 'waiting work: gangs reserve for all members' library/planner/preempt.go 'count = step.Count' 'count = 1' ./library/planner 'TestLargeWorkStarts'
try 'waiting work: serving tasks go before fillers' library/planner/preempt.go 'step.TailMS > 0 && pass.displaceFillers(step, queue)' 'false' ./library/planner 'TestServingTaskBesideFillers'
try 'foreign entries: successors have answered' library/planner/crashes.go 'return configured && !worker.AnsweredAt.IsZero()' 'return true || configured' ./library/planner 'TestForeignEntry'
try 'foreign entries: workers that answer' library/planner/crashes.go ' && worker.AnsweredAt.Before(other.firstListedAt)' '' ./library/planner 'TestForeignEntry'
try 'foreign calls: customer and queue' library/planner/reply.go 'entry.Queue == queue && (caller == nil || caller.owns(entry.Team))' 'true' ./tests 'TestFleetForeignCalls'
try 'waiting work: fillers stay away from where they were stopped' library/planner/obstacles.go ' || pass.now.Before(worker.fillersBarredUntil))' ')' ./library/planner 'TestServingTaskBesideFillers'
try 'waiting work: lasting fillers make room' library/planner/displace.go 'obstacle == obstacleNone || obstacle == obstacleDisturbed' 'obstacle == obstacleNone' ./library/planner 'TestServingTaskBesideLastingFillers'
try 'waiting work: searches for room have turns' library/planner/blocked.go 'pool.searchTurns < maxSearchTurns && step' 'false && step' ./library/planner 'TestServingTaskBehindOthers'
try 'waiting work: lasting steps start on reserved workers' library/planner/preempt.go '(step.Standing || pass.pool(service).isLightlyUsed())' 'pass.pool(service).isLightlyUsed()' ./library/planner 'TestServingTaskBehindOthers'
try 'late orders: deciders that stood still' daemon/scheduler/poller.go 'now.Sub(tenure.leaseBase(now)) <= maxStartProofAge+tenure.answerAllowance()' 'true' ./daemon/scheduler 'TestOrderNeedsFreshProof'
try 'former life: kept after a further fence' 'library/lessor/leases.go' 'leases.earlier = leases.earlier.Later(leases.formerLease(now))' 'leases.earlier = leases.formerLease(now)' './library/lessor' 'TestExpiry'
try 'former life: a young life is read' 'library/lessor/leases.go' 'if !leases.read && !settled {' 'if false {' './library/planner' 'TestLeasesOfNextLife'
try 'former life: runs that a successor does not know' 'library/lessor/leases.go' 'if sight == Inherited {' 'if false {' './library/planner' 'TestLeasesOfNextLife'
try 'former life: calls that may still be executed' 'library/lessor/leases.go' 'if leases.requestedAt.IsZero() {' 'if true {' './library/planner' 'TestLeasesOfNextLife'
try 'former life: nothing is shown by a young clock' 'library/lessor/leases.go' 'clockMS > now.Sub(leases.shownAt).Milliseconds()' 'true' './library/lessor' 'TestShowsLife'
try 'former life: settled runs are stored' 'library/planner/lives.go' 'run.settled = true' 'run.settled = false' './library/planner' 'TestTakeover'
try 'former life: calls given up are reset' 'daemon/scheduler/host.go' 'network.Resetting().Metered(' 'network.Metered(' './tests' 'TestFleetFormerLifeCalls'
try 'former life: a clock that nobody has read' 'library/decider/systems.go' ' || worker.Boot == ""' '' './library/decider' 'TestUnconfirmedOnUnreadWorker'
try 'former life: lease from the first report on' 'library/decider/report.go' 'task.Grant.LeaseEnd = report.Clock + decider' 'task.Grant.LeaseEnd += 0*decider' './library/decider' 'TestUnconfirmedOnUnreadWorker'
try 'former life: standing runs are settled once accepted' 'library/planner/runs.go' '		planner.recordSettled(worker, run)
	case worker' '	case worker' './library/planner' 'TestTakeover/standing'
exit $failed
