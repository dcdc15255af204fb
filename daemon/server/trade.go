package server

import (
	"context"
	"time"

	"ebonyshunt.org/library/limiter"
	"ebonyshunt.org/library/replayer"
	"ebonyshunt.org/library/sizer"
	"github.com/google/uuid"
)

const (
	sliceInterval      = 500 * time.Millisecond
	appendTimeout      = 2 * time.Second
	checkpointInterval = 5 * time.Minute
)

// teamSlice returns the part of a team's limit that the zone may use. The caller holds tenure.mu. With exact
// false, the first record of this term was not read back from the log yet: an earlier decider may have
// released more than is known, but never below the floor, so the slice is capped at the floor. What the
// pending record releases is deducted.
func (tenure *tenure) teamSlice(team string, exact bool, zones int) sizer.Size {
	account := tenure.server.register.Account(team)
	usable := limiter.UsableSlice(account, tenure.zone, zones)
	if !exact {
		return usable.Min(limiter.Floor(account, zones))
	}
	if tenure.pendingRecord == nil {
		return usable
	}
	for _, change := range tenure.pendingRecord.Changes {
		if change.Team == team {
			return usable.Sub(change.Release)
		}
	}
	return usable
}

// appendSliceRecord appends the changes of the zone's slices to the log. A record is appended again until it is
// read back from the log; duplicates have no effect because each step is applied once. The first record of a
// term has no changes and only begins the term.
func (tenure *tenure) appendSliceRecord(ctx context.Context) {
	record, due := tenure.nextSliceRecord()
	if !due {
		return
	}
	tenure.refresh()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	logRecord := replayer.Record{Format: replayer.Format, ID: uuid.NewString(), Author: tenure.server.settings.Host, Slice: &record}
	if _, err := tenure.server.logClient.Append(ctx, logRecord); err != nil {
		tenure.server.log.Debug("slice record not appended", "error", err)
	}
}

// nextSliceRecord returns the pending record until it is read back from the log, then a new one if slices
// should change. It returns false if nothing is to be appended.
func (tenure *tenure) nextSliceRecord() (limiter.Record, bool) {
	zones := len(tenure.server.viewer.View().Fleet.Zones)
	register := tenure.server.register
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	last := register.Tenure(tenure.zone)
	if tenure.pendingRecord != nil && (last.Term != tenure.term || last.Step < tenure.pendingRecord.Step) {
		return *tenure.pendingRecord, true
	}
	record := limiter.Record{Zone: tenure.zone, Term: tenure.term, Step: 1}
	if last.Term == tenure.term {
		tenure.pendingRecord = nil
		record.Step = last.Step + 1
		record.Changes = tenure.sliceChanges(zones)
		if len(record.Changes) == 0 {
			return limiter.Record{}, false
		}
	}
	tenure.pendingRecord = &record
	return record, true
}

// sliceChanges returns the changes that the zone needs to its slices. The queued demand of a team counts only up
// to the capacity that the team does not use yet.
func (tenure *tenure) sliceChanges(zones int) []limiter.Change {
	var changes []limiter.Change
	total := tenure.decider.TotalCapacity()
	for _, team := range tenure.decider.Teams() {
		account := tenure.server.register.Account(team.Name)
		unused := total.Sub(team.Used).Max(sizer.Size{})
		demand := limiter.Demand{Team: team.Name, Used: team.Used, QueuedSize: team.QueuedSize.Min(unused)}
		if change, due := limiter.Plan(account, tenure.zone, zones, demand); due {
			changes = append(changes, change)
		}
	}
	return changes
}

// appendCheckpoint appends the whole state to the log, for hosts that start after older records were dropped
// from it. Only the decider of the fleet's first zone does so.
func (server *Server) appendCheckpoint(ctx context.Context) {
	zones := server.viewer.View().Fleet.Zones
	if server.currentTenure() == nil || len(zones) == 0 || zones[0] != server.settings.Zone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record := server.register.Checkpoint(uuid.NewString(), server.settings.Host)
	if _, err := server.logClient.Append(ctx, record); err != nil {
		server.log.Debug("checkpoint not appended", "error", err)
	}
}
