package main

import (
	"fmt"

	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/standin/workerserver"
	"github.com/spf13/cobra"
)

func workerCommand() *cobra.Command {
	var address, name, size string
	var speed float64
	command := &cobra.Command{
		Use:     "worker",
		Short:   "Run a stand-in for a worker",
		Example: "  standin worker --address 127.0.0.1:7300 --name survey-north-00 --size 'cores:32 memory:64GB'",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			capacity, err := parser.ParseSize(size)
			if err != nil {
				return fmt.Errorf("--size: %w", err)
			}
			worker := workerserver.New(name, capacity)
			worker.Speed = speed
			defer worker.Close()
			return serve(address, worker.Handler())
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:7300", "IP address and port to listen on")
	command.Flags().StringVar(&name, "name", "worker", "name of the worker in the list of hosts")
	command.Flags().StringVar(&size, "size", "cores:4 memory:8GB", "capacity of the worker")
	command.Flags().Float64Var(&speed, "speed", 1, "declared run time of a task divided by its actual run time")
	return command
}
