package server

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/keeper"
	"ebonyshunt.org/library/responder"
)

// Methods of the calls between entry hosts.
const (
	methodHeartbeat    = "beat"
	methodSections     = "sections"
	methodPlace        = "place"
	methodWithdraw     = "withdraw"
	methodFinish       = "finish"
	methodResolve      = "resolve"
	methodStoreRecords = "keep"
	methodListRecords  = "kept"
	methodReplicas     = "replicas"
	methodTakeKey      = "takeKey"
	methodEndKey       = "endKey"
	methodSubmitJob    = "submitJob"
	methodJob          = "job"
	methodCancelJob    = "cancelJob"
	methodStatus       = "status"
	methodTimeline     = "timeline"
)

// Heartbeat is the state of a host that it sends to its peers. The answer is the heartbeat of the peer.
type Heartbeat struct {
	Host         string      `json:"host"`
	Zone         string      `json:"zone,omitempty"`
	Address      string      `json:"address,omitempty"` // address on which the host serves calls of peers
	Incarnation  string      `json:"incarnation,omitempty"`
	ShuttingDown bool        `json:"leaving,omitempty"`
	Term         fencer.Term `json:"term,omitzero"` // latest term of its zone that is known to the host
	Deciding     bool        `json:"deciding,omitempty"`
	HasRecords   bool        `json:"hasRecords,omitempty"` // has copies of all records of its zone
	AsOf         int64       `json:"asOf,omitempty"`       // log offset of its configuration
	StaleMS      int64       `json:"staleMS,omitempty"`    // milliseconds since its configuration was last known to be the latest, -1 for never
	Relayed      []Heartbeat `json:"relayed,omitempty"`    // deciders from which the host receives heartbeats directly

	Same bool `json:"same,omitempty"` // all other fields but Want are as in the host's last full heartbeat to the same peer, and omitted
	Want bool `json:"want,omitempty"` // the host has no full heartbeat of the peer and requests one
}

// UnmarshalJSON decodes a heartbeat. It returns an error if the host is missing, or the zone or incarnation of a
// full heartbeat.
func (heartbeat *Heartbeat) UnmarshalJSON(data []byte) error {
	type plain Heartbeat
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode heartbeat: %w", err)
	}
	if decoded.Host == "" || (!decoded.Same && (decoded.Zone == "" || decoded.Incarnation == "")) {
		return Error.New("heartbeat without host, zone or incarnation")
	}
	*heartbeat = Heartbeat(decoded)
	return nil
}

// SectionsCall requests the configuration state that changed after a log offset.
type SectionsCall struct {
	Since int64 `json:"since"`
}

// PlaceCall requests a grant for a work item from a decider. The answer comes when the item is granted or refused.
type PlaceCall struct {
	Work  decider.Work `json:"work"`
	Spill bool         `json:"spill,omitempty"` // refuse at once if the expected wait is unknown or above spillThreshold
}

// PlaceAnswer holds a grant or a problem.
type PlaceAnswer struct {
	Grant   *fencer.Grant      `json:"grant,omitempty"`
	Attempt int                `json:"attempt,omitempty"`
	Problem *responder.Problem `json:"problem,omitempty"`
	Spill   bool               `json:"spill,omitempty"` // set with Problem: another zone may take the work item
}

// WorkCall is a call about a work item, by its ID.
type WorkCall struct {
	Work string `json:"work"`
}

// FinishCall reports to a decider how an attempt ended, as observed by its entry host. With an empty ending the
// decider queries the worker.
type FinishCall struct {
	Task   string         `json:"task"`
	Ending decider.Ending `json:"ending,omitempty"`
	Status int            `json:"status,omitempty"`
}

// ResolveCall queries a decider for how an attempt of a work item ended, after its answer was lost.
type ResolveCall struct {
	Work string `json:"work"`
	Task string `json:"task,omitempty"` // empty for the latest attempt
}

