package tests

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/demo/builder"
	"ebonyshunt.org/library/sizer"
	"github.com/rogpeppe/go-internal/testscript"
)

// programPackages maps the programs that the scripts run to their packages.
var programPackages = map[string]string{
	"ebonyshunt":  "ebonyshunt.org/command",
	"ebonyshuntd": "ebonyshunt.org/daemon",
	"standin":     "ebonyshunt.org/standin",
	"demo":        "ebonyshunt.org/demo",
}

// TestScripts builds the programs once and runs them as processes in each script, against a new cell on loopback.
func TestScripts(t *testing.T) {
	bin := t.TempDir()
	for name, path := range programPackages {
		args := []string{"build", "-o", filepath.Join(bin, name), path}
		if raceDetector {
			args = slices.Insert(args, 1, "-race")
		}
		build := exec.Command("go", args...)
		if output, err := build.CombinedOutput(); err != nil {
			t.Fatalf("build %s: %v\n%s", name, err, output)
		}
	}
	testscript.Run(t, testscript.Params{
		Dir:   "scripts",
		Setup: func(env *testscript.Env) error { return setUpScriptCell(env, bin) },
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"retry": retry,
			"port":  setFreePorts,
			"dup":   sendDuplicateHeader,
		},
		RequireExplicitExec: true,
	})
}

// setUpScriptCell starts a cell with one host and one worker in each zone, and waits until the base configuration is
// in force.
func setUpScriptCell(env *testscript.Env, bin string) error {
	env.Setenv("PATH", bin+string(os.PathListSeparator)+env.Getenv("PATH"))
	size := sizer.Size{MilliCores: 4000, MemoryMB: 8192}
	var zones []builder.Zone
	for _, name := range zoneNames {
		zones = append(zones, builder.Zone{Name: name, Hosts: 1, Workers: []builder.Group{{Prefix: "w", Count: 1, Capacity: size}}})
	}
	cell, err := builder.Build(builder.Plan{Zones: zones, RootKey: rootKey})
	if err != nil {
		return err
	}
	env.Defer(func() { _ = cell.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), scriptSetupTimeout)
	defer cancel()
	if err := cell.Publish(ctx, cell.Names[0], baseDocument(zoneNames)); err != nil {
		return err
	}
	var hosts []string
	for _, name := range cell.Names {
		if err := cell.WaitReady(ctx, name); err != nil {
			return err
		}
		hosts = append(hosts, cell.Hosts[name].Settings.HTTPAddress)
	}
	env.Setenv("EBONYSHUNT_HOSTS", strings.Join(hosts, ","))
	env.Setenv("EBONYSHUNT_KEY", rootKey)
	env.Setenv("HOST", hosts[0])
	env.Setenv("TEAMKEY", teamKey)
	return nil
}

const (
	scriptSetupTimeout = time.Minute
	maxAttempts        = 100
	retryInterval      = 100 * time.Millisecond
)

// retry runs a program up to maxAttempts times until it succeeds, or until it fails if the command is negated by !.
func retry(script *testscript.TestScript, negated bool, args []string) {
	for range maxAttempts {
		if err := script.Exec(args[0], args[1:]...); (err != nil) == negated {
			return
		}
		time.Sleep(retryInterval)
	}
	script.Fatalf("%v did not give the wanted result in %d attempts", args, maxAttempts)
}

// setFreePorts sets the named variables to free loopback addresses.
func setFreePorts(script *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		script.Check(err)
		script.Setenv(name, listener.Addr().String())
		script.Check(listener.Close())
	}
}

// sendDuplicateHeader sends a request that carries the named header twice, and writes the answer to a file.
func sendDuplicateHeader(script *testscript.TestScript, _ bool, args []string) {
	conn, err := net.Dial("tcp", script.Getenv("HOST"))
	script.Check(err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /v1/services/work HTTP/1.1\r\nHost: x\r\nConnection: close\r\n%[1]s: a\r\n%[1]s: b\r\n\r\n", args[0])
	script.Check(err)
	buffer := make([]byte, maxAnswerBytes)
	count, err := conn.Read(buffer)
	script.Check(err)
	script.Check(os.WriteFile(script.MkAbs(args[1]), buffer[:count], 0o600))
}

const maxAnswerBytes = 4096
