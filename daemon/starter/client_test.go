package starter

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ebonyshunt.org/library/fencer"
)

// serveStatus starts a worker that answers each call with a status and an empty JSON object, and returns its address.
func serveStatus(t *testing.T, status int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(status)
		_, _ = writer.Write([]byte("{}"))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestStatuses checks that the statuses of a worker are not taken for success.
func TestStatuses(t *testing.T) {
	client := New(http.DefaultClient)
	t.Run("claim", func(t *testing.T) {
		if report, err := client.Claim(t.Context(), serveStatus(t, http.StatusInternalServerError), Claim{}); err == nil {
			t.Errorf("status 500 gives report %+v, want an error", report)
		}
	})
	t.Run("checkpointOfUnknownTask", func(t *testing.T) {
		err := client.Checkpoint(t.Context(), serveStatus(t, http.StatusNotFound), "x", fencer.Term{})
		if !ErrNoTask.Has(err) {
			t.Errorf("error %v, want ErrNoTask", err)
		}
	})
	t.Run("stopOfUnknownTask", func(t *testing.T) {
		if err := client.Stop(t.Context(), serveStatus(t, http.StatusNotFound), "x", fencer.Term{}); err != nil {
			t.Errorf("error %v, want none: the task does not run", err)
		}
	})
}