// ResolveAnswer is the state of an attempt in the tables of its decider. Pending is set while its end is not known.
type ResolveAnswer struct {
	Known   bool           `json:"known"`
	Pending bool           `json:"pending,omitempty"`
	Ending  decider.Ending `json:"ending,omitempty"`
}

// StoreRecordsCall sends a peer copies of records to store.
type StoreRecordsCall struct {
	Records    []keeper.Record `json:"records"`
	HandedBack bool            `json:"handedBack,omitempty"` // of any term: handed back to the decider of their home zone, or copied by it
	Complete   string          `json:"complete,omitempty"`   // zone of which these are, with the calls before, all records
}

// ReplicasAnswer is a decider's answer to whether all other hosts have copies of its zone's records.
type ReplicasAnswer struct {
	Complete bool `json:"complete"`
}

// ListRecordsCall requests the stored records of a home zone from a peer.
type ListRecordsCall struct {
	Zone string `json:"zone"`
}

// ListRecordsAnswer is the answer to ListRecordsCall.
type ListRecordsAnswer struct {
	Records []keeper.Record `json:"records"`
}

// TakeKeyCall registers a request as the holder of an idempotency key.
type TakeKeyCall struct {
	Key         string `json:"key"` // prefixed with the team
	Fingerprint string `json:"fingerprint"`
	Request     string `json:"request"`
	Host        string `json:"host"`
	Zone        string `json:"zone"` // zone in which the request is placed
	Incarnation string `json:"incarnation"`
	Handle      bool   `json:"handle,omitempty"` // the key is a handle that the home zone of the key issued
}

// EndKeyCall reports how the request that holds a key ended.
type EndKeyCall struct {
	Key     string            `json:"key"`
	Request string            `json:"request"`
	Outcome responder.Outcome `json:"outcome"`
	Answer  *StoredResponse   `json:"answer,omitempty"`
}

// StoredResponse is a complete response that is small enough to be stored for its idempotency key.
type StoredResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// KeyAnswer is the state of an idempotency key in its home zone, or a problem. All fields are empty in the answer to EndKeyCall.
type KeyAnswer struct {
	Fresh   bool               `json:"fresh,omitempty"` // the request of the TakeKeyCall holds the key and may start
	Problem *responder.Problem `json:"problem,omitempty"`
	Answer  *StoredResponse    `json:"answer,omitempty"`
}

// SubmitJobCall submits a job to the decider of its home zone.
type SubmitJobCall struct {
	ID     string  `json:"id"`
	Team   string  `json:"team"`             // of the queue
	Caller string  `json:"caller,omitempty"` // team of the caller, empty from hosts of earlier releases
	Spec   JobSpec `json:"spec"`
}

// JobCall requests a job, or its cancellation. If WaitMS (milliseconds) is set, the answer waits up to that long,
// and no longer than maxJobWait, for a version later than After.
type JobCall struct {
	ID     string `json:"id"`
	Team   string `json:"team,omitempty"`
	After  int64  `json:"after,omitempty"`
	WaitMS int64  `json:"waitMS,omitempty"`
	Brief  bool   `json:"brief,omitempty"` // without the job itself
}

// JobAnswer holds a job or a problem, or a description of the job.
type JobAnswer struct {
	Job      *Job               `json:"job,omitempty"`
	Problem  *responder.Problem `json:"problem,omitempty"`
	Version  int64              `json:"version,omitempty"`
	Bytes    int64              `json:"bytes,omitempty"` // memory that the job takes
	Finished bool               `json:"finished,omitempty"`
}

// StatusAnswer is the state of a zone in the tables of its decider.
type StatusAnswer struct {
	Zone    string         `json:"zone"`
	Term    fencer.Term    `json:"term"`
	Workers []WorkerStatus `json:"workers"`
	Tasks   []TaskStatus   `json:"tasks"`
	Teams   []TeamStatus   `json:"teams"`
}

// maxJobWait limits how long the answer to a JobCall waits for a later version.
const maxJobWait = 30 * time.Second
