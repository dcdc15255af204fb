package decider

import (
	"fmt"
	"testing"
	"time"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/sizer"
)

var (
	oneCore  = sizer.Size{MilliCores: 1000, MemoryMB: 100}
	fourCore = sizer.Size{MilliCores: 4000, MemoryMB: 4096}
)

// open is a team without an upper limit.
func open(name string, share float64) TeamInfo { return TeamInfo{Name: name, Share: share} }

func work(id, team string, class Class, size sizer.Size) Work {
	return Work{ID: id, Team: team, Service: "fast", Queue: "q", Class: class, Size: size}
}

// step advances the clock, lets the workers report, and ticks.
func (bench *bench) step(span time.Duration) []Effect {
	bench.now = bench.now.Add(span)
	bench.claim()
	return bench.Tick(bench.now)
}

func ends(effects []Effect) map[string]Ending {
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

func (bench *bench) used(team string) int64 { return bench.team(team).Used.MilliCores }

func TestStartInDoubt(t *testing.T) {
	made := newBench(plainSettings(), 1, fourCore)
	made.SetTeams([]TeamInfo{open("one", 1)})
	made.Enqueue(work("x", "one", Interactive, oneCore), made.now)
	assertGrants(t, made.step(time.Millisecond), 1)
	silent := func(span time.Duration) []Effect {
		made.now = made.now.Add(span)
		made.Reported("w000", Report{Boot: "1", Clock: made.now.Sub(epoch).Milliseconds(), Term: made.Term}, made.now)
		return made.Tick(made.now)
	}
	if ended := ends(silent(time.Second)); len(ended) != 0 || made.used("one") != 1000 {
		t.Errorf("inside the start window: ended %v, used %d", ended, made.used("one"))
	}
	if ended := ends(silent(2 * time.Second)); ended["x"] != NeverRan || made.used("one") != 0 {
		t.Errorf("after the window: ended %v, used %d", ended, made.used("one"))
	}
}

func TestGrantIsFenced(t *testing.T) {
	grant := fencer.Grant{Task: "x", Boot: "1", Term: fencer.Term{Number: 1, Holder: "h"}, NotAfter: 100, Lease: 200}
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

func TestRebootedWorker(t *testing.T) {
	start := func(t *testing.T) *bench {
		made := newBench(plainSettings(), 1, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1)})
		made.Enqueue(work("x", "one", Batch, oneCore), made.now)
		assertGrants(t, made.step(time.Millisecond), 1)
		return made
	}
	report := func(made *bench, clock int64, tasks ...Reported) []Effect {
		made.Reported("w000", Report{Boot: "2", Clock: clock, Term: made.Term, Whole: true, Tasks: tasks}, made.now)
		return made.Tick(made.now)
	}
	t.Run("forgottenTaskCountsUntilItsLeaseEnds", func(t *testing.T) {
		made := start(t)
		if ended := ends(report(made, 10)); len(ended) != 0 || made.used("one") != 1000 {
			t.Errorf("ended %v, used %d", ended, made.used("one"))
		}
		after := made.Settings.TaskLease.Milliseconds() + leaseGuardMS + 11
		if ended := ends(report(made, after)); ended["x"] != Vanished || made.used("one") != 0 {
			t.Errorf("ended %v, used %d", ended, made.used("one"))
		}
	})
	t.Run("lateReportKeepsTheTask", func(t *testing.T) {
		made := start(t)
		report(made, 10)
		label, err := Label(work("x", "one", Batch, oneCore))
		if err != nil {
			t.Fatal(err)
		}
		report(made, 20, Reported{ID: "x~1.1", Label: label, Size: oneCore, Running: true})
		if task, known := made.Lookup("x"); !known || task.State != Running || made.used("one") != 1000 {
			t.Errorf("task %+v known %v, used %d", task, known, made.used("one"))
		}
	})
	t.Run("newBootIsClaimedOnlyAfterOthersConfirm", func(t *testing.T) {
		made := newBench(plainSettings(), 3, fourCore)
		made.now = made.now.Add(time.Second)
		made.Reported("w000", Report{Boot: "2", Clock: 1}, made.now)
		if claim, _ := made.NextClaim("w000", made.now); claim.Boot == "" {
			t.Error("the new boot is claimed before any other worker confirmed the term")
		}
		made.now = made.now.Add(time.Second)
		made.Reported("w001", Report{Boot: "1", Clock: 2000, Term: made.Term}, made.now)
		if claim, _ := made.NextClaim("w000", made.now); claim.Boot != "" {
			t.Error("the new boot is not claimed although another worker confirmed the term")
		}
	})
}

