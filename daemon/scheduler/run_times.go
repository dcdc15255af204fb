package scheduler

import (
	"ebonyshunt.org/library/planner"
	"github.com/prometheus/client_golang/prometheus"
)

// calibrationCounters count how often learned run times held. Their queues are those of the configuration.
type calibrationCounters struct {
	runs *prometheus.CounterVec
	held *prometheus.CounterVec
}

// newCalibrationCounters returns counters that are registered.
func newCalibrationCounters(registry *prometheus.Registry) *calibrationCounters {
	calibrationCounters := &calibrationCounters{
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_expected_runs_total", Help: "Completed runs for which a run time was expected, on the decider, by queue.",
		}, []string{"queue"}),
		held: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ebonyshunt_expected_runs_held_total", Help: "Runs of ebonyshunt_expected_runs_total that took no longer than the given quantile of the expected run time.",
		}, []string{"queue", "quantile"}),
	}
	registry.MustRegister(calibrationCounters.runs, calibrationCounters.held)
	return calibrationCounters
}

// add counts the runs of one batch.
func (calibrationCounters *calibrationCounters) add(calibrations []planner.Calibration) {
	for _, calibration := range calibrations {
		calibrationCounters.runs.WithLabelValues(calibration.Queue).Add(float64(calibration.Runs))
		calibrationCounters.held.WithLabelValues(calibration.Queue, "0.5").Add(float64(calibration.WithinMedian))
		calibrationCounters.held.WithLabelValues(calibration.Queue, "0.9").Add(float64(calibration.WithinHigh))
	}
}

// expectationFields returns the log fields of a job's expected run time, none if it was not learned.
func expectationFields(event planner.EndEvent) []any {
	if event.Expected == 0 {
		return nil
	}
	return []any{"expected", event.Expected.String(), "expectedFrom", event.ExpectedRuns}
}
