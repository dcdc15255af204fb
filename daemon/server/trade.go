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
	tradeEvery      = 500 * time.Millisecond
	appendTimeout   = 2 * time.Second
	checkpointEvery = 5 * time.Minute
)

// slice returns what the zone may run of a team; the caller holds the lock. Until the log has shown the
// tenure's own first record, a predecessor may have released more than is known, but never below the
// floor. What the tenure is about to release no longer counts.
func (tenure *tenure) slice(team string, exact bool, zones int) sizer.Size {
	account := tenure.server.register.Account(team)
	held := limiter.Spendable(account, tenure.zone, zones)
	if !exact {
		return held.Min(limiter.Floor(account, zones))
	}
	if tenure.pending == nil {
		return held
	}
	for _, change := range tenure.pending.Changes {
		if change.Team == team {
			return held.Sub(change.Release)
		}
	}
	return held
}

// trade asks the log for changes of the zone's slices. A record is appended again until the log shows
// it, which is harmless as its step counts once; the first record of a term only begins it.
func (tenure *tenure) trade(ctx context.Context) {
	record, due := tenure.nextTrade()
	if !due {
		return
	}
	tenure.refresh()
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	wrapped := replayer.Record{Format: replayer.Format, ID: uuid.NewString(), Author: tenure.server.settings.Host, Slice: &record}
	if _, err := tenure.server.logClient.Append(ctx, wrapped); err != nil {
		tenure.server.log.Debug("slice record not appended", "error", err)
	}
}

// nextTrade returns the record that the log has not shown yet, or a new one where there is demand.
func (tenure *tenure) nextTrade() (limiter.Record, bool) {
	zones := len(tenure.server.viewer.View().Fleet.Zones)
	register := tenure.server.register
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	last := register.Tenure(tenure.zone)
	if tenure.pending != nil && (last.Term != tenure.term || last.Step < tenure.pending.Step) {
		return *tenure.pending, true
	}
	record := limiter.Record{Zone: tenure.zone, Term: tenure.term, Step: 1}
	if last.Term == tenure.term {
		tenure.pending = nil
		record.Step = last.Step + 1
		record.Changes = tenure.changes(zones)
		if len(record.Changes) == 0 {
			return limiter.Record{}, false
		}
	}
	tenure.pending = &record
	return record, true
}

// changes returns what the zone asks of each team's limit, and of none more than its workers could hold.
func (tenure *tenure) changes(zones int) []limiter.Change {
	var changes []limiter.Change
	total := tenure.decider.Total()
	for _, team := range tenure.decider.Teams() {
		account := tenure.server.register.Account(team.Name)
		room := total.Sub(team.Used).Max(sizer.Size{})
		demand := limiter.Demand{Team: team.Name, Used: team.Used, Queued: team.Queued.Min(room)}
		if change, due := limiter.Plan(account, tenure.zone, zones, demand); due {
			changes = append(changes, change)
		}
	}
	return changes
}

// checkpoint appends the whole state now and then, for hosts that start after older records were dropped.
// Only the decider of the first zone of the fleet does so.
func (server *Server) checkpoint(ctx context.Context) {
	zones := server.viewer.View().Fleet.Zones
	if server.deciding() == nil || len(zones) == 0 || zones[0] != server.settings.Zone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	record := server.register.Checkpoint(uuid.NewString(), server.settings.Host)
	if _, err := server.logClient.Append(ctx, record); err != nil {
		server.log.Debug("checkpoint not appended", "error", err)
	}
}
