package scheduler

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics holds the Prometheus metrics of the process. The values of each label come from a bounded set.
type metrics struct {
	registry *prometheus.Registry
	polls    prometheus.Counter
	starts   *prometheus.CounterVec
	calls    *prometheus.HistogramVec
	appends  prometheus.Histogram
	jobs     *prometheus.HistogramVec
	endings  *prometheus.CounterVec
	// lateRuns counts the copies and moves of late urgent runs, unlike hedgedCalls, which counts repeated calls to peers.
	lateRuns *lateRunCounters
	// hedgedCalls counts the calls to peers that were repeated because their answers were late.
	hedgedCalls *prometheus.CounterVec
	// calibration counts how often learned run times held.
	calibration *calibrationCounters
	refusals    *prometheus.CounterVec
	// foreignCalls counts the calls for jobs of other customers or queues, by method.
	foreignCalls *prometheus.CounterVec
	// droppedCalls counts the calls to workers that this host did not send for the decider, since their time was over.
	droppedCalls prometheus.Counter
	// sentCatalogBytes counts the bytes of the configurations that were sent to other hosts.
	sentCatalogBytes prometheus.Counter

	// The load of the decider, from the last second in which this host decided.
	waitingTasks   prometheus.Gauge
	runs           prometheus.Gauge
	unknownWorkers prometheus.Gauge
	usedShare      prometheus.Gauge
	lag            prometheus.Gauge
	drainedRuns    *prometheus.GaugeVec
	shares         shareMetrics
}

// Buckets of durations in seconds: 2 ms to 4 s, and 0.1 s to 7 minutes.
var (
	callBuckets = prometheus.ExponentialBuckets(0.002, 2, 12)
	jobBuckets  = prometheus.ExponentialBuckets(0.1, 2, 13)
)

func newMetrics(host *Host) *metrics {
	metrics := &metrics{
		registry: prometheus.NewRegistry(),
		polls:    prometheus.NewCounter(prometheus.CounterOpts{Name: "ebonyshunt_looks_total", Help: "Looks at workers."}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_starts_total", Help: "Orders to start by outcome.",
		}, []string{"outcome"}),
		calls: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ebonyshunt_call_duration_seconds", Help: "Callers' calls by method and verdict.", Buckets: callBuckets,
		}, []string{"method", "verdict"}),
		appends: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "ebonyshunt_append_duration_seconds", Help: "Time until a batch is stored.", Buckets: callBuckets,
		}),
		jobs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "ebonyshunt_job_duration_seconds", Help: "Time from acceptance to the final state.", Buckets: jobBuckets,
		}, []string{"state"}),
		endings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_run_endings_total", Help: "Runs that ended otherwise than done.",
		}, []string{"ending"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_refusals_total", Help: "Jobs that the decider refused by its forecast, by reason.",
		}, []string{"reason"}),
		sentCatalogBytes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ebonyshunt_sent_config_bytes_total", Help: "Bytes of configurations sent to other hosts.",
		}),
		foreignCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_foreign_calls_total", Help: "Calls for jobs of other customers or queues, which were refused.",
		}, []string{"method"}),
		droppedCalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ebonyshunt_dropped_calls_total", Help: "Calls to workers that a delegate did not send, since their time was over.",
		}),
		hedgedCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_hedged_calls_total", Help: "Calls to peers that were repeated because their answers were late.",
		}, []string{"method"}),
		waitingTasks:   newGauge("ebonyshunt_waiting_tasks", "Tasks that wait for capacity, on the decider."),
		runs:           newGauge("ebonyshunt_runs", "Runs that exist or may exist, on the decider."),
		unknownWorkers: newGauge("ebonyshunt_unknown_workers", "Workers whose runs are not known, on the decider."),
		usedShare:      newGauge("ebonyshunt_used_share", "Share of the fleet's capacity that runs use, on the decider."),
		lag:            newGauge("ebonyshunt_planning_lag_seconds", "Average delay of timers, on the decider."),
		drainedRuns: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "ebonyshunt_drained_zone_runs", Help: "Runs that exist or may exist in each drained zone, on the decider.",
		}, []string{"zone"}),
		shares: newShareMetrics(),
	}
	metrics.calibration = newCalibrationCounters(metrics.registry)
	metrics.lateRuns = newLateRunCounters(metrics.registry)
	metrics.register(host)
	return metrics
}

// register registers the metrics, and those that are read from the host when they are asked for.
func (metrics *metrics) register(host *Host) {
	metrics.registry.MustRegister(
		metrics.polls, metrics.starts, metrics.calls, metrics.appends, metrics.jobs, metrics.endings,
		metrics.sentCatalogBytes, metrics.hedgedCalls, metrics.droppedCalls, metrics.foreignCalls, metrics.refusals,
		metrics.waitingTasks, metrics.runs, metrics.unknownWorkers, metrics.usedShare, metrics.lag,
		metrics.drainedRuns, metrics.shares.share, metrics.shares.used, metrics.shares.givenBack,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyshunt_deciding", Help: "1 while this host decides.",
		}, func() float64 {
			if host.currentTenure() != nil {
				return 1
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyshunt_config_version", Help: "Version of the configuration in force.",
		}, func() float64 { return float64(host.catalogVersion()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyshunt_store_silent_seconds", Help: "Time since the store last answered.",
		}, func() float64 { return host.sinceStoreAnswer().Round(time.Millisecond).Seconds() }),
	)
}

func newGauge(name, help string) prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help})
}

func (host *Host) routes() http.Handler {
	router := chi.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(host.metrics.registry, promhttp.HandlerOpts{}))
	return router
}
