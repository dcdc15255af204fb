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
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/server"
	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed    = 1
	exitSettings  = 2 // the settings are invalid
	exitAbandoned = 3 // the shutdown ended with unfinished requests
)

// errAbandoned reports that requests were unfinished when the shutdown grace period ended or a second signal arrived.
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
		return exitAbandoned
	}
	return exitFailed
}

// settingsError wraps the mistakes in a settings file, so that the process exits with exitSettings.
type settingsError struct{ err error }

// Error lists the mistakes in the settings file.
func (settingsError *settingsError) Error() string {
	return "invalid settings:\n" + settingsError.err.Error()
}

func newCommand() *cobra.Command {
	var path string
	var check bool
	command := &cobra.Command{
		Use:           "ebonyshuntd --settings FILE",
		Short:         "Serve requests on an entry host, and schedule for its zone while it is the zone's decider",
		Example:       "  ebonyshuntd --settings /etc/ebonyshuntd.ini --check\n  ebonyshuntd --settings /etc/ebonyshuntd.ini",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := loader.Load(path)
			if done, err := reportCheck(command, path, settings.Host, settings.Zone, check, err); done || err != nil {
				return err
			}
			return serve(settings, command.ErrOrStderr())
		},
	}
	command.Flags().StringVar(&path, "settings", "ebonyshuntd.ini", "settings `FILE`")
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	command.AddCommand(scheduleCommand())
	return command
}

// reportCheck wraps err, the result of loading the settings file at path, as a settingsError. Without an error and
// with checkOnly it prints that the file has no mistakes. It returns true if the command ends after the check.
func reportCheck(command *cobra.Command, path, host, zone string, checkOnly bool, err error) (bool, error) {
	if err != nil {
		return false, &settingsError{err: err}
	}
	if checkOnly {
		fmt.Fprintf(command.OutOrStdout(), "%s: host %s in zone %s, no mistakes\n", path, host, zone)
	}
	return checkOnly, nil
}

// newLogger returns a logger that writes JSON lines of at least the named level.
func newLogger(out io.Writer, levelName string) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(levelName)); err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	lines := slog.NewJSONHandler(out, &slog.HandlerOptions{Level: level})
	return slog.New(uptimeHandler{Handler: lines, started: time.Now()}), nil
}

// serve runs the daemon until SIGTERM or SIGINT. The first signal starts a graceful shutdown, which lasts at most
// settings.ShutdownGrace; a second signal ends the shutdown at once.
func serve(settings loader.Settings, out io.Writer) error {
	log, err := newLogger(out, settings.LogLevel)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	running, err := server.Start(settings, dialer.TCP(), log)
	if err != nil {
		return fmt.Errorf("start daemon: %w", err)
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), settings.ShutdownGrace)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	abandoned := running.Shutdown(ctx)
	if len(abandoned) > 0 {
		log.Warn("requests abandoned", "requests", abandoned)
		return fmt.Errorf("%w: %d", errAbandoned, len(abandoned))
	}
	return nil
}
