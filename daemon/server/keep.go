package server

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"ebonyshunt.org/library/detector"
	"ebonyshunt.org/library/keeper"
	"ebonyshunt.org/library/recorder"
)

// keepFor keeps records for the decider of their home zone, which takes in what was handed back to it.
func (server *Server) keepFor(call KeepCall) (struct{}, error) {
	tenure := server.deciding()
	for _, record := range call.Records {
		own := record.Home == server.settings.Zone
		if own && !call.HandedBack && record.Term.Less(server.peers.Term(record.Home)) {
			return struct{}{}, Error.New("term %s is over", record.Term)
		}
		server.kept.Put(record)
		if !own {
			continue
		}
		server.knewZone.Store(true)
		if call.HandedBack && tenure != nil {
			tenure.restoreLate(record)
		}
	}
	return struct{}{}, nil
}

// handBack sends the kept records of a zone to a decider that is new to this host, in case it could not
// gather them, or a former decider wrote them late.
func (server *Server) handBack(beat Beat) {
	if !beat.Deciding {
		return
	}
	decider := beat.Incarnation + beat.Term.String()
	server.mu.Lock()
	known := server.handedBack[beat.Zone] == decider
	server.handedBack[beat.Zone] = decider
	server.mu.Unlock()
	records := server.kept.Home(beat.Zone)
	if known || len(records) == 0 {
		return
	}
	server.wait.Go(func() {
		ctx, cancel := context.WithTimeout(server.abandoned, clientTimeout)
		defer cancel()
		if err := server.pool.Call(ctx, beat.Address, methodKeep, KeepCall{Records: records, HandedBack: true}, nil); err != nil {
			server.log.Debug("records not handed back", "peer", beat.Host, "error", err)
			server.mu.Lock()
			delete(server.handedBack, beat.Zone)
			server.mu.Unlock()
		}
	})
}

// restoreLate takes in a record of an earlier term that the tenure does not know.
func (tenure *tenure) restoreLate(record keeper.Record) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	_, job := tenure.jobs[record.ID]
	_, key := tenure.keys[record.ID]
	if job || key || record.Term == tenure.term {
		return
	}
	tenure.restore(record)
	tenure.poke()
}

// keepers returns the peers that keep copies: every live host of the zone and one of another zone.
func (server *Server) keepers() []detector.Peer {
	var chosen []detector.Peer
	outside := false
	for _, peer := range server.peers.Alive(time.Now()) {
		if peer.Zone != server.settings.Zone {
			if outside {
				continue
			}
			outside = true
		}
		chosen = append(chosen, peer)
	}
	return chosen
}

// errNotKept says that no other host took a copy.
var errNotKept = Error.New("no other host took a copy of the record")

// keep copies records to other hosts and fails unless at least one took them.
func (tenure *tenure) keep(ctx context.Context, records ...keeper.Record) error {
	server := tenure.server
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peers := server.keepers()
	taken := make(chan bool, len(peers))
	for _, peer := range peers {
		tenure.wait.Go(func() {
			err := server.pool.Call(ctx, peer.Address, methodKeep, KeepCall{Records: records}, nil)
			if err != nil {
				server.log.Debug("record not kept", "peer", peer.Name, "error", err)
			}
			taken <- err == nil
		})
	}
	copies := 0
	for range peers {
		if <-taken {
			copies++
		}
	}
	if copies == 0 {
		return errNotKept
	}
	for _, record := range records {
		server.kept.Put(record)
	}
	return nil
}

// newRecord wraps a value as a record of the tenure's zone.
func (tenure *tenure) newRecord(id, kind string, version int64, expires time.Time, value any) (keeper.Record, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return keeper.Record{}, fmt.Errorf("encode record %s: %w", id, err)
	}
	return keeper.Record{ID: id, Home: tenure.zone, Kind: kind, Term: tenure.term, Version: version, Expires: expires, Data: data}, nil
}

// gather collects the zone's records from every host that may hold some, and rebuilds jobs and keys.
func (tenure *tenure) gather(ctx context.Context) {
	server := tenure.server
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for address := range server.peerAddresses() {
		wait.Go(func() {
			var answer KeptAnswer
			if err := server.pool.Call(ctx, address, methodKept, KeptCall{Zone: tenure.zone}, &answer); err != nil {
				server.log.Debug("kept records not fetched", "peer", address, "error", err)
				return
			}
			for _, record := range answer.Records {
				server.kept.Put(record)
			}
		})
	}
	wait.Wait()
	tenure.lost = tenure.term.Number > 1 && !tenure.sawPredecessors()
	if tenure.lost {
		server.Timeline.Record(recorder.Event{Kind: "recordsMayBeMissing", Detail: tenure.term.String()})
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for _, record := range server.kept.Home(tenure.zone) {
		tenure.restore(record)
	}
}

// sawPredecessors reports whether the records of earlier terms are surely at hand: another host of the
// zone, or this one, was there before the term began and keeps copies of all.
func (tenure *tenure) sawPredecessors() bool {
	server := tenure.server
	if server.knewZone.Load() {
		return true
	}
	for _, peer := range server.peers.Alive(time.Now()) {
		if peer.Zone == tenure.zone {
			return true
		}
	}
	return false
}

func (tenure *tenure) restore(record keeper.Record) {
	var err error
	switch record.Kind {
	case kindKey:
		err = tenure.restoreKey(record)
	case kindJob:
		err = tenure.restoreJob(record)
	}
	if err != nil {
		tenure.server.log.Warn("kept record skipped", "record", record.ID, "error", err)
	}
}
