package scheduler

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// metrics are the process's own; every label is drawn from a bounded set.
type metrics struct {
	registry *prometheus.Registry
	looks    prometheus.Counter
	starts   *prometheus.CounterVec
}

func newMetrics(host *Host) *metrics {
	metrics := &metrics{
		registry: prometheus.NewRegistry(),
		looks:    prometheus.NewCounter(prometheus.CounterOpts{Name: "ebonyshunt_looks_total", Help: "Looks at workers."}),
		starts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_starts_total", Help: "Orders to start by outcome.",
		}, []string{"outcome"}),
	}
	metrics.registry.MustRegister(metrics.looks, metrics.starts,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyshunt_deciding", Help: "1 while this host decides.",
		}, func() float64 {
			if host.present() != nil {
				return 1
			}
			return 0
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyshunt_config_version", Help: "Version of the configuration in force.",
		}, func() float64 { return float64(host.catalogVersion()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "ebonyshunt_store_silent_seconds", Help: "Time since the store last answered.",
		}, func() float64 { return host.storeSilent().Round(time.Millisecond).Seconds() }),
	)
	return metrics
}

func (host *Host) routes() http.Handler {
	router := chi.NewRouter()
	router.Handle("/metrics", promhttp.HandlerFor(host.metrics.registry, promhttp.HandlerOpts{}))
	return router
}
