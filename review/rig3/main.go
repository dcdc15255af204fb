// Command rig3 plays the scripted cases of this review: it starts the project's hosts as processes, on loopback addresses, against small
// stand-ins of the platform's store, minions, operator and clients. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case couldn't run.
package main

import (
	"fmt"
	"os"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

var cases = map[string]func(rig *rig, trouble bool) (broken bool, err error){
	"crashes": crashes,
	"removed": removed,
	"foreign": foreign,
	"starved": starved,
	"other":   other,
	"serving": serving,
	"woken":   woken,
	"kept":    kept,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, recordPath string, trouble bool) int {
	rig, err := newRig(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rig.close()
	broken, err := cases[name](rig, trouble)
	switch {
	case err != nil:
		rig.log("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case broken:
		rig.log("verdict: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rig.log("verdict: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
