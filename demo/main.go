// Command demo runs a cell in one process, with stand-ins for the platform, and shows one request or job of each kind.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

const demoTimeout = time.Minute

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}