func TestUnclaimedWorkersCountAsFull(t *testing.T) {
	made := newBench(plainSettings(), 3, fourCore)
	made.SetTeams([]TeamInfo{{Name: "one", Share: 1, Caps: sizer.Size{MilliCores: 1}, Slice: sizer.Size{MilliCores: 6000}}})
	made.Reported("w002", Report{Boot: "1", Clock: 1}, made.now)
	for number := range 6 {
		made.Enqueue(work(fmt.Sprint("x", number), "one", Batch, oneCore), made.now)
	}
	assertGrants(t, made.Tick(made.now), 2)
}

func TestGangs(t *testing.T) {
	gang := func(made *bench, job string, size sizer.Size, count int) {
		for number := range count {
			member := work(fmt.Sprintf("%s_%d", job, number), "one", Batch, size)
			member.Job, member.Gang = job, count
			made.Enqueue(member, made.now)
		}
	}
	t.Run("allOrNone", func(t *testing.T) {
		made := newBench(plainSettings(), 2, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1)})
		gang(made, "big", sizer.Size{MilliCores: 3000, MemoryMB: 1}, 3)
		assertGrants(t, made.step(time.Second), 0)
		gang(made, "small", sizer.Size{MilliCores: 3000, MemoryMB: 1}, 2)
		assertGrants(t, made.step(time.Second), 2)
	})
	t.Run("twoGangsDoNotBlockEachOther", func(t *testing.T) {
		made := newBench(DefaultSettings(), 4, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1), open("two", 1)})
		running := fill(made, 16)
		gang(made, "first", fourCore, 4)
		gang(made, "second", fourCore, 4)
		started := 0
		for range 200 {
			started += len(grants(made.step(500 * time.Millisecond)))
			if len(running) > 0 {
				made.Completed(running[0], Completed, 200, made.now)
				running = running[1:]
			}
			for _, task := range made.Tasks() {
				if task.State != Queued && made.now.Sub(task.Began) > 5*time.Second && task.Gang > 0 {
					made.Completed(task.Grant.Task, Completed, 200, made.now)
				}
			}
		}
		if started != 8 {
			t.Errorf("%d of 8 members started", started)
		}
	})
}

// fill runs one-core tasks of team two that are expected to take a second, and returns their task IDs.
func fill(made *bench, count int) []string {
	for number := range count {
		filler := work(fmt.Sprint("fill", number), "two", Batch, oneCore)
		filler.Idempotent = true
		made.Enqueue(filler, made.now)
	}
	var ids []string
	for _, effect := range made.Tick(made.now) {
		if start, ok := effect.(Start); ok {
			ids = append(ids, start.Grant.Task)
		}
	}
	made.claim()
	return ids
}

