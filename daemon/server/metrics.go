package server

import (
	"time"

	"ebonyshunt.org/library/responder"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// metrics holds the Prometheus metrics of the process. The values of every label come from a bounded set.
type metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	problems  *prometheus.CounterVec
	durations *prometheus.HistogramVec
}

func newMetrics() *metrics {
	metrics := &metrics{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_requests_total",
			Help: "Requests by class and outcome.",
		}, []string{"class", "outcome"}),
		problems: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_problems_total",
			Help: "Problem answers by code.",
		}, []string{"code"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "ebonyshunt_request_duration_seconds",
			Help:    "Time from a request's arrival to the end of its answer.",
			Buckets: prometheus.ExponentialBuckets(0.002, 2, 16),
		}, []string{"class"}),
	}
	metrics.registry.MustRegister(metrics.requests, metrics.problems, metrics.durations, collectors.NewGoCollector())
	return metrics
}

// registerGauges registers the gauges whose values are read from the server at each scrape.
func (metrics *metrics) registerGauges(server *Server) {
	gauges := map[string]struct {
		help string
		read func() float64
	}{
		"ebonyshunt_config_offset":          {"Log offset of the configuration in force.", func() float64 { return float64(server.register.AsOf()) }},
		"ebonyshunt_config_stale_seconds":   {"Time since the configuration was last known to be the latest, -1 for never.", func() float64 { return server.staleness().Seconds() }},
		"ebonyshunt_config_undecodable":     {"Sections whose latest text does not decode.", func() float64 { return float64(len(server.viewer.View().Undecodable)) }},
		"ebonyshunt_log_records_skipped":    {"Log records that did not decode.", func() float64 { return float64(server.tailer.Skipped.Load()) }},
		"ebonyshunt_requests_in_flight":     {"Requests being served.", func() float64 { return float64(server.admission.InUse()) }},
		"ebonyshunt_peers_alive":            {"Peers heard within the timeout.", func() float64 { return float64(len(server.peers.Alive(time.Now()))) }},
		"ebonyshunt_deciding":               {"1 while this host decides for its zone.", func() float64 { return boolToFloat(server.currentTenure() != nil) }},
		"ebonyshunt_kept_records":           {"Records kept for this and other hosts.", func() float64 { records, _ := server.records.Size(); return float64(records) }},
		"ebonyshunt_peer_bytes":             {"Bytes to and from peers.", func() float64 { return float64(server.PeerBytes()) }},
		"ebonyshunt_decider_placements":     {"Grants given in the present term.", func() float64 { return server.readDeciderCounts().placements }},
		"ebonyshunt_decider_examined":       {"Workers looked at for placements in the present term.", func() float64 { return server.readDeciderCounts().examined }},
		"ebonyshunt_decider_queued_works":   {"Works waiting in the zone.", func() float64 { return server.readDeciderCounts().queued }},
		"ebonyshunt_decider_unclaimed":      {"Workers of the zone that are not claimed.", func() float64 { return server.readDeciderCounts().unclaimed }},
		"ebonyshunt_shutdown_in_progress":   {"1 while the host is stopping.", func() float64 { return boolToFloat(server.shuttingDown.Load()) }},
		"ebonyshunt_timeline_capacity_size": {"Events that the time line keeps.", func() float64 { return float64(server.settings.TimelineSize) }},
	}
	for name, gauge := range gauges {
		metrics.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: gauge.help}, gauge.read))
	}
}

// deciderCounts are the gauges of the current tenure, all 0 if this host is not the decider.
type deciderCounts struct {
	placements, examined, queued, unclaimed float64
}

func (server *Server) readDeciderCounts() deciderCounts {
	tenure := server.currentTenure()
	if tenure == nil {
		return deciderCounts{}
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	counts := deciderCounts{
		placements: float64(tenure.decider.Counters.Placements),
		examined:   float64(tenure.decider.Counters.Examined),
	}
	for _, team := range tenure.decider.Teams() {
		counts.queued += float64(team.QueuedTasks)
	}
	for _, worker := range tenure.decider.Workers() {
		counts.unclaimed += boolToFloat(!worker.Claimed)
	}
	return counts
}

// PeerBytes returns the number of bytes sent to and received from peers since the start.
func (server *Server) PeerBytes() int64 { return server.peerPool.Bytes() + server.peerServer.Bytes() }

func (metrics *metrics) observeRequest(request *clientRequest, outcome responder.Outcome) {
	metrics.requests.WithLabelValues(request.class.String(), string(outcome)).Inc()
	metrics.durations.WithLabelValues(request.class.String()).Observe(time.Since(request.arrived).Seconds())
}

func (metrics *metrics) countProblem(problem *responder.Problem) {
	metrics.problems.WithLabelValues(string(problem.Code())).Inc()
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
