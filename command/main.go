// Command ebonyshunt is the command line for operators and callers.
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
	exitNotRun   = 3 // refused, and proved not to have run
	exitConflict = 4 // another change came first
	exitUnknown  = 5 // the outcome is not known
	exitNoHost   = 6 // no host could be reached
)

// command is one sub-command.
type command struct {
	use     string
	short   string
	example string
	args    cobra.PositionalArgs
	flags   func(*pflag.FlagSet)
	run     func(*invocation) error
}

// invocation is one use of a command.
type invocation struct {
	*api
	args  []string
	flags *pflag.FlagSet
	out   io.Writer
	err   io.Writer
	json  bool
}

var commands = []*command{
	cmdCheck, cmdPublish, cmdDiff, cmdShow, cmdTeam, cmdKey, cmdWithdraw, cmdQueue, cmdService, cmdRemove,
	cmdDrain, cmdForfeit, cmdRequest, cmdSubmit, cmdWatch, cmdAnswer, cmdCancel, cmdWorkers, cmdTasks, cmdTeams,
	cmdHosts, cmdTimeline, cmdExplain,
}

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run carries out one command line and returns its exit code.
func run(args []string, out, errs io.Writer) int {
	root := newRoot(out, errs)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errs, "ebonyshunt:", err)
	var failed *failure
	if errors.As(err, &failed) {
		return failed.code
	}
	return exitUsage
}

// failure is an error with an exit code.
type failure struct {
	code int
	err  error
}

// Error formats the error.
func (failure *failure) Error() string { return failure.err.Error() }

// Unwrap returns the error.
func (failure *failure) Unwrap() error { return failure.err }

func fail(code int, format string, args ...any) error {
	return &failure{code: code, err: fmt.Errorf(format, args...)}
}

func newRoot(out, errs io.Writer) *cobra.Command {
	var hosts, key string
	var asJSON bool
	root := &cobra.Command{
		Use:           "ebonyshunt",
		Short:         "Operate an ebonyshunt fleet, or send it work",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errs)
	root.PersistentFlags().StringVar(&hosts, "hosts", os.Getenv("EBONYSHUNT_HOSTS"), "`ADDRESSES` of entry hosts, separated by commas (EBONYSHUNT_HOSTS)")
	root.PersistentFlags().StringVar(&key, "key", "", "key of the operator or team (EBONYSHUNT_KEY)")
	root.PersistentFlags().BoolVar(&asJSON, "json", false, "print JSON")
	for _, each := range commands {
		sub := &cobra.Command{Use: each.use, Short: each.short, Example: indent(each.example), Args: each.args}
		if each.flags != nil {
			each.flags(sub.Flags())
		}
		sub.RunE = func(sub *cobra.Command, args []string) error {
			if key == "" {
				key = os.Getenv("EBONYSHUNT_KEY")
			}
			api := newAPI(hosts, key, errs)
			return each.run(&invocation{api: api, args: args, flags: sub.Flags(), out: out, err: errs, json: asJSON})
		}
		root.AddCommand(sub)
	}
	return root
}
