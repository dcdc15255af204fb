package acceptor

import (
	"log/slog"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Reporter counts and logs which limits for all clients were met: the counter ebonyshunt_client_limits_total, and one log line for many
// events.
type Reporter struct {
	counter *prometheus.CounterVec
	log     *slog.Logger

	mu     sync.Mutex
	limits map[metLimit]*loggedLimit
}

// metLimit is a limit of one address.
type metLimit struct {
	listener string // the setting with the address
	limit    string
}

// loggedLimit is what was logged about one limit.
type loggedLimit struct {
	at       time.Time
	unlogged int // events since then
}

// logInterval is the minimum time between two log lines about a limit.
const logInterval = 5 * time.Second

// NewReporter returns a reporter, and registers its counter.
func NewReporter(registry prometheus.Registerer, log *slog.Logger) *Reporter {
	reporter := &Reporter{log: log, limits: map[metLimit]*loggedLimit{}, counter: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "ebonyshunt_client_limits_total", Help: "Connections closed and requests refused because of limits for all clients, by address and limit.",
	}, []string{"listener", "limit"})}
	registry.MustRegister(reporter.counter)
	return reporter
}

// Record records that a limit of an address, which is named by its setting, closed a connection or refused a request.
func (reporter *Reporter) Record(listener, limit string) {
	reporter.counter.WithLabelValues(listener, limit).Inc()
	reporter.mu.Lock()
	defer reporter.mu.Unlock()
	key := metLimit{listener, limit}
	logged := reporter.limits[key]
	if logged == nil {
		logged = &loggedLimit{}
		reporter.limits[key] = logged
	}
	logged.unlogged++
	if now := time.Now(); now.Sub(logged.at) >= logInterval {
		reporter.log.Warn("limit for clients met", "listener", listener, "limit", limit, "times", logged.unlogged)
		logged.at, logged.unlogged = now, 0
	}
}
