package encoder

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// The format versions of the records about leases.
const (
	HandoverVersion    = 1
	LeaseExpiryVersion = 2
)

// Handover is the journal record of a planner that gives no leases any more.
type Handover struct {
	Version int   `json:"version"`
	Term    int64 `json:"term"` // of the planner
	// RenewalsMS is the time, in milliseconds from when this was stored, until no earlier planner gives leases.
	RenewalsMS int64 `json:"renewalsMS"`
	// LeasesMS is the same until the leases of workers that are not in Workers have expired.
	LeasesMS int64 `json:"leasesMS"`
	// Workers is the same until the leases of workers with runs have expired, by the worker's ID, for runs that a life of the worker has shown.
	Workers map[string]int64 `json:"workers,omitempty"`
	// UnknownLives is Workers for runs that no life has shown. Earlier releases do not write it.
	UnknownLives map[string]int64 `json:"unknownLives,omitempty"`
}

// UnmarshalJSON decodes a handover, and refuses a term or times out of range and any other format version than HandoverVersion.
func (handover *Handover) UnmarshalJSON(data []byte) error {
	type plain Handover
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode handover: %w", err)
	}
	if decoded.Version != HandoverVersion {
		return Error.New("handover record has format version %d, this program reads version %d only", decoded.Version, HandoverVersion)
	}
	if decoded.Term <= 0 {
		return Error.New("handover record has term %d, which is not above 0", decoded.Term)
	}
	times := []int64{decoded.RenewalsMS, decoded.LeasesMS}
	times = slices.AppendSeq(times, maps.Values(decoded.Workers))
	times = slices.AppendSeq(times, maps.Values(decoded.UnknownLives))
	for _, timeMS := range times {
		if timeMS < 0 || timeMS > maxExpiryMS {
			return Error.New("handover record has a time of %d ms, which is not from 0 to %d", timeMS, maxExpiryMS)
		}
	}
	*handover = Handover(decoded)
	return nil
}

// LeaseExpiry is the journal record of a worker with runs that does not answer polls.
type LeaseExpiry struct {
	Version     int   `json:"version"`
	RemainingMS int64 `json:"remainingMS"` // time until the leases have expired of runs that a life of the worker has shown, when this was stored
	// UnknownLivesMS is the same for all runs, 0 in the records of earlier releases.
	UnknownLivesMS int64 `json:"unknownLivesMS,omitempty"`
}

// UnmarshalJSON decodes a lease expiry, and refuses a time out of range and any other format version than LeaseExpiryVersion.
func (leaseExpiry *LeaseExpiry) UnmarshalJSON(data []byte) error {
	type plain LeaseExpiry
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode lease expiry: %w", err)
	}
	if decoded.Version != LeaseExpiryVersion {
		return Error.New("lease expiry record has format version %d, this program reads version %d only", decoded.Version, LeaseExpiryVersion)
	}
	for _, timeMS := range []int64{decoded.RemainingMS, decoded.UnknownLivesMS} {
		if timeMS < 0 || timeMS > maxExpiryMS {
			return Error.New("lease expiry record has %d ms left, which is not from 0 to %d", timeMS, maxExpiryMS)
		}
	}
	*leaseExpiry = LeaseExpiry(decoded)
	return nil
}
