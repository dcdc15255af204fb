package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/standin/listserver"
	"github.com/spf13/cobra"
)

func listCommand() *cobra.Command {
	var address, path string
	server := listserver.New()
	command := &cobra.Command{
		Use:     "list",
		Short:   "Run a stand-in for the list of hosts",
		Example: "  standin list --address 127.0.0.1:7200 --hosts hosts.json --lag 5s",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if err := addHosts(server, path); err != nil {
				return err
			}
			return serve(address, server.Handler())
		},
	}
	command.Flags().StringVar(&address, "address", "127.0.0.1:7200", "IP address and port to listen on")
	command.Flags().StringVar(&path, "hosts", "", "JSON `FILE` with the initial list of hosts")
	command.Flags().DurationVar(&server.Lag, "lag", time.Duration(0), "delay after which a change becomes visible in the list")
	return command
}

func addHosts(server *listserver.Server, path string) error {
	if path == "" {
		return nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read hosts: %w", err)
	}
	var list lister.List
	if err := json.Unmarshal(data, &list); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	for _, host := range list.Hosts {
		server.Add(host)
	}
	return nil
}
