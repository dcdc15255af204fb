package retrier

import (
	"context"
	"time"
)

// Sleep waits until the delay has passed or ctx is done.
func Sleep(ctx context.Context, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
