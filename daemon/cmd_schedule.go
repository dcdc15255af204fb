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

// settingsVariable names the settings file where the command line does not.
const settingsVariable = "EBONYSHUNT_SETTINGS"

func scheduleCommand() *cobra.Command {
	path := os.Getenv(settingsVariable)
	var check bool
	command := &cobra.Command{
		Use:     "schedule --settings FILE",
		Short:   "Schedule jobs on a platform's workers, with what lasts kept in the platform's store",
		Example: "  ebonyshuntd schedule --settings /etc/ebonyshuntd.ini --check",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			settings, err := loader.LoadScheduling(path)
			if done, err := checked(command, path, settings.Host, settings.Zone, check, err); done || err != nil {
				return err
			}
			return schedule(settings, command.OutOrStdout())
		},
	}
	command.Flags().StringVar(&path, "settings", path, "settings `FILE`")
	command.Flags().BoolVar(&check, "check", false, "only check the settings")
	return command
}

// schedule runs the host until a signal asks it to stop.
func schedule(settings loader.Scheduling, out io.Writer) error {
	output := scheduler.NewAsyncWriter(out)
	defer output.Close()
	log, err := newLog(output, settings.LogLevel)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	host, err := scheduler.Start(settings, dialer.TCP(), log)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	for received := range signals {
		if received != syscall.SIGHUP {
			break
		}
		log.Info("settings stay as they are until the next start")
	}
	ctx, cancel := context.WithTimeout(context.Background(), settings.ShutdownGrace)
	defer cancel()
	host.Shutdown(ctx)
	return nil
}
