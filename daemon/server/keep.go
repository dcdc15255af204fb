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

// storeRecords stores copies of records that the decider of their home zone sends. Records of this host's own zone
// are refused if their term was superseded. Records that were handed back to this host as the decider are also
// restored into the tenure.
func (server *Server) storeRecords(call StoreRecordsCall) (struct{}, error) {
	tenure := server.currentTenure()
	if call.Complete == server.settings.Zone {
		defer server.hasZoneRecords.Store(true)
	}
	for _, record := range call.Records {
		ownZone := record.Home == server.settings.Zone
		if ownZone && !call.HandedBack && record.Term.Less(server.peers.Term(record.Home)) {
			return struct{}{}, Error.New("record refused: term %s was superseded", record.Term)
		}
		server.records.Put(record)
		if !ownZone {
			continue
		}
		if call.HandedBack && tenure != nil {
			tenure.restoreLateRecord(record)
		}
	}
	return struct{}{}, nil
}

// handBackRecords sends the stored records of a zone to its decider, once for each incarnation and term, in case
// the decider could not gather them or an earlier decider wrote them late. A later heartbeat repeats a failed call.
func (server *Server) handBackRecords(heartbeat Heartbeat) {
	if !heartbeat.Deciding {
		return
	}
	deciderID := heartbeat.Incarnation + heartbeat.Term.String()
	server.mu.Lock()
	known := server.handedBackTo[heartbeat.Zone] == deciderID
	server.handedBackTo[heartbeat.Zone] = deciderID
	server.mu.Unlock()
	records := server.records.ByHome(heartbeat.Zone)
	if known || len(records) == 0 {
		return
	}
	server.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(server.abandonContext, clientTimeout)
		defer cancel()
		if err := server.peerPool.Call(ctx, heartbeat.Address, methodStoreRecords, StoreRecordsCall{Records: records, HandedBack: true}, nil); err != nil {
			server.log.Debug("records not handed back to decider", "peer", heartbeat.Host, "error", err)
			server.mu.Lock()
			delete(server.handedBackTo, heartbeat.Zone)
			server.mu.Unlock()
		}
	})
}

// restoreLateRecord restores a record of an earlier term if the tenure does not have it.
func (tenure *tenure) restoreLateRecord(record keeper.Record) {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	_, knownJob := tenure.jobs[record.ID]
	_, knownKey := tenure.keys[record.ID]
	if knownJob || knownKey || record.Term == tenure.term {
		return
	}
	tenure.restoreRecord(record)
	tenure.requestTick()
}

// replicaPeers returns the peers that store copies of records: all live hosts of the zone and one of another zone.
func (server *Server) replicaPeers() []detector.Peer {
	var chosen []detector.Peer
	otherZoneChosen := false
	for _, peer := range server.peers.Alive(time.Now()) {
		if peer.Zone != server.settings.Zone {
			if otherZoneChosen {
				continue
			}
			otherZoneChosen = true
		}
		chosen = append(chosen, peer)
	}
	return chosen
}

// errNotReplicated is returned when no other host stored a copy of a record.
var errNotReplicated = Error.New("no other host stored a copy of the record")

// replicate replicates records to the peers of replicaPeers. It returns errNotReplicated unless at least one stored them.
func (tenure *tenure) replicate(ctx context.Context, records ...keeper.Record) error {
	server := tenure.server
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	peers := server.replicaPeers()
	stored := make(chan bool, len(peers))
	for _, peer := range peers {
		tenure.goroutines.Go(func() {
			err := server.peerPool.Call(ctx, peer.Address, methodStoreRecords, StoreRecordsCall{Records: records}, nil)
			if err != nil {
				server.log.Debug("record not stored by peer", "peer", peer.Name, "error", err)
			}
			stored <- err == nil
		})
	}
	copies := 0
	for range peers {
		if <-stored {
			copies++
		}
	}
	if copies == 0 {
		return errNotReplicated
	}
	for _, record := range records {
		server.records.Put(record)
	}
	return nil
}

// newRecord returns a record of the tenure's zone with the JSON encoding of a value.
func (tenure *tenure) newRecord(id, kind string, version int64, expires time.Time, value any) (keeper.Record, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return keeper.Record{}, fmt.Errorf("encode record %s: %w", id, err)
	}
	return keeper.Record{ID: id, Home: tenure.zone, Kind: kind, Term: tenure.term, Version: version, Expires: expires, Data: data}, nil
}

// gatherRecords fetches the zone's records from all peers and restores jobs and idempotency keys from them.
func (tenure *tenure) gatherRecords(ctx context.Context) {
	server := tenure.server
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for address := range server.peerAddresses() {
		wait.Go(func() {
			var answer ListRecordsAnswer
			if err := server.peerPool.Call(ctx, address, methodListRecords, ListRecordsCall{Zone: tenure.zone}, &answer); err != nil {
				server.log.Debug("records not fetched from peer", "peer", address, "error", err)
				return
			}
			for _, record := range answer.Records {
				server.records.Put(record)
			}
		})
	}
	wait.Wait()
	tenure.recordsMayBeMissing = tenure.term.Number > 1 && !tenure.hasPredecessorRecords()
	server.hasZoneRecords.Store(true) // from now on, it has all that can still be had
	if tenure.recordsMayBeMissing {
		server.Timeline.Record(recorder.Event{Kind: "recordsMayBeMissing", Detail: tenure.term.String()})
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	for _, record := range server.records.ByHome(tenure.zone) {
		tenure.restoreRecord(record)
	}
}

// hasPredecessorRecords reports whether all records of earlier terms are known to be available: this host or another live
// host of the zone has copies of all.
func (tenure *tenure) hasPredecessorRecords() bool {
	server := tenure.server
	if server.hasZoneRecords.Load() {
		return true
	}
	for _, peer := range server.peers.Alive(time.Now()) {
		if peer.Zone == tenure.zone && peer.HasRecords {
			return true
		}
	}
	return false
}

// restoreRecord restores a record of an earlier term. A record of a later term proves that this tenure was superseded, and is
// left to the later decider: its work may run, or have run, on workers that this tenure wrongly believes to own, and may be
// started again on those that the later decider could not claim yet.
func (tenure *tenure) restoreRecord(record keeper.Record) {
	if tenure.term.Less(record.Term) {
		tenure.server.peers.ObserveTerm(tenure.zone, record.Term)
		return
	}
	var err error
	switch record.Kind {
	case kindKey:
		err = tenure.restoreKey(record)
	case kindJob:
		err = tenure.restoreJob(record)
	}
	if err != nil {
		tenure.server.log.Warn("stored record not restored", "record", record.ID, "error", err)
	}
}
