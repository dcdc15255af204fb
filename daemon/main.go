// Command ebonyshuntd is the daemon that runs on every entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/server"
	"github.com/spf13/cobra"
)

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
	exitLeft     = 3 // requests were abandoned
)

// errAbandoned says that a second signal cut requests off.
var errAbandoned = errors.New("requests were abandoned")

func main() {
	command := newCommand()
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "ebonyshuntd:", err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var settings *settingsError
	switch {
	case errors.As(err, &settings):
		return exitSettings
	case errors.Is(err, errAbandoned):
		return exitLeft
	}
	return exitFailed
}

// settingsError wraps the mistakes of a settings file.
type settingsError struct{ err error }

// Error lists the mistakes.
func (settingsError *settingsError) Error() string {
	return "settings refused:\n" + settingsError.err.Error()
}

func newCommand() *cobra.Command {
	var path string
	var check bool
	command := &cobra.Command{
		Use:           "ebonyshuntd --settings FILE",
		Short:         "Serve requests on an entry host and decide for its zone when it is the one to do so",
		Example:       "  ebonyshuntd --settings /etc/ebonyshuntd.ini --check\n  ebonyshuntd --settings /etc/ebonyshuntd.ini",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := loader.Load(path)
			if done, err := checked(command, path, settings.Host, settings.Zone, check, err); done || err != nil {
				return err
			}
			return serve(settings, command.ErrOrStderr())
		},
	}
	command.Flags().StringVar(&path, "settings", "ebonyshuntd.ini", "settings `FILE`")
	command.Flags().BoolVar(&check, "check", false, "only check the settings")
	command.AddCommand(scheduleCommand())
	return command
}

// checked reports the mistakes of a settings file, and whether a check was all that was asked for.
func checked(command *cobra.Command, path, host, zone string, only bool, err error) (bool, error) {
	if err != nil {
		return false, &settingsError{err: err}
	}
	if only {
		fmt.Fprintf(command.OutOrStdout(), "%s: host %s in zone %s, no mistakes\n", path, host, zone)
	}
	return only, nil
}

// newLog returns a log of JSON lines from a level on.
func newLog(out io.Writer, name string) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})), nil
}

// serve runs the daemon until a signal; the first asks for a graceful shutdown, the second cuts it short.
func serve(settings loader.Settings, out io.Writer) error {
	log, err := newLog(out, settings.LogLevel)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	started, err := server.Start(settings, dialer.TCP(), log)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), settings.ShutdownGrace)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	abandoned := started.Shutdown(ctx)
	if len(abandoned) > 0 {
		log.Warn("requests abandoned", "requests", abandoned)
		return fmt.Errorf("%w: %d", errAbandoned, len(abandoned))
	}
	return nil
}
