package decider

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

var (
	oneCore  = sizer.Size{MilliCores: 1000, MemoryMB: 100}
	fourCore = sizer.Size{MilliCores: 4000, MemoryMB: 4096}
)

// unlimitedTeam returns a team without an upper limit.
func unlimitedTeam(name string, share float64) TeamInfo { return TeamInfo{Name: name, Share: share} }

func newWork(id, team string, class Class, size sizer.Size) Work {
	return Work{ID: id, Team: team, Service: "fast", Queue: "q", Class: class, Size: size}
}

// step advances the clock, lets all workers report and runs a tick.
func (harness *harness) step(duration time.Duration) []Effect {
	harness.now = harness.now.Add(duration)
	harness.reportAll()
	return harness.Tick(harness.now)
}

// endings returns the endings of the attempts among the effects, by work ID.
func endings(effects []Effect) map[string]Ending {
	found := map[string]Ending{}
	for _, effect := range effects {
		if ended, ok := effect.(Ended); ok {
			found[ended.Work.ID] = ended.Ending
		}
	}
	return found
}

func stops(effects []Effect) []Stop {
	var found []Stop
	for _, effect := range effects {
		if stop, ok := effect.(Stop); ok {
			found = append(found, stop)
		}
	}
	return found
}

func assertGrants(t *testing.T, effects []Effect, want int) [][2]string {
	t.Helper()
	found := grants(effects)
	if len(found) != want {
		t.Fatalf("granted %v, want %d", found, want)
	}
	return found
}

func (harness *harness) used(team string) int64 { return harness.ensureTeam(team).Used.MilliCores }

// TestStartWithUnknownOutcome guards against a second run of a task whose start is delayed on its way to the worker. While
// the worker can still accept the start, a report without the task must not free its capacity; afterwards the
// attempt ends as NeverRan.
func TestStartWithUnknownOutcome(t *testing.T) {
	harness := newHarness(plainSettings(), 1, fourCore)
	harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
	harness.Enqueue(newWork("x", "one", Interactive, oneCore), harness.now)
	assertGrants(t, harness.step(time.Millisecond), 1)
	reportNothing := func(duration time.Duration) []Effect {
		harness.now = harness.now.Add(duration)
		harness.ApplyReport("w000", Report{Boot: "1", Clock: harness.now.Sub(epoch).Milliseconds(), Term: harness.Term}, harness.now)
		return harness.Tick(harness.now)
	}
	if ended := endings(reportNothing(time.Second)); len(ended) != 0 || harness.used("one") != 1000 {
		t.Errorf("before the start timeout: ended %v, used %d", ended, harness.used("one"))
	}
	if ended := endings(reportNothing(2 * time.Second)); ended["x"] != NeverRan || harness.used("one") != 0 {
		t.Errorf("after the start timeout: ended %v, used %d", ended, harness.used("one"))
	}
}

// TestGrantIsFenced checks each reason for which a worker refuses a start: a sender that paused until the grant
// expired, a later decider, a worker that accepted no term, and a worker that rebooted.
func TestGrantIsFenced(t *testing.T) {
	grant := fencer.Grant{Task: "x", Boot: "1", Term: fencer.Term{Number: 1, Holder: "h"}, NotAfter: 100, LeaseEnd: 200}
	later := grant.Term.Next("other")
	cases := map[string]struct {
		got  fencer.Refusal
		want fencer.Refusal
	}{
		"inTime":      {fencer.Check(grant, grant.Term, "1", 100), fencer.Accepted},
		"pausedSend":  {fencer.Check(grant, grant.Term, "1", 101), fencer.Expired},
		"superseded":  {fencer.Check(grant, later, "1", 1), fencer.Fenced},
		"notYetOwned": {fencer.Check(grant, fencer.Term{}, "1", 1), fencer.Fenced},
		"replaced":    {fencer.Check(grant, grant.Term, "2", 1), fencer.Rebooted},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			if test.got != test.want {
				t.Errorf("refusal %q, want %q", test.got, test.want)
			}
		})
	}
}

// TestUnknownTeam checks that no task of a team that is not configured starts, whichever resource it takes.
func TestUnknownTeam(t *testing.T) {
	for name, size := range map[string]sizer.Size{"cores": {MilliCores: 1000}, "memory": {MemoryMB: 100}, "accelerators": {Accelerators: 1}} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(plainSettings(), 1, sizer.Size{MilliCores: 4000, MemoryMB: 8000, Accelerators: 4})
			harness.Enqueue(newWork("x", "nobody", Batch, size), harness.now)
			assertGrants(t, harness.step(time.Millisecond), 0)
		})
	}
}

