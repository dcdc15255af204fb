package server

import (
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/viewer"
)

// checkedRequest holds the properties of a request that passed checkRequest.
type checkedRequest struct {
	team       string
	queue      string
	class      decider.Class
	service    parser.Service
	key        string // idempotency key, "" for none
	keyDigest  string // digest of the team's key, "" on an open queue
	idempotent bool
	deadline   time.Time // latest start, zero for none
}

// The request headers of this API.
const (
	headerQueue      = "Ebonyshunt-Queue"
	headerDeadline   = "Ebonyshunt-Deadline"   // RFC 3339, or seconds from now
	headerIdempotent = "Ebonyshunt-Idempotent" // true or false
	headerKey        = "Idempotency-Key"
	maxKeyLength     = 256 // characters of an idempotency key
)

// singleHeaders may occur at most once in a request.
var singleHeaders = []string{"Authorization", headerKey, headerQueue, headerDeadline, headerIdempotent, "Content-Type", "Content-Length"}

func badRequest(format string, args ...any) *responder.Problem {
	return responder.Refuse(http.StatusBadRequest, responder.CodeBadRequest, format, args...)
}

// checkRequest authenticates a request and checks its headers against the configuration, before its body is read.
func (server *Server) checkRequest(r *http.Request, serviceName string) (checkedRequest, *responder.Problem) {
	view := server.viewer.View()
	if view.AsOf == 0 {
		return checkedRequest{}, responder.Refuse(http.StatusServiceUnavailable, responder.CodeConfigAbsent, "this host has no configuration yet").WithRetryAfter(time.Second)
	}
	if problem := checkHeaders(r); problem != nil {
		return checkedRequest{}, problem
	}
	service, found := view.Services[serviceName]
	team, problem := server.authenticate(view, r)
	if problem != nil && r.Header.Get("Authorization") != "" {
		return checkedRequest{}, problem
	}
	if !found {
		return checkedRequest{}, responder.Refuse(http.StatusNotFound, responder.CodeNoService, "service %q is not configured", serviceName)
	}
	queue, queueProblem := chooseQueue(view, r.Header.Get(headerQueue), team, service.Name)
	if queueProblem != nil {
		if problem != nil {
			return checkedRequest{}, problem
		}
		return checkedRequest{}, queueProblem
	}
	request, requestProblem := checkForService(view, r, service, queue)
	if requestProblem == nil && !queue.Open {
		request.keyDigest = bearerDigest(r)
	}
	return request, requestProblem
}

func bearerDigest(r *http.Request) string {
	return viewer.Digest(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
}

// checkWithdrawn refuses a request whose team's key was withdrawn while the request was queued.
func (server *Server) checkWithdrawn(request checkedRequest) *responder.Problem {
	if request.keyDigest == "" {
		return nil
	}
	if key, known := server.viewer.View().Keys[request.keyDigest]; known && !key.Withdrawn {
		return nil
	}
	return keyRefused("the key was withdrawn before the request started")
}

// checkForService checks a request against its service and queue.
func checkForService(view *viewer.View, r *http.Request, service parser.Service, queue parser.Queue) (checkedRequest, *responder.Problem) {
	class, err := decider.ParseClass(queue.Class)
	if err != nil {
		return checkedRequest{}, badRequest("%v", err)
	}
	request := checkedRequest{team: queue.Team, queue: queue.Name, class: class, service: service, key: r.Header.Get(headerKey)}
	if problem := checkBody(r, service); problem != nil {
		return checkedRequest{}, problem
	}
	request.idempotent = isIdempotent(r)
	request.deadline, err = parseDeadline(r.Header.Get(headerDeadline), time.Now())
	if err != nil {
		return checkedRequest{}, badRequest("%s: %v", headerDeadline, err)
	}
	if !request.deadline.IsZero() && !request.deadline.After(time.Now()) {
		return checkedRequest{}, responder.Refuse(http.StatusGatewayTimeout, responder.CodeDeadline, "the deadline had passed when the request arrived")
	}
	if reason := viewer.LimitExcessReason(service.Size, view.Teams[queue.Team].Limit); reason != "" {
		return checkedRequest{}, responder.Refuse(http.StatusUnprocessableEntity, responder.CodeNeverFits, "upper limit of team %s: %s", queue.Team, reason)
	}
	return request, nil
}

// checkHeaders refuses repeated singleHeaders, an empty or too long idempotency key and an invalid
// Ebonyshunt-Idempotent.
func checkHeaders(r *http.Request) *responder.Problem {
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return badRequest("header %s comes %d times: send one", name, len(r.Header.Values(name)))
		}
	}
	if _, present := r.Header[headerKey]; present {
		key := r.Header.Get(headerKey)
		if key == "" || utf8.RuneCountInString(key) > maxKeyLength {
			return badRequest("header %s has %d characters: send 1 to %d", headerKey, utf8.RuneCountInString(key), maxKeyLength)
		}
	}
	if text := r.Header.Get(headerIdempotent); text != "" {
		if _, err := strconv.ParseBool(text); err != nil {
			return badRequest("header %s is %q: send true or false", headerIdempotent, text)
		}
	}
	return nil
}

