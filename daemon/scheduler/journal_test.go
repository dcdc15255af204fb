package scheduler

import (
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"ebonyshunt.org/platform/translator"
)

// TestRepeatedAppendConfirms guards against leases that count from a repeated append: the store answers a repeat with its first answer, which
// says nothing of the time since then.
func TestRepeatedAppendConfirms(t *testing.T) {
	started := time.Now()
	var mu sync.Mutex
	var arrivals []time.Duration
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Since(started))
		first := len(arrivals) == 1
		mu.Unlock()
		if first {
			<-release
			return
		}
		fmt.Fprint(writer, `{"offset":0,"end":1}`)
	}))
	defer server.Close()
	defer close(release)
	host := &Host{
		started: started, fleet: newFleet(), log: slog.New(slog.DiscardHandler),
		store: translator.NewStore(server.Client(), server.Listener.Addr().String()),
	}
	tenure := &tenure{host: host, term: 5, ctx: t.Context(), quorum: newQuorum(nil), tickLag: newLag(), answerLag: newLag()}
	tenure.confirmedAt.Store(neverAnswered)
	tenure.journal = newJournal(tenure)
	if err := tenure.journal.append(0, []translator.Entry{{Key: "k", Value: []byte("v")}}); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	confirmedAt := time.Duration(tenure.confirmedAt.Load())
	if len(arrivals) < 2 || confirmedAt > arrivals[0] {
		t.Errorf("attempts arrived at %v, and the term counts as confirmed at %v, want before the first of them", arrivals, confirmedAt)
	}
	if confirmedAt < 0 {
		t.Error("the append did not confirm the term")
	}
}
