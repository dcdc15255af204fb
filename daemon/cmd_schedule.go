package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/scheduler"
	"github.com/spf13/cobra"
)

// settingsEnv is the environment variable with the default of the flag --settings.
const settingsEnv = "EBONYSHUNT_SETTINGS"

func scheduleCommand() *cobra.Command {
	path := os.Getenv(settingsEnv)
	var check bool
	command := &cobra.Command{
		Use:     "schedule --settings FILE",
		Short:   "Schedule jobs on a platform's workers, with durable state in the platform's store",
		Example: "  ebonyshuntd schedule --settings /etc/ebonyshuntd.ini --check",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := loader.LoadScheduling(path)
			if done, err := reportCheck(command, path, settings.Host, settings.Zone, check, err); done || err != nil {
				return err
			}
			return schedule(settings, command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&path, "settings", path, "settings `FILE`")
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	return command
}

// schedule runs the scheduling host until SIGTERM or SIGINT, then shuts it down within settings.ShutdownGrace.
// SIGHUP does not stop the host; settings are read only at the start.
func schedule(settings loader.Scheduling, out io.Writer) error {
	output := scheduler.NewAsyncWriter(out)
	defer output.Close()
	log, err := newLogger(output, settings.LogLevel)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	host, err := scheduler.Start(settings, dialer.TCP(), log)
	if err != nil {
		return fmt.Errorf("start scheduler: %w", err)
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		log.Info("SIGHUP ignored: restart to apply changed settings")
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.ShutdownGrace)
	defer cancel()
	host.Shutdown(ctx)
	return nil
}
