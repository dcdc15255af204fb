package server

import (
	"context"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/library/responder"
	"github.com/google/uuid"
)

const handlePrefix = "h1."

// newHandle returns a handle that names the zone, and the term of its decider, that will keep it.
func newHandle(zone string, term int64) string {
	return fmt.Sprintf("%s%s.%d.%s", handlePrefix, zone, term, uuid.NewString())
}

// splitHandle returns the zone and the term in a handle.
func splitHandle(key string) (zone string, term int64, ok bool) {
	text, found := strings.CutPrefix(key, handlePrefix)
	if !found {
		return "", 0, false
	}
	parts := strings.Split(text, ".")
	if len(parts) < handleParts {
		return "", 0, false
	}
	term, err := strconv.ParseInt(parts[len(parts)-2], 10, 64)
	return strings.Join(parts[:len(parts)-2], "."), term, err == nil
}

const handleParts = 3

// handleTerm returns the term in a key as takeKey gets it, with the team before it.
func handleTerm(key string) int64 {
	_, handle, _ := strings.Cut(key, "/")
	_, term, _ := splitHandle(handle)
	return term
}

// homeOf returns the zone that keeps an idempotency key: the one in a handle, else one that follows from
// the key and the configured zones alone, so that every entry host finds the same one.
func homeOf(zones []string, team, key string) (home string, handle bool) {
	if zone, _, ok := splitHandle(key); ok {
		return zone, true
	}
	best := uint64(0)
	for _, zone := range zones {
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%s\x00%s\x00%s", zone, team, key)
		if sum := hash.Sum64(); home == "" || sum > best {
			home, best = zone, sum
		}
	}
	return home, false
}

// serveHandle gives out a handle whose home is this zone.
func (server *Server) serveHandle(w http.ResponseWriter, r *http.Request) {
	if _, problem := server.authenticate(server.viewer.View(), r); problem != nil {
		server.refuse(w, "", problem)
		return
	}
	term := server.peers.Term(server.settings.Zone).Number
	responder.WriteJSON(w, http.StatusCreated, HandleAnswer{Handle: newHandle(server.settings.Zone, term)})
}

// HandleAnswer carries a handle, to be sent as Idempotency-Key.
type HandleAnswer struct {
	Handle string `json:"handle"`
}

// serveKeyed runs a request once under its idempotency key, or repeats the answer to an earlier one.
func (server *Server) serveKeyed(call *call) {
	fingerprint, err := call.body.fingerprint(call.r)
	if err != nil {
		server.conclude(call, badRequest("%v", err))
		return
	}
	home, handle := homeOf(server.viewer.View().Fleet.Zones, call.team, call.key)
	take := TakeKeyCall{
		Key:         call.team + "/" + call.key,
		Fingerprint: fingerprint,
		Request:     call.id,
		Host:        server.settings.Host,
		Zone:        server.settings.Zone,
		Incarnation: server.incarnation,
		Handle:      handle,
	}
	call.home, call.take = home, &take
	answer, err := server.takeKey(call)
	switch {
	case err != nil:
		server.conclude(call, responder.Refuse(http.StatusServiceUnavailable, responder.CodeHome,
			"zone %s, which keeps this idempotency key, cannot be reached", home).After(time.Second))
	case answer.Problem != nil:
		server.conclude(call, answer.Problem)
	case answer.Answer != nil:
		server.repeatAnswer(call, answer.Answer)
	default:
		problem := server.attempt(call)
		server.endKey(call, problem)
		server.conclude(call, problem)
	}
}

func (server *Server) takeKey(call *call) (KeyAnswer, error) {
	ctx, cancel := context.WithTimeout(call.r.Context(), resolveWait+callTimeout)
	defer cancel()
	var answer KeyAnswer
	err := server.callDecider(ctx, call.home, methodTakeKey, *call.take, &answer)
	return answer, err
}

// verifyKey makes sure, between grant and start, that nobody took over the request's key. An answer that
// took long may come from a decider that has been superseded since.
func (server *Server) verifyKey(call *call) *responder.Problem {
	if call.take == nil {
		return nil
	}
	asked := time.Now()
	call.take.Zone = call.zone
	answer, err := server.takeKey(call)
	if err != nil || time.Since(asked) > verifyBound {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeHome,
			"zone %s, which keeps this idempotency key, cannot be reached", call.home).After(time.Second)
	}
	return answer.Problem
}

// endKey notes the outcome with the key's home, before the caller learns it where that is possible.
func (server *Server) endKey(call *call, problem *responder.Problem) {
	end := EndKeyCall{Key: call.take.Key, Request: call.id, Outcome: responder.Answered}
	if problem != nil {
		end.Outcome = problem.Outcome
	}
	if problem == nil && call.ended != "" {
		end.Outcome = call.ended
	}
	if problem == nil && call.answer != nil && call.answer.keep && call.ended != responder.Unknown {
		end.Answer = &call.answer.kept
	}
	ctx, cancel := context.WithTimeout(server.abandoned, finishTimeout)
	defer cancel()
	if err := server.callDecider(ctx, call.home, methodEndKey, end, nil); err != nil {
		server.log.Warn("outcome not kept under its idempotency key", "request", call.id, "home", call.home, "error", err)
	}
}

// repeatAnswer sends the kept answer to an earlier request under the same key.
func (server *Server) repeatAnswer(call *call, kept *KeptResponse) {
	header := call.w.Header()
	copyHeader(header, kept.Header)
	header.Set("Idempotency-Replayed", "true")
	header.Set("Ebonyshunt-Request", call.id)
	header.Set(responder.HeaderOutcome, string(responder.Answered))
	call.w.WriteHeader(kept.Status)
	_, _ = call.w.Write(kept.Body)
	server.conclude(call, nil)
}