// TestRebootedWorker guards against errors after a worker restarts under a new boot ID and has not reported its
// tasks again. Such a task may still run, so it counts against its team until its lease ends or the worker reports
// it. The new boot must not be claimed before other workers confirm the term.
func TestRebootedWorker(t *testing.T) {
	start := func(t *testing.T) *harness {
		harness := newHarness(plainSettings(), 1, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
		harness.Enqueue(newWork("x", "one", Batch, oneCore), harness.now)
		assertGrants(t, harness.step(time.Millisecond), 1)
		return harness
	}
	report := func(harness *harness, clock int64, tasks ...TaskReport) []Effect {
		harness.ApplyReport("w000", Report{Boot: "2", Clock: clock, Term: harness.Term, Tasks: tasks}, harness.now)
		return harness.Tick(harness.now)
	}
	t.Run("unreportedTaskCountsUntilItsLeaseEnds", func(t *testing.T) {
		harness := start(t)
		if ended := endings(report(harness, 10)); len(ended) != 0 || harness.used("one") != 1000 {
			t.Errorf("ended %v, used %d", ended, harness.used("one"))
		}
		after := harness.Settings.TaskLeaseDuration.Milliseconds() + leaseGuardMS + 11
		if ended := endings(report(harness, after)); ended["x"] != Vanished || harness.used("one") != 0 {
			t.Errorf("ended %v, used %d", ended, harness.used("one"))
		}
	})
	t.Run("lateReportKeepsTheTask", func(t *testing.T) {
		harness := start(t)
		report(harness, 10)
		label, err := Label(newWork("x", "one", Batch, oneCore))
		if err != nil {
			t.Fatal(err)
		}
		report(harness, 20, TaskReport{ID: "x~1.1", Label: label, Size: oneCore, Running: true})
		if task, known := harness.Lookup("x"); !known || task.State != Running || harness.used("one") != 1000 {
			t.Errorf("task %+v known %v, used %d", task, known, harness.used("one"))
		}
	})
	t.Run("newBootIsClaimedOnlyAfterOthersConfirm", func(t *testing.T) {
		harness := newHarness(plainSettings(), 3, fourCore)
		harness.now = harness.now.Add(time.Second)
		harness.ApplyReport("w000", Report{Boot: "2", Clock: 1}, harness.now)
		if claim, _ := harness.NextClaim("w000", harness.now); claim.Boot == "" {
			t.Error("the new boot is claimed before any other worker confirmed the term")
		}
		harness.now = harness.now.Add(time.Second)
		harness.ApplyReport("w001", Report{Boot: "1", Clock: 2000, Term: harness.Term}, harness.now)
		if claim, _ := harness.NextClaim("w000", harness.now); claim.Boot != "" {
			t.Error("the new boot is not claimed although another worker confirmed the term")
		}
	})
}

// TestUnclaimedWorkersCountAsFull guards against a team that exceeds its limit through tasks that run unreported
// on workers that the decider has not claimed.
func TestUnclaimedWorkersCountAsFull(t *testing.T) {
	harness := newHarness(plainSettings(), 3, fourCore)
	harness.SetTeams([]TeamInfo{{Name: "one", Share: 1, Limit: sizer.Size{MilliCores: 1}, Slice: sizer.Size{MilliCores: 6000}}})
	harness.ApplyReport("w002", Report{Boot: "1", Clock: 1}, harness.now)
	for number := range 6 {
		harness.Enqueue(newWork(fmt.Sprint("x", number), "one", Batch, oneCore), harness.now)
	}
	assertGrants(t, harness.Tick(harness.now), 2)
}

// TestGangs guards against gangs that start in part, against a deadlock of two gangs that each reserve a part of the
// workers that both need, and against a gang that lost a reserved worker and reserves no other.
func TestGangs(t *testing.T) {
	enqueueGang := func(harness *harness, job string, size sizer.Size, count int) {
		for number := range count {
			member := newWork(fmt.Sprintf("%s_%d", job, number), "one", Batch, size)
			member.Job, member.Gang = job, count
			harness.Enqueue(member, harness.now)
		}
	}
	t.Run("allOrNone", func(t *testing.T) {
		harness := newHarness(plainSettings(), 2, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
		enqueueGang(harness, "big", sizer.Size{MilliCores: 3000, MemoryMB: 1}, 3)
		assertGrants(t, harness.step(time.Second), 0)
		enqueueGang(harness, "small", sizer.Size{MilliCores: 3000, MemoryMB: 1}, 2)
		assertGrants(t, harness.step(time.Second), 2)
	})
	t.Run("twoGangsDoNotBlockEachOther", func(t *testing.T) {
		harness := newHarness(DefaultSettings(), 4, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1), unlimitedTeam("two", 1)})
		running := startFillers(harness, 16)
		enqueueGang(harness, "first", fourCore, 4)
		enqueueGang(harness, "second", fourCore, 4)
		started := 0
		for range 200 {
			started += len(grants(harness.step(500 * time.Millisecond)))
			if len(running) > 0 {
				harness.EndAttempt(running[0], Completed, 200, harness.now)
				running = running[1:]
			}
			for _, task := range harness.Tasks() {
				if task.State != Queued && harness.now.Sub(task.GrantedAt) > 5*time.Second && task.Gang > 0 {
					harness.EndAttempt(task.Grant.Task, Completed, 200, harness.now)
				}
			}
		}
		if started != 8 {
			t.Errorf("%d of 8 members started", started)
		}
	})
	for name, lose := range map[string]func(*harness, string){"reservedWorkerIsLost": removeWorker, "reservedWorkerLeaves": setLeaving} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(DefaultSettings(), 3, fourCore)
			harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1), unlimitedTeam("two", 1)})
			startFillers(harness, 12)
			enqueueGang(harness, "gang", fourCore, 2)
			harness.step(DefaultSettings().ReservationDelay)
			reserved := reservedWorkers(harness, "gang")
			if len(reserved) != 2 {
				t.Fatalf("workers %v are reserved, want 2", reserved)
			}
			lose(harness, reserved[0])
			harness.step(time.Second)
			harness.step(time.Second)
			if reserved := reservedWorkers(harness, "gang"); len(reserved) != 2 {
				t.Errorf("workers %v are reserved, want the 2 that are left", reserved)
			}
		})
	}
}

