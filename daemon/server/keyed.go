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

// newHandle returns a new handle, h1.ZONE.TERM.UUID: an idempotency key that names the zone that stores it and the
// term of the zone's decider.
func newHandle(zone string, term int64) string {
	return fmt.Sprintf("%s%s.%d.%s", handlePrefix, zone, term, uuid.NewString())
}

// splitHandle returns the zone and the term in a handle. A zone may contain dots.
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

// handleParts is the minimum number of dot-separated parts of a handle after its prefix.
const handleParts = 3

// handleTerm returns the term in a handle of the form TEAM/HANDLE, as TakeKeyCall.Key has it.
func handleTerm(key string) int64 {
	_, handle, _ := strings.Cut(key, "/")
	_, term, _ := splitHandle(handle)
	return term
}

// homeZone returns the zone that stores an idempotency key: the zone in a handle, or else the zone with the highest hash
// (rendezvous hashing). The hash depends only on the zone, the team and the key, so all entry hosts with the same
// configured zones find the same home.
func homeZone(zones []string, team, key string) (home string, handle bool) {
	if zone, _, ok := splitHandle(key); ok {
		return zone, true
	}
	highest := uint64(0)
	for _, zone := range zones {
		hash := fnv.New64a()
		fmt.Fprintf(hash, "%s\x00%s\x00%s", zone, team, key)
		if sum := hash.Sum64(); home == "" || sum > highest {
			home, highest = zone, sum
		}
	}
	return home, false
}

// serveHandle issues a handle whose home is this zone.
func (server *Server) serveHandle(w http.ResponseWriter, r *http.Request) {
	if _, problem := server.authenticate(server.viewer.View(), r); problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	term := server.peers.Term(server.settings.Zone).Number
	responder.WriteJSON(w, http.StatusCreated, HandleAnswer{Handle: newHandle(server.settings.Zone, term)})
}

// HandleAnswer holds a handle that the caller may send as Idempotency-Key.
type HandleAnswer struct {
	Handle string `json:"handle"`
}

// serveKeyed runs a request at most once under its idempotency key, or replays the answer to an earlier request with
// that key.
func (server *Server) serveKeyed(request *clientRequest) {
	release, err := server.claimForFingerprint(request)
	if err != nil {
		server.completeRequest(request, server.bodyProblem(err, "body"))
		return
	}
	defer release()
	fingerprint, err := request.body.fingerprint(request.r)
	if err != nil {
		server.completeRequest(request, server.bodyProblem(err, "body"))
		return
	}
	home, handle := homeZone(server.viewer.View().Fleet.Zones, request.team, request.key)
	take := TakeKeyCall{
		Key:         request.team + "/" + request.key,
		Fingerprint: fingerprint,
		Request:     request.id,
		Host:        server.settings.Host,
		Zone:        server.settings.Zone,
		Incarnation: server.incarnation,
		Handle:      handle,
	}
	request.home, request.takeKeyCall = home, &take
	answer, err := server.takeKey(request)
	switch {
	case err != nil:
		server.completeRequest(request, keyUnreachable(home))
	case answer.Problem != nil:
		server.completeRequest(request, answer.Problem)
	case answer.Answer != nil:
		server.replayAnswer(request, answer.Answer)
	default:
		problem := server.runAttempts(request)
		server.endKey(request, problem)
		server.completeRequest(request, problem)
	}
}

func (server *Server) takeKey(request *clientRequest) (KeyAnswer, error) {
	ctx, cancel := context.WithTimeout(request.r.Context(), resolveTimeout+callTimeout)
	defer cancel()
	var answer KeyAnswer
	err := server.callDecider(ctx, request.home, methodTakeKey, *request.takeKeyCall, &answer)
	return answer, err
}

// verifyKey checks, between grant and start, that no other request has taken over the idempotency key. An answer older
// than maxKeyAnswerAge is not accepted, because its decider may have been superseded since.
func (server *Server) verifyKey(request *clientRequest) *responder.Problem {
	if request.takeKeyCall == nil {
		return nil
	}
	sent := time.Now()
	request.takeKeyCall.Zone = request.zone
	answer, err := server.takeKey(request)
	if err != nil || time.Since(sent) > maxKeyAnswerAge {
		return keyUnreachable(request.home)
	}
	return answer.Problem
}

func keyUnreachable(home string) *responder.Problem {
	return responder.Refuse(http.StatusServiceUnavailable, responder.CodeHomeUnreachable,
		"zone %s, which stores this idempotency key, cannot be reached", home).WithRetryAfter(time.Second)
}

// endKey records the outcome in the home zone of the idempotency key. A problem is sent to the caller only afterwards; a
// streamed answer has been delivered already.
func (server *Server) endKey(request *clientRequest, problem *responder.Problem) {
	end := EndKeyCall{Key: request.takeKeyCall.Key, Request: request.id, Outcome: responder.Answered}
	if problem != nil {
		end.Outcome = problem.Outcome
	}
	if problem == nil && request.outcome != "" {
		end.Outcome = request.outcome
	}
	if problem == nil && request.answer != nil && request.answer.recording && request.outcome != responder.Unknown {
		end.Answer = &request.answer.recorded
	}
	ctx, cancel := context.WithTimeout(server.abandonContext, reportTimeout)
	defer cancel()
	if err := server.callDecider(ctx, request.home, methodEndKey, end, nil); err != nil {
		server.log.Warn("failed to record the outcome under its idempotency key", "request", request.id, "home", request.home, "error", err)
	}
}

// replayAnswer sends the stored answer to an earlier request with the same idempotency key.
func (server *Server) replayAnswer(request *clientRequest, stored *StoredResponse) {
	header := request.w.Header()
	copyHeader(header, stored.Header)
	header.Set("Idempotency-Replayed", "true")
	header.Set("Ebonyshunt-Request", request.id)
	header.Set(responder.HeaderOutcome, string(responder.Answered))
	request.w.WriteHeader(stored.Status)
	_, _ = request.w.Write(stored.Body)
	server.completeRequest(request, nil)
}
