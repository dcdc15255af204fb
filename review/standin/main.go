// Command rig runs one case of the review: it starts the project's hosts as processes, plays the platform, the operator and the clients
// around them, and checks one rule.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime is how long a case may take.
const maxTime = 115 * time.Second

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken reports that the rule was broken.
var errBroken = errors.New("the rule was broken")

func main() {
	os.Exit(runCase())
}

func runCase() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		return exitNotRun
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNotRun
	}
	rig, err := newRig(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rig.close()
	played := make(chan error, 1)
	go func() { played <- play(rig) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	select {
	case err = <-played:
	case received := <-signals:
		err = fmt.Errorf("ended by signal %v", received)
	case <-time.After(maxTime):
		err = fmt.Errorf("not over after %v", maxTime)
	}
	switch {
	case err == nil:
		rig.say("RESULT: the rule held")
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		rig.say("RESULT: %v", err)
		fmt.Println(err)
		return exitBroken
	}
	rig.say("RESULT: the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}
