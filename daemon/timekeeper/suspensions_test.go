package timekeeper

import (
	"testing"
	"time"
)

// TestTotal checks that suspensions count, and that the difference between two readings of the same time does not.
func TestTotal(t *testing.T) {
	for _, test := range []struct {
		name      string
		suspended time.Duration
		want      time.Duration
	}{
		{"running", 0, 0},
		{"jitter", time.Millisecond, 0},
		{"suspended", 5 * time.Second, 5 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			suspensions := New()
			suspensions.Read = func() time.Duration { return suspensions.before + test.suspended }
			if got := suspensions.Total(); got != test.want {
				t.Errorf("suspended for %v, want %v", got, test.want)
			}
		})
	}
	t.Run("none", func(t *testing.T) {
		if got := (*Suspensions)(nil).Total(); got != 0 {
			t.Errorf("suspended for %v, want 0", got)
		}
	})
}

// TestSystemClocks checks that the clocks of the system can be read: their difference stays while the machine is not suspended.
func TestSystemClocks(t *testing.T) {
	if got := New().Total(); got != 0 {
		t.Errorf("suspended for %v, want 0", got)
	}
}
