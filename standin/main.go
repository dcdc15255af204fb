// Command standin runs a stand-in for one of the platform's services: the log service, the list of hosts or a worker.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

func main() {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Run a stand-in for one of the platform's services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(logCommand(), listCommand(), workerCommand())
	if err := root.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

const headerTimeout = 10 * time.Second

// serve handles HTTP requests on an address until SIGTERM or an interrupt.
func serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", address, err)
	}
	return nil
}
