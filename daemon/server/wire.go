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

// The methods between processes.
const (
	methodBeat      = "beat"
	methodSections  = "sections"
	methodPlace     = "place"
	methodWithdraw  = "withdraw"
	methodFinish    = "finish"
	methodResolve   = "resolve"
	methodKeep      = "keep"
	methodKept      = "kept"
	methodTakeKey   = "takeKey"
	methodEndKey    = "endKey"
	methodSubmitJob = "submitJob"
	methodJob       = "job"
	methodCancelJob = "cancelJob"
	methodStatus    = "status"
	methodTimeline  = "timeline"
)

// Beat is what a host tells its peers of itself; the answer is the peer's own.
type Beat struct {
	Host        string      `json:"host"`
	Zone        string      `json:"zone,omitempty"`
	Address     string      `json:"address,omitempty"` // for peers
	Incarnation string      `json:"incarnation,omitempty"`
	Leaving     bool        `json:"leaving,omitempty"`
	Term        fencer.Term `json:"term,omitzero"` // latest of its zone
	Deciding    bool        `json:"deciding,omitempty"`
	AsOf        int64       `json:"asOf,omitempty"`
	StaleMS     int64       `json:"staleMS,omitempty"` // since its configuration was last known to be the latest, -1 for never
	Relayed     []Beat      `json:"relayed,omitempty"` // deciders that the host hears itself

	Same bool `json:"same,omitempty"` // all else is as in the host's last beat to the same peer
	Want bool `json:"want,omitempty"` // the host does not know the peer's last whole beat
}

// UnmarshalJSON decodes a beat and refuses a whole one without host, zone or incarnation.
func (beat *Beat) UnmarshalJSON(data []byte) error {
	type plain Beat
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode beat: %w", err)
	}
	if decoded.Host == "" || (!decoded.Same && (decoded.Zone == "" || decoded.Incarnation == "")) {
		return Error.New("beat without host, zone or incarnation")
	}
	*beat = Beat(decoded)
	return nil
}

// SectionsCall asks for the state that changed after an offset.
type SectionsCall struct {
	Since int64 `json:"since"`
}

// PlaceCall asks a decider for a grant; the answer comes when there is one.
type PlaceCall struct {
	Work  decider.Work `json:"work"`
	Spill bool         `json:"spill,omitempty"` // refuse at once rather than queue for long
}

// PlaceAnswer holds a grant or a problem.
type PlaceAnswer struct {
	Grant   *fencer.Grant      `json:"grant,omitempty"`
	Attempt int                `json:"attempt,omitempty"`
	Problem *responder.Problem `json:"problem,omitempty"`
	Spill   bool               `json:"spill,omitempty"` // another zone may be quicker
}

// WorkCall names a work.
type WorkCall struct {
	Work string `json:"work"`
}

// FinishCall tells a decider how an attempt went, as its entry host saw it. An empty ending asks the
// decider to find out from the worker.
type FinishCall struct {
	Task   string         `json:"task"`
	Ending decider.Ending `json:"ending,omitempty"`
	Status int            `json:"status,omitempty"`
}

// ResolveCall asks how an attempt of a work ended, after its answer was lost.
type ResolveCall struct {
	Work string `json:"work"`
	Task string `json:"task,omitempty"` // empty: the latest attempt
}

// ResolveAnswer tells what the decider knows.
type ResolveAnswer struct {
	Known   bool           `json:"known"`
	Pending bool           `json:"pending,omitempty"`
	Ending  decider.Ending `json:"ending,omitempty"`
}

// KeepCall asks a peer to keep records.
type KeepCall struct {
	Records    []keeper.Record `json:"records"`
	HandedBack bool            `json:"handedBack,omitempty"` // to the decider of their home
}

// KeptCall asks a peer for the records of a home zone.
type KeptCall struct {
	Zone string `json:"zone"`
}

// KeptAnswer holds them.
type KeptAnswer struct {
	Records []keeper.Record `json:"records"`
}

// TakeKeyCall registers a request under an idempotency key.
type TakeKeyCall struct {
	Key         string `json:"key"` // with the team before it
	Fingerprint string `json:"fingerprint"`
	Request     string `json:"request"`
	Host        string `json:"host"`
	Zone        string `json:"zone"` // where the request is placed
	Incarnation string `json:"incarnation"`
	Handle      bool   `json:"handle,omitempty"` // the key is a handle that this zone gave out
}

// EndKeyCall tells how the request under a key ended.
type EndKeyCall struct {
	Key     string            `json:"key"`
	Request string            `json:"request"`
	Outcome responder.Outcome `json:"outcome"`
	Answer  *KeptResponse     `json:"answer,omitempty"`
}

// KeptResponse is a whole answer, small enough to be kept.
type KeptResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
}

// KeyAnswer tells what is known under a key.
type KeyAnswer struct {
	Fresh   bool               `json:"fresh,omitempty"` // the caller of TakeKey now holds the key
	Problem *responder.Problem `json:"problem,omitempty"`
	Answer  *KeptResponse      `json:"answer,omitempty"`
}

// SubmitJobCall hands a job to the decider of its home zone.
type SubmitJobCall struct {
	ID   string  `json:"id"`
	Team string  `json:"team"`
	Spec JobSpec `json:"spec"`
}

// JobCall asks for a job; with After set the answer waits for a later version.
type JobCall struct {
	ID     string `json:"id"`
	Team   string `json:"team,omitempty"`
	After  int64  `json:"after,omitempty"`
	WaitMS int64  `json:"waitMS,omitempty"`
}

// JobAnswer holds a job or a problem.
type JobAnswer struct {
	Job     *Job               `json:"job,omitempty"`
	Problem *responder.Problem `json:"problem,omitempty"`
}

// StatusAnswer is what a decider knows of its zone.
type StatusAnswer struct {
	Zone    string         `json:"zone"`
	Term    fencer.Term    `json:"term"`
	Workers []WorkerStatus `json:"workers"`
	Tasks   []TaskStatus   `json:"tasks"`
	Teams   []TeamStatus   `json:"teams"`
}

const mostWait = 30 * time.Second