// reservedWorkers returns the usable workers that are reserved for a holder.
func reservedWorkers(harness *harness, holder string) []string {
	var names []string
	for _, name := range harness.workerNames {
		worker := harness.workers[name]
		if worker.reserved != nil && worker.reserved.holder == holder && worker.Usable(harness.now) {
			names = append(names, name)
		}
	}
	return names
}

// removeWorker removes a worker from the list of the zone's workers.
func removeWorker(harness *harness, name string) {
	harness.infos = slices.DeleteFunc(harness.infos, func(info WorkerInfo) bool { return info.Name == name })
	harness.SetWorkers(harness.infos, harness.now)
}

// setLeaving marks a worker as leaving in the list of the zone's workers.
func setLeaving(harness *harness, name string) {
	for index := range harness.infos {
		harness.infos[index].Leaving = harness.infos[index].Leaving || harness.infos[index].Name == name
	}
	harness.SetWorkers(harness.infos, harness.now)
}

// startFillers starts one-core tasks of team two with an expected run time of one second, and returns their task
// IDs.
func startFillers(harness *harness, count int) []string {
	for number := range count {
		filler := newWork(fmt.Sprint("fill", number), "two", Batch, oneCore)
		filler.Idempotent = true
		harness.Enqueue(filler, harness.now)
	}
	var ids []string
	for _, effect := range harness.Tick(harness.now) {
		if start, ok := effect.(Start); ok {
			ids = append(ids, start.Grant.Task)
		}
	}
	harness.reportAll()
	return ids
}