func TestReservation(t *testing.T) {
	t.Run("largeTaskIsNotStarvedBySmallOnes", func(t *testing.T) {
		made := newBench(DefaultSettings(), 2, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1), open("two", 1)})
		fill(made, 8)
		made.Enqueue(work("large", "one", Batch, fourCore), made.now)
		placed := false
		for number := range 400 {
			small := work(fmt.Sprint("small", number), "two", Batch, oneCore)
			made.Enqueue(small, made.now)
			for _, grant := range grants(made.step(250 * time.Millisecond)) {
				placed = placed || grant[0] == "large"
			}
			for _, task := range made.Tasks() {
				if task.State != Queued && made.now.Sub(task.Began) >= 2*time.Second {
					made.Completed(task.Grant.Task, Completed, 200, made.now)
				}
			}
		}
		if !placed {
			t.Error("the large task never started")
		}
	})
	t.Run("movesAwayFromATaskThatOutlivesItsDeclaredTime", func(t *testing.T) {
		made := newBench(DefaultSettings(), 2, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1)})
		for number, expected := range []time.Duration{time.Minute, 2 * time.Minute} {
			blocker := work(fmt.Sprint("blocker", number), "one", Batch, fourCore)
			blocker.Expected = expected
			made.Enqueue(blocker, made.now)
		}
		blockers := assertGrants(t, made.step(time.Millisecond), 2)
		made.Enqueue(work("large", "one", Batch, fourCore), made.now)
		for range 20 * 60 {
			made.step(time.Second)
		}
		reserved := ""
		for _, row := range made.Workers() {
			if row.reserved != nil {
				reserved = row.Name
			}
		}
		if reserved == "" {
			t.Fatal("nothing is reserved")
		}
		task, _ := made.Lookup(blockers[1][0])
		made.Completed(task.Grant.Task, Completed, 200, made.now)
		placed := false
		for range 5 {
			placed = placed || len(grants(made.step(time.Second))) > 0
		}
		if !placed {
			t.Error("the large task waits for the reserved worker although another one is free")
		}
	})
}

func TestPreemption(t *testing.T) {
	settings := DefaultSettings()
	standing := func(made *bench, resumable bool) {
		for number := range 8 {
			service := work(fmt.Sprint("standing", number), "two", Standing, oneCore)
			service.Job, service.Resumable, service.Idempotent = "j", resumable, true
			made.Enqueue(service, made.now)
		}
		made.Tick(made.now)
		made.claim()
	}
	t.Run("urgentWorkFindsRoomAmongStandingServices", func(t *testing.T) {
		made := newBench(settings, 2, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1), open("two", 1)})
		standing(made, true)
		made.Enqueue(work("urgent", "one", Urgent, oneCore), made.now)
		stopped := append(stops(made.step(time.Millisecond)), stops(made.step(settings.PreemptWait))...)
		if len(stopped) != 1 || !stopped[0].Checkpoint {
			t.Fatalf("stopped %+v, want one checkpoint", stopped)
		}
		made.Completed(stopped[0].Task, Stopped, 0, made.now)
		if found := assertGrants(t, made.step(time.Millisecond), 1); found[0][0] != "urgent" {
			t.Errorf("granted %v", found)
		}
	})
	t.Run("requestsAreNeverPreempted", func(t *testing.T) {
		made := newBench(settings, 1, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1), open("two", 1)})
		for number := range 4 {
			request := work(fmt.Sprint("r", number), "two", Batch, oneCore)
			request.Origin, request.Idempotent = "entry", true
			made.Enqueue(request, made.now)
		}
		made.Tick(made.now)
		made.Enqueue(work("urgent", "one", Urgent, oneCore), made.now)
		for range 20 {
			if stopped := stops(made.step(time.Second)); len(stopped) != 0 {
				t.Fatalf("stopped %+v", stopped)
			}
		}
	})
	t.Run("lentShareComesBack", func(t *testing.T) {
		made := newBench(settings, 2, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1), open("two", 1)})
		standing(made, true)
		for number := range 4 {
			made.Enqueue(work(fmt.Sprint("own", number), "one", Batch, oneCore), made.now)
		}
		started := 0
		for range 60 {
			effects := made.step(500 * time.Millisecond)
			for _, stop := range stops(effects) {
				made.Completed(stop.Task, Stopped, 0, made.now)
			}
			started += len(grants(effects))
		}
		if made.used("one") != 4000 || started != 4 {
			t.Errorf("team one runs %d millicores after %d starts, its half is 4000", made.used("one"), started)
		}
	})
}

