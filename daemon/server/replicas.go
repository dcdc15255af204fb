package server

import (
	"context"
	"time"

	"ebonyshunt.org/library/detector"
	"ebonyshunt.org/library/keeper"
	"ebonyshunt.org/library/retrier"
)

// maxReplicaBatchBytes bounds the data of the records in one call.
const maxReplicaBatchBytes = 512 << 10

// replicaInterval is the time between two searches for peers that lack copies of the zone's records.
const replicaInterval = 100 * time.Millisecond

// replicaWait bounds how long a planned stop waits until the zone's other hosts have copies of all records.
const replicaWait = 5 * time.Second

// copyToReplicas sends all records of the zone to each replica peer whose current incarnation does not have them: a host
// that was restarted has lost its copies.
func (tenure *tenure) copyToReplicas(ctx context.Context) {
	for _, peer := range tenure.server.replicaPeers() {
		if !peer.ShuttingDown && !tenure.hasReplica(peer) {
			tenure.copyTo(ctx, peer)
		}
	}
}

// hasReplica reports whether the current incarnation of a peer has copies of all records.
func (tenure *tenure) hasReplica(peer detector.Peer) bool {
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	return tenure.replicas[peer.Name] == peer.Incarnation
}

// copyTo sends all records of the zone to a peer. Records that are written meanwhile are sent to it by replicate.
func (tenure *tenure) copyTo(ctx context.Context, peer detector.Peer) {
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	batches := splitRecords(tenure.server.records.ByHome(tenure.zone))
	for number, batch := range batches {
		call := StoreRecordsCall{Records: batch, HandedBack: true}
		if number == len(batches)-1 {
			call.Complete = tenure.zone
		}
		if err := tenure.server.peerPool.Call(ctx, peer.Address, methodStoreRecords, call, nil); err != nil {
			tenure.server.log.Debug("records not copied to peer, retrying", "peer", peer.Name, "error", err)
			return
		}
	}
	tenure.mu.Lock()
	defer tenure.mu.Unlock()
	tenure.replicas[peer.Name] = peer.Incarnation
}

// splitRecords splits records into batches of at most maxReplicaBatchBytes, or of one record. There is always one batch.
func splitRecords(records []keeper.Record) [][]keeper.Record {
	batches := [][]keeper.Record{nil}
	size := 0
	for _, record := range records {
		last := len(batches) - 1
		if size += len(record.Data); size > maxReplicaBatchBytes && len(batches[last]) > 0 {
			batches = append(batches, nil)
			size = len(record.Data)
			last++
		}
		batches[last] = append(batches[last], record)
	}
	return batches
}

// replicasComplete reports whether all replica peers have copies of all records, but for those that are shutting down.
func (tenure *tenure) replicasComplete() bool {
	for _, peer := range tenure.server.replicaPeers() {
		if !peer.ShuttingDown && !tenure.hasReplica(peer) {
			return false
		}
	}
	return true
}

// awaitReplicas waits until the zone's records do not depend on this host: until its decider reports that all other
// hosts have copies of them. It gives up after replicaWait.
func (server *Server) awaitReplicas(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, replicaWait)
	defer cancel()
	for ctx.Err() == nil && !server.replicasComplete(ctx) {
		retrier.Sleep(ctx, drainPollInterval)
	}
	if ctx.Err() != nil {
		server.log.Warn("stopping although other hosts may lack copies of the zone's records", "zone", server.settings.Zone)
	}
}

// replicasComplete asks the zone's decider, which may be this host, whether all other hosts have copies of the records.
// Without another host in the zone, there is nothing to wait for.
func (server *Server) replicasComplete(ctx context.Context) bool {
	if tenure := server.currentTenure(); tenure != nil {
		return tenure.replicasComplete()
	}
	peer, found := server.peers.Decider(server.settings.Zone, time.Now())
	if !found {
		return !server.hasSuccessor()
	}
	var answer ReplicasAnswer
	if err := server.peerPool.Call(ctx, peer.Address, methodReplicas, struct{}{}, &answer); err != nil {
		server.log.Debug("decider does not say whether copies are complete", "peer", peer.Name, "error", err)
		return false
	}
	return answer.Complete
}
