package main

import (
	"ebonyshunt.org/standin/logserver"
	"github.com/spf13/cobra"
)

func logCommand() *cobra.Command {
	var address string
	server := logserver.New()
	command := &cobra.Command{
		Use:     "log",
		Short:   "Run a stand-in for the log service",
		Example: "  standin log --address 127.0.0.1:7100 --rate 300",
		Args:    cobra.NoArgs,
		RunE:    func(*cobra.Command, []string) error { return serve(address, server.Handler()) },
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:7100", "IP address and port to listen on")
	command.Flags().IntVar(&server.Retain, "retain", server.Retain, "maximum number of records to keep per stream")
	command.Flags().IntVar(&server.Rate, "rate", server.Rate, "maximum appends per second over all streams, 0 for no limit")
	return command
}
