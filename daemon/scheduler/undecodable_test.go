package scheduler

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/platform/translator"
)

// wantDue checks whether a record is logged.
func wantDue(t *testing.T, undecodable *undecodable, key, reason string, want bool) {
	t.Helper()
	if _, _, due := undecodable.admit(translator.Workers, key, errors.New(reason)); due != want {
		t.Errorf("%s, %s: logged %t, want %t", key, reason, due, want)
	}
}

// TestUndecodable guards against a log that records of another writer fill: the same one again and again, many in a short time, or a
// large one.
func TestUndecodable(t *testing.T) {
	t.Run("sameAgain", func(t *testing.T) {
		undecodable := newUndecodable()
		wantDue(t, undecodable, "k", "odd", true)
		wantDue(t, undecodable, "k", "odd", false)
		wantDue(t, undecodable, "k", "other", true)
		undecodable.decoded(translator.Workers, "k")
		wantDue(t, undecodable, "k", "other", true)
	})
	t.Run("many", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			undecodable := newUndecodable()
			for number := range 500 {
				wantDue(t, undecodable, fmt.Sprint(number), "odd", number < maxUndecodableLines)
			}
			time.Sleep(undecodableInterval)
			if _, unlogged, due := undecodable.admit(translator.Workers, "k", errors.New("odd")); !due || unlogged != 500-maxUndecodableLines {
				t.Errorf("%d records count as unlogged, want %d", unlogged, 500-maxUndecodableLines)
			}
		})
	})
	t.Run("manyKeys", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			undecodable := newUndecodable()
			for number := range 2 * maxUndecodableReasons {
				wantDue(t, undecodable, fmt.Sprint(number), "odd", true)
				time.Sleep(undecodableInterval)
			}
			if count := len(undecodable.reasons); count > maxUndecodableReasons {
				t.Errorf("%d reasons are kept, want at most %d", count, maxUndecodableReasons)
			}
		})
	})
	t.Run("large", func(t *testing.T) {
		reason, _, _ := newUndecodable().admit(translator.Workers, "k", errors.New(strings.Repeat("x", 1<<20)))
		if len(reason) > maxUndecodableReasonBytes {
			t.Errorf("the line has %d bytes", len(reason))
		}
	})
}