func TestHealth(t *testing.T) {
	failing := func(made *bench, id string, attempts int) {
		asked := work(id, "one", Batch, oneCore)
		for range attempts {
			made.Enqueue(asked, made.now)
			for _, effect := range made.step(time.Millisecond) {
				if start, ok := effect.(Start); ok {
					asked.Avoid = append(asked.Avoid, start.Grant.Worker)
					made.Completed(start.Grant.Task, Failed, 500, made.now)
				}
			}
			made.Tick(made.now)
		}
	}
	usable := func(made *bench) int {
		count := 0
		for _, row := range made.Workers() {
			if row.Usable(made.now) {
				count++
			}
		}
		return count
	}
	t.Run("workerThatFailsEverythingIsTakenOutAndTriedAgain", func(t *testing.T) {
		made := newBench(plainSettings(), 1, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1)})
		for number := range failuresToQuarantine {
			failing(made, fmt.Sprint("x", number), 1)
		}
		if usable(made) != 0 {
			t.Fatal("the worker is still used")
		}
		made.now = made.now.Add(firstQuarantine + time.Second)
		for number := range 3 {
			made.Enqueue(work(fmt.Sprint("y", number), "one", Batch, oneCore), made.now)
		}
		assertGrants(t, made.step(time.Millisecond), 1)
	})
	t.Run("jobThatFailsEverywhereBlamesItself", func(t *testing.T) {
		made := newBench(plainSettings(), 4, fourCore)
		made.SetTeams([]TeamInfo{open("one", 1)})
		for number := range 10 {
			failing(made, fmt.Sprint("bad", number), workersToBlame)
		}
		if usable(made) != 4 {
			t.Errorf("%d of 4 workers are used", usable(made))
		}
	})
}

func TestFloodOfOneTeam(t *testing.T) {
	made := newBench(plainSettings(), 4, fourCore)
	made.SetTeams([]TeamInfo{open("flood", 1), open("one", 1), open("two", 1)})
	for number := range 2000 {
		made.Enqueue(work(fmt.Sprint("flood", number), "flood", Interactive, oneCore), made.now)
	}
	made.Tick(made.now)
	for number := range 4 {
		made.Enqueue(work(fmt.Sprint("a", number), "one", Interactive, oneCore), made.now)
		made.Enqueue(work(fmt.Sprint("b", number), "two", Interactive, oneCore), made.now)
	}
	order := 0
	for _, task := range made.Tasks() {
		if task.State == Granted && order < 8 {
			made.Completed(task.Grant.Task, Completed, 200, made.now)
			order++
		}
	}
	found := grants(made.Tick(made.now))
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

func TestRemovedTeamStartsNothingMore(t *testing.T) {
	made := newBench(plainSettings(), 1, fourCore)
	made.SetTeams([]TeamInfo{open("one", 1)})
	made.Enqueue(work("x", "one", Batch, oneCore), made.now)
	assertGrants(t, made.step(time.Millisecond), 1)
	made.SetTeams(nil)
	made.Enqueue(work("y", "one", Batch, oneCore), made.now)
	assertGrants(t, made.step(time.Millisecond), 0)
	if made.used("one") != 1000 {
		t.Errorf("used %d: the running task has to count", made.used("one"))
	}
}

func TestWaveOfCancellations(t *testing.T) {
	const works = 10_000
	made := newBench(plainSettings(), 1, fourCore)
	made.SetTeams([]TeamInfo{open("one", 1)})
	for number := range works {
		made.Enqueue(work(fmt.Sprint("x", number), "one", Batch, oneCore), made.now)
	}
	allocations := testing.AllocsPerRun(1, func() {
		for number := range works {
			made.Cancel(fmt.Sprint("x", number))
		}
	})
	if perWork := allocations / works; perWork > 4 {
		t.Errorf("%.1f allocations a canceled work", perWork)
	}
	examined := made.Counters.Examined
	made.step(time.Millisecond)
	if len(made.Tasks()) != 0 || made.Counters.Examined != examined {
		t.Errorf("%d tasks left, %d workers examined", len(made.Tasks()), made.Counters.Examined-examined)
	}
}
