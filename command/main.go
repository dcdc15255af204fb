// Command ebonyshunt is the command-line client for operators of a fleet and for teams that send it requests and jobs.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// The exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitNotRun   = 3 // the outcome is notRun: refused, and certain not to have run
	exitConflict = 4 // another change came first, or a forfeited zone is in use
	exitUnknown  = 5 // the outcome is unknown: the request may have run
	exitNoHost   = 6 // no entry host could be reached
)

// command defines one sub-command.
type command struct {
	use     string
	short   string
	example string
	args    cobra.PositionalArgs
	flags   func(*pflag.FlagSet)
	run     func(*invocation) error
}

// invocation is one execution of a sub-command: its API client, arguments, flags and output streams.
type invocation struct {
	*apiClient
	args   []string
	flags  *pflag.FlagSet
	stdout io.Writer
	stderr io.Writer
	asJSON bool
}

var commands = []*command{
	cmdCheck, cmdPublish, cmdDiff, cmdShow, cmdTeam, cmdKey, cmdWithdraw, cmdQueue, cmdService, cmdRemove,
	cmdDrain, cmdForfeit, cmdRequest, cmdSubmit, cmdWatch, cmdAnswer, cmdCancel, cmdWorkers, cmdTasks, cmdTeams,
	cmdHosts, cmdTimeline, cmdExplain,
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command line and returns its exit code: that of an exitError, or exitUsage for any other error.
func run(args []string, stdout, stderr io.Writer) int {
	root := newRootCommand(stdout, stderr)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "ebonyshunt:", err)
	var exitErr *exitError
	if errors.As(err, &exitErr) {
		return exitErr.code
	}
	return exitUsage
}

// exitError is an error with the exit code that the process returns for it.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (exitError *exitError) Error() string { return exitError.err.Error() }

// Unwrap returns the wrapped error.
func (exitError *exitError) Unwrap() error { return exitError.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

func newRootCommand(stdout, stderr io.Writer) *cobra.Command {
	var hosts, key string
	var asJSON bool
	root := &cobra.Command{
		Use:           "ebonyshunt",
		Short:         "Operate an ebonyshunt fleet, or send it work",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(stdout)
	root.SetErr(stderr)
	root.PersistentFlags().StringVar(&hosts, "hosts", os.Getenv("EBONYSHUNT_HOSTS"), "`ADDRESSES` of entry hosts, separated by commas (environment: EBONYSHUNT_HOSTS)")
	root.PersistentFlags().StringVar(&key, "key", "", "API key of the operator or team (environment: EBONYSHUNT_KEY)")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print the result as JSON")
	for _, each := range commands {
		sub := &cobra.Command{Use: each.use, Short: each.short, Example: indent(each.example), Args: each.args}
		if each.flags != nil {
			each.flags(sub.Flags())
		}
		sub.RunE = func(sub *cobra.Command, args []string) error {
			if key == "" {
				key = os.Getenv("EBONYSHUNT_KEY")
			}
			client := newAPIClient(hosts, key, stderr)
			return each.run(&invocation{apiClient: client, args: args, flags: sub.Flags(), stdout: stdout, stderr: stderr, asJSON: asJSON})
		}
		root.AddCommand(sub)
	}
	return root
}