// TestReservation guards against the starvation of a large task by a stream of small ones, and against a large task
// that keeps waiting for a reserved worker whose running task exceeds its declared run time.
func TestReservation(t *testing.T) {
	t.Run("largeTaskIsNotStarvedBySmallOnes", func(t *testing.T) {
		harness := newHarness(DefaultSettings(), 2, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1), unlimitedTeam("two", 1)})
		startFillers(harness, 8)
		harness.Enqueue(newWork("large", "one", Batch, fourCore), harness.now)
		placed := false
		for number := range 400 {
			small := newWork(fmt.Sprint("small", number), "two", Batch, oneCore)
			harness.Enqueue(small, harness.now)
			for _, grant := range grants(harness.step(250 * time.Millisecond)) {
				placed = placed || grant[0] == "large"
			}
			for _, task := range harness.Tasks() {
				if task.State != Queued && harness.now.Sub(task.GrantedAt) >= 2*time.Second {
					harness.EndAttempt(task.Grant.Task, Completed, 200, harness.now)
				}
			}
		}
		if !placed {
			t.Error("the large task never started")
		}
	})
	t.Run("movesAwayFromATaskThatExceedsItsDeclaredRunTime", func(t *testing.T) {
		harness := newHarness(DefaultSettings(), 2, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
		for number, expected := range []time.Duration{time.Minute, 2 * time.Minute} {
			blocker := newWork(fmt.Sprint("blocker", number), "one", Batch, fourCore)
			blocker.Expected = expected
			harness.Enqueue(blocker, harness.now)
		}
		blockers := assertGrants(t, harness.step(time.Millisecond), 2)
		harness.Enqueue(newWork("large", "one", Batch, fourCore), harness.now)
		for range 20 * 60 {
			harness.step(time.Second)
		}
		reserved := ""
		for _, row := range harness.Workers() {
			if row.reserved != nil {
				reserved = row.Name
			}
		}
		if reserved == "" {
			t.Fatal("nothing is reserved")
		}
		task, _ := harness.Lookup(blockers[1][0])
		harness.EndAttempt(task.Grant.Task, Completed, 200, harness.now)
		placed := false
		for range 5 {
			placed = placed || len(grants(harness.step(time.Second))) > 0
		}
		if !placed {
			t.Error("the large task waits for the reserved worker although another worker is free")
		}
	})
}

// TestPreemption checks that urgent work and teams below their shares get capacity from standing work by
// checkpoint, and that requests are never stopped for other work.
func TestPreemption(t *testing.T) {
	settings := DefaultSettings()
	startStanding := func(harness *harness, resumable bool) {
		for number := range 8 {
			service := newWork(fmt.Sprint("standing", number), "two", Standing, oneCore)
			service.Job, service.Resumable, service.Idempotent = "j", resumable, true
			harness.Enqueue(service, harness.now)
		}
		harness.Tick(harness.now)
		harness.reportAll()
	}
	t.Run("urgentWorkFindsRoomAmongStandingServices", func(t *testing.T) {
		harness := newHarness(settings, 2, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1), unlimitedTeam("two", 1)})
		startStanding(harness, true)
		harness.Enqueue(newWork("urgent", "one", Urgent, oneCore), harness.now)
		stopped := append(stops(harness.step(time.Millisecond)), stops(harness.step(settings.PreemptionDelay))...)
		if len(stopped) != 1 || !stopped[0].Checkpoint {
			t.Fatalf("stopped %+v, want one checkpoint", stopped)
		}
		harness.EndAttempt(stopped[0].Task, Stopped, 0, harness.now)
		if found := assertGrants(t, harness.step(time.Millisecond), 1); found[0][0] != "urgent" {
			t.Errorf("granted %v", found)
		}
	})
	t.Run("requestsAreNeverPreempted", func(t *testing.T) {
		harness := newHarness(settings, 1, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1), unlimitedTeam("two", 1)})
		for number := range 4 {
			request := newWork(fmt.Sprint("r", number), "two", Batch, oneCore)
			request.Origin, request.Idempotent = "entry", true
			harness.Enqueue(request, harness.now)
		}
		harness.Tick(harness.now)
		harness.Enqueue(newWork("urgent", "one", Urgent, oneCore), harness.now)
		for range 20 {
			if stopped := stops(harness.step(time.Second)); len(stopped) != 0 {
				t.Fatalf("stopped %+v", stopped)
			}
		}
	})
	t.Run("teamBelowItsShareReclaimsCapacity", func(t *testing.T) {
		harness := newHarness(settings, 2, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1), unlimitedTeam("two", 1)})
		startStanding(harness, true)
		for number := range 4 {
			harness.Enqueue(newWork(fmt.Sprint("own", number), "one", Batch, oneCore), harness.now)
		}
		started := 0
		for range 60 {
			effects := harness.step(500 * time.Millisecond)
			for _, stop := range stops(effects) {
				harness.EndAttempt(stop.Task, Stopped, 0, harness.now)
			}
			started += len(grants(effects))
		}
		if harness.used("one") != 4000 || started != 4 {
			t.Errorf("team one runs %d millicores after %d starts, its half is 4000", harness.used("one"), started)
		}
	})
}