// authenticate returns the team whose key a request carries. It refuses all keys if this host has been without a current
// configuration for longer than offlineGrace, because it could have missed a withdrawal.
func (server *Server) authenticate(view *viewer.View, r *http.Request) (string, *responder.Problem) {
	bearer, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return "", keyRefused("send Authorization: Bearer with a key of your team")
	}
	key, known := view.Keys[viewer.Digest(bearer)]
	if !known || key.Withdrawn {
		return "", keyRefused("the key is unknown or withdrawn")
	}
	if _, found := view.Teams[key.Team]; !found {
		return "", keyRefused("the team of the key is no longer configured")
	}
	stale := server.staleness()
	if stale < 0 || stale > view.Fleet.OfflineGrace+stalenessTolerance {
		return "", keyRefused("this host cannot check whether the key was withdrawn: its configuration has been out of date for longer than offlineGrace")
	}
	return key.Team, nil
}

// stalenessTolerance is added to offlineGrace, because the measured staleness also grows while a read waits for the next
// record of the log.
const stalenessTolerance = 30 * time.Second

func keyRefused(detail string) *responder.Problem {
	return responder.Refuse(http.StatusUnauthorized, responder.CodeKeyRefused, "%s", detail)
}

// chooseQueue returns the named queue. Without a name, it returns the first of the team's queues that take the service,
// or else the first open one, in the order of their names.
func chooseQueue(view *viewer.View, name, team, service string) (parser.Queue, *responder.Problem) {
	if name != "" {
		queue, found := view.Queues[name]
		switch {
		case !found:
			return parser.Queue{}, responder.Refuse(http.StatusNotFound, responder.CodeNoQueue, "queue %q is not configured", name)
		case !queue.Accepts(service):
			return parser.Queue{}, responder.Refuse(http.StatusNotFound, responder.CodeNoQueue, "queue %s does not take service %s", name, service)
		case queue.Team != team && !queue.Open:
			return parser.Queue{}, responder.Refuse(http.StatusForbidden, responder.CodeOtherTeam, "queue %s belongs to another team", name)
		}
		return queue, nil
	}
	var best parser.Queue
	for _, queue := range view.Queues {
		if !queue.Accepts(service) || (queue.Team != team && !queue.Open) {
			continue
		}
		if best.Name == "" || isPreferred(queue, best, team) {
			best = queue
		}
	}
	if best.Name == "" {
		return best, responder.Refuse(http.StatusNotFound, responder.CodeNoQueue, "team %q has no queue for service %s", team, service)
	}
	return best, nil
}

func isPreferred(queue, best parser.Queue, team string) bool {
	own, bestOwn := queue.Team == team, best.Team == team
	if own != bestOwn {
		return own
	}
	return queue.Name < best.Name
}

// checkBody checks the declared length and media type of the body.
func checkBody(r *http.Request, service parser.Service) *responder.Problem {
	if r.ContentLength > service.MaxBody {
		return responder.Refuse(http.StatusRequestEntityTooLarge, responder.CodeTooLarge,
			"the body has %d bytes, service %s takes %d", r.ContentLength, service.Name, service.MaxBody)
	}
	if r.ContentLength == 0 || len(service.MediaTypes) == 0 {
		return nil
	}
	mediaType, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || !slices.Contains(service.MediaTypes, mediaType) {
		return responder.Refuse(http.StatusUnsupportedMediaType, responder.CodeMediaType,
			"service %s takes %s, not %q", service.Name, strings.Join(service.MediaTypes, ", "), r.Header.Get("Content-Type"))
	}
	return nil
}

// isIdempotent returns the value of Ebonyshunt-Idempotent, or without that header whether the method is idempotent
// (RFC 9110, section 9.2.2).
func isIdempotent(r *http.Request) bool {
	if idempotent, err := strconv.ParseBool(r.Header.Get(headerIdempotent)); err == nil {
		return idempotent
	}
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions}, r.Method)
}

// parseDeadline parses an RFC 3339 time or a number of seconds from now. An empty text means no deadline.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return now.Add(time.Duration(seconds * float64(time.Second))), nil
	}
	deadline, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, Error.New("%q is neither RFC 3339 nor seconds from now", text)
	}
	return deadline, nil
}
