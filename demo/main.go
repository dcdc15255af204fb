// Command demo runs the main job in one process, on embedded stand-ins for the platform.
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