// TestHealth checks that a worker that fails every task is quarantined and then gets one probe task, and that a job
// that fails on every worker does not quarantine the workers.
func TestHealth(t *testing.T) {
	failRepeatedly := func(harness *harness, id string, attempts int) {
		item := newWork(id, "one", Batch, oneCore)
		for range attempts {
			harness.Enqueue(item, harness.now)
			for _, effect := range harness.step(time.Millisecond) {
				if start, ok := effect.(Start); ok {
					item.Avoid = append(item.Avoid, start.Grant.Worker)
					harness.EndAttempt(start.Grant.Task, Failed, 500, harness.now)
				}
			}
			harness.Tick(harness.now)
		}
	}
	usable := func(harness *harness) int {
		count := 0
		for _, row := range harness.Workers() {
			if row.Usable(harness.now) {
				count++
			}
		}
		return count
	}
	t.Run("failingWorkerIsQuarantinedAndProbed", func(t *testing.T) {
		harness := newHarness(plainSettings(), 1, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
		for number := range failuresToQuarantine {
			failRepeatedly(harness, fmt.Sprint("x", number), 1)
		}
		if usable(harness) != 0 {
			t.Fatal("the worker is still used")
		}
		harness.now = harness.now.Add(initialQuarantine + time.Second)
		for number := range 3 {
			harness.Enqueue(newWork(fmt.Sprint("y", number), "one", Batch, oneCore), harness.now)
		}
		assertGrants(t, harness.step(time.Millisecond), 1)
	})
	t.Run("failingJobDoesNotQuarantineWorkers", func(t *testing.T) {
		harness := newHarness(plainSettings(), 4, fourCore)
		harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
		for number := range 10 {
			failRepeatedly(harness, fmt.Sprint("bad", number), minFailedWorkers)
		}
		if usable(harness) != 4 {
			t.Errorf("%d of 4 workers are used", usable(harness))
		}
	})
}

// TestFloodOfOneTeam guards against a team that delays the others by a large queue: the next free capacity goes to
// the teams below their shares.
func TestFloodOfOneTeam(t *testing.T) {
	harness := newHarness(plainSettings(), 4, fourCore)
	harness.SetTeams([]TeamInfo{unlimitedTeam("flood", 1), unlimitedTeam("one", 1), unlimitedTeam("two", 1)})
	for number := range 2000 {
		harness.Enqueue(newWork(fmt.Sprint("flood", number), "flood", Interactive, oneCore), harness.now)
	}
	harness.Tick(harness.now)
	for number := range 4 {
		harness.Enqueue(newWork(fmt.Sprint("a", number), "one", Interactive, oneCore), harness.now)
		harness.Enqueue(newWork(fmt.Sprint("b", number), "two", Interactive, oneCore), harness.now)
	}
	completed := 0
	for _, task := range harness.Tasks() {
		if task.State == Granted && completed < 8 {
			harness.EndAttempt(task.Grant.Task, Completed, 200, harness.now)
			completed++
		}
	}
	found := grants(harness.Tick(harness.now))
	others := 0
	for _, grant := range found {
		if grant[0][0] != 'f' {
			others++
		}
	}
	if others != 8 {
		t.Errorf("%d of the next 8 grants went to the teams below their shares: %v", others, found)
	}
}

// TestRemovedTeamStartsNothingMore guards against starts for a team that the configuration no longer has. Its running
// task still counts.
func TestRemovedTeamStartsNothingMore(t *testing.T) {
	harness := newHarness(plainSettings(), 1, fourCore)
	harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
	harness.Enqueue(newWork("x", "one", Batch, oneCore), harness.now)
	assertGrants(t, harness.step(time.Millisecond), 1)
	harness.SetTeams(nil)
	harness.Enqueue(newWork("y", "one", Batch, oneCore), harness.now)
	assertGrants(t, harness.step(time.Millisecond), 0)
	if harness.used("one") != 1000 {
		t.Errorf("used %d: the running task has to count", harness.used("one"))
	}
}

// TestWaveOfCancellations guards against a cancellation cost that grows with the length of the queue, and against
// canceled work that stays in the tables.
func TestWaveOfCancellations(t *testing.T) {
	const workCount = 10_000
	harness := newHarness(plainSettings(), 1, fourCore)
	harness.SetTeams([]TeamInfo{unlimitedTeam("one", 1)})
	for number := range workCount {
		harness.Enqueue(newWork(fmt.Sprint("x", number), "one", Batch, oneCore), harness.now)
	}
	allocations := testing.AllocsPerRun(1, func() {
		for number := range workCount {
			harness.Cancel(fmt.Sprint("x", number))
		}
	})
	if perWork := allocations / workCount; perWork > 4 {
		t.Errorf("%.1f allocations per canceled work item", perWork)
	}
	examined := harness.Counters.Examined
	harness.step(time.Millisecond)
	if len(harness.Tasks()) != 0 || harness.Counters.Examined != examined {
		t.Errorf("%d tasks left, %d workers examined", len(harness.Tasks()), harness.Counters.Examined-examined)
	}
}
