package soaker

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

var (
	seeds = flag.Int("seeds", 0, "number of seeds that TestSeeds plays")
	from  = flag.Uint64("from", 1, "first seed that TestSeeds plays")
	keep  = flag.Bool("keep", false, "keep the logs of seeds that passed")
	logs  = flag.String("logs", filepath.Join(os.TempDir(), "soak"), "folder for the logs of failed seeds")
)

// minCompleted is how many jobs a run must complete, so that it shows something.
const minCompleted = 20

// shortSeed is the seed that every run of the tests plays. Its faults are of all kinds.
const shortSeed = 5

// regressions are the seeds that failed once. TestSeeds plays them before others.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{120, "the soak: 20 clients kept a team at a cap meant for 6, so that its jobs were still waiting at the end"},
	{150, "as seed 120"},
	{142, "the emulator: runs reported no progress, so that a task of 7 s was taken for hanging, stopped and run again"},
	{1050, "the soak: a link took 127.0. in the name of a task, whose job's ID ended in 127, for an address"},
	{1, "open: calls through all links, to hosts that had ended too, got no answer for 1 to 3 s at the same moments"},
}

// TestSoak plays one seed.
func TestSoak(t *testing.T) {
	if raceDetector {
		t.Skip("make test plays the soak by itself and without the race detector")
	}
	play(t, buildDaemon(t), shortSeed)
}

// TestSeeds plays the regressions and a range of seeds, see the flags.
func TestSeeds(t *testing.T) {
	if *seeds == 0 {
		t.Skip("no number of seeds given")
	}
	program := buildDaemon(t)
	playParallel := func(name string, seed uint64) {
		t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
			t.Parallel()
			play(t, program, seed)
		})
	}
	for _, regression := range regressions {
		playParallel("regression", regression.seed)
	}
	for seed := *from; seed < *from+uint64(*seeds); seed++ {
		playParallel("fresh", seed)
	}
}

// buildDaemon builds the scheduling host's program and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "ebonyshuntd")
	build := exec.Command("go", "build", "-o", program, "ebonyshunt.org/daemon")
	if output, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	return program
}

// play carries out the plan of a seed. The logs are removed if no rule was broken.
func play(t *testing.T, program string, seed uint64) {
	t.Helper()
	plan := NewPlan(seed)
	t.Logf("seed %d, profile %s: %d hosts, %d workers, %d clients, delegates from %d workers", seed, plan.Profile, plan.Hosts, plan.Workers, plan.Clients, plan.DelegateFrom)
	var lines []string
	for _, event := range plan.Events {
		lines = append(lines, event.String())
	}
	t.Logf("plan:\n%s", strings.Join(lines, "\n"))
	folder := filepath.Join(*logs, strings.NewReplacer("/", "-", "TestSeeds", "soak").Replace(t.Name()))
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	result, err := Run(plan, program, folder)
	if err != nil {
		t.Fatalf("%v; logs in %s", err, folder)
	}
	t.Logf("jobs %v, runs %v, calls %v", result.Jobs, result.Runs, result.Calls)
	if result.Jobs["completed"] < minCompleted {
		t.Errorf("only %d jobs were completed", result.Jobs["completed"])
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	if t.Failed() || *keep {
		t.Logf("logs of seed %d in %s", seed, folder)
		return
	}
	_ = os.RemoveAll(folder)
}
