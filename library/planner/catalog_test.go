package planner_test

import (
	"strings"
	"testing"

	"ebonyshunt.org/library/planner"
	"pgregory.net/rapid"
)

// walkRoute is the definition of Catalog.Route: it walks the list of queues.
func walkRoute(catalog *planner.Catalog, host, path string) (planner.Queue, bool) {
	var best planner.Queue
	found := false
	for _, queue := range catalog.Queues {
		if queue.Host != "" && !strings.EqualFold(queue.Host, host) || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if !found || len(queue.Prefix) > len(best.Prefix) {
			best, found = queue, true
		}
	}
	return best, found
}

// TestCatalogLookup compares the index of queues with a walk over their list.
func TestCatalogLookup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`(/[ab]{0,2}){0,3}`)
		host := rapid.SampledFrom([]string{"", "x", "X", "y"})
		catalog := &planner.Catalog{}
		for range rapid.IntRange(0, 12).Draw(t, "queues") {
			catalog.Queues = append(catalog.Queues, planner.Queue{
				Name: rapid.SampledFrom([]string{"p", "q", "r", "s"}).Draw(t, "name"), Host: host.Draw(t, "host"), Prefix: prefix.Draw(t, "prefix"),
			})
		}
		asked, path := host.Draw(t, "askedHost"), prefix.Draw(t, "path")
		want, wantFound := walkRoute(catalog, asked, path)
		if got, found := catalog.Route(asked, path); got != want || found != wantFound {
			t.Errorf("Route(%q, %q) = %v, %t, want %v, %t", asked, path, got, found, want, wantFound)
		}
		for _, queue := range catalog.Queues {
			if got, found := catalog.Queue(queue.Name); !found || got.Name != queue.Name {
				t.Errorf("Queue(%q) = %v, %t", queue.Name, got, found)
			}
		}
	})
}

// BenchmarkCatalogLookup looks up a queue among thousands, as each call and each step of a planning pass does.
func BenchmarkCatalogLookup(b *testing.B) {
	catalog := &planner.Catalog{}
	for number := range 4200 {
		name := strings.Repeat("q", number%7) + string(rune('a'+number%26)) + strings.Repeat("z", number/100)
		catalog.Queues = append(catalog.Queues, planner.Queue{Name: name, Prefix: "/" + name + "/"})
	}
	for b.Loop() {
		catalog.Queue("missing")
		catalog.Route("host", "/missing/0123456789abcdef")
	}
}
