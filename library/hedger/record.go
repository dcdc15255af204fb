package hedger

import (
	"math"
	"time"
)

// recordHalfLife is the time in which an outcome loses half of its weight, so that moves are tried again some time after many
// have been lost.
const recordHalfLife = 20 * time.Second

// Record counts the outcomes of moves, the latest ones most. It tells whether late runs are late because of their workers, so
// that moves help, or because of their tasks. The zero value is ready to use.
type Record struct {
	won, lost float64
	updatedAt time.Time
}

// Add counts an outcome.
func (record *Record) Add(won bool, now time.Time) {
	weight := record.weight(now)
	record.won, record.lost, record.updatedAt = record.won*weight, record.lost*weight, now
	if won {
		record.won++
	} else {
		record.lost++
	}
}

// Chance returns the probability that the next move helps, 0.5 without any outcome.
func (record *Record) Chance(now time.Time) float64 {
	weight := record.weight(now)
	return (record.won*weight + 1) / ((record.won+record.lost)*weight + 2)
}

// weight returns the weight that the outcomes so far have.
func (record *Record) weight(now time.Time) float64 {
	return math.Exp2(-float64(max(now.Sub(record.updatedAt), 0)) / float64(recordHalfLife))
}
