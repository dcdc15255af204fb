package main

import (
	"fmt"
	"time"
)

// playPending loses a worker for good right before jobs are handed in, so that some of them are sent to it. Jobs that were accepted over 5 s
// before and have not begun have to be counted as pending.
func (rig *rig) playPending() error {
	const (
		key    = "3hh2b9wu3fexd9dnn2ct"
		jobs   = 21
		minAge = 5 * time.Second // visible_ms + 2 s
	)
	if err := rig.begin(3, 7, amount{CPU: 32000, MemMB: 65536}, team{Name: "hule930", APIKeys: []string{key}, Weight: 100}); err != nil {
		return err
	}
	if rig.trouble {
		rig.say("trouble: worker %s is lost for good", rig.workers[3].id)
		rig.workers[3].loseForGood()
	}
	accepted := map[string]time.Time{}
	for range jobs {
		job := newID()
		if rig.submit(job, "hule930", key, 2*time.Second, step{Count: 1, CPU: 8000, MemMB: 5600, EstimateMS: 2000}) {
			accepted[job] = time.Now()
		}
	}
	if len(accepted) < jobs {
		return fmt.Errorf("only %d of %d jobs were accepted", len(accepted), jobs)
	}
	broken := 0
	for range 60 {
		time.Sleep(200 * time.Millisecond)
		for _, host := range rig.hosts {
			askedAt := time.Now()
			pending := rig.pending(host, key)
			answeredAt := time.Now()
			waiting := 0
			for job, at := range accepted {
				if askedAt.Sub(at) > minAge && !rig.begunBefore(job, answeredAt) {
					waiting++
				}
			}
			if pending >= 0 && 2*pending < waiting {
				broken++
				rig.say("%s gives %d as pending, and %d jobs that were accepted over 5 s before have not begun", host.name, pending, waiting)
			}
		}
	}
	rig.logged(10, `"outcome":"unknown"`)
	if broken > 0 {
		return fmt.Errorf("%w: MIXED: %d answers gave under half of the jobs that had not begun as pending", errBroken, broken)
	}
	return nil
}

// begunBefore reports whether a task of a job was started before a time.
func (rig *rig) begunBefore(job string, before time.Time) bool {
	for _, seen := range rig.seen(job) {
		if seen.how == "start" && seen.at.Before(before) {
			return true
		}
	}
	return false
}
