package server

import (
	"mime"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/viewer"
)

// asked is a request that passed the checks.
type asked struct {
	team       string
	queue      string
	class      decider.Class
	service    parser.Service
	key        string // idempotency key, "" for none
	bearer     string // digest of the team's key, "" on an open queue
	idempotent bool
	deadline   time.Time // for the start
}

// The headers of a request.
const (
	headerQueue      = "Ebonyshunt-Queue"
	headerDeadline   = "Ebonyshunt-Deadline"   // RFC 3339, or seconds from now
	headerIdempotent = "Ebonyshunt-Idempotent" // true or false
	headerKey        = "Idempotency-Key"
	mostKeyLength    = 256
)

// singleHeaders may come at most once.
var singleHeaders = []string{"Authorization", headerKey, headerQueue, headerDeadline, headerIdempotent, "Content-Type", "Content-Length"}

func badRequest(format string, args ...any) *responder.Problem {
	return responder.Refuse(http.StatusBadRequest, responder.CodeBadRequest, format, args...)
}

// check authenticates a request and checks all that can be told before its body.
func (server *Server) check(r *http.Request, serviceName string) (asked, *responder.Problem) {
	view := server.viewer.View()
	if view.AsOf == 0 {
		return asked{}, responder.Refuse(http.StatusServiceUnavailable, responder.CodeConfigAbsent, "this host has no configuration yet").After(time.Second)
	}
	if problem := checkHeaders(r); problem != nil {
		return asked{}, problem
	}
	service, found := view.Services[serviceName]
	team, problem := server.authenticate(view, r)
	if problem != nil && r.Header.Get("Authorization") != "" {
		return asked{}, problem
	}
	if !found {
		return asked{}, responder.Refuse(http.StatusNotFound, responder.CodeNoService, "service %q is not configured", serviceName)
	}
	queue, queueProblem := chooseQueue(view, r.Header.Get(headerQueue), team, service.Name)
	if queueProblem != nil {
		if problem != nil {
			return asked{}, problem
		}
		return asked{}, queueProblem
	}
	request, requestProblem := checkRequest(view, r, service, queue)
	if requestProblem == nil && !queue.Open {
		request.bearer = bearerDigest(r)
	}
	return request, requestProblem
}

func bearerDigest(r *http.Request) string {
	return viewer.Digest(strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer "))
}

// withdrawn refuses a request whose team's key was withdrawn while it waited.
func (server *Server) withdrawn(asked asked) *responder.Problem {
	if asked.bearer == "" {
		return nil
	}
	if key, known := server.viewer.View().Keys[asked.bearer]; known && !key.Withdrawn {
		return nil
	}
	return keyRefused("the key was withdrawn before the request started")
}

// checkRequest checks what is left once queue and service are known.
func checkRequest(view *viewer.View, r *http.Request, service parser.Service, queue parser.Queue) (asked, *responder.Problem) {
	class, err := decider.ParseClass(queue.Class)
	if err != nil {
		return asked{}, badRequest("%v", err)
	}
	request := asked{team: queue.Team, queue: queue.Name, class: class, service: service, key: r.Header.Get(headerKey)}
	if problem := checkBody(r, service); problem != nil {
		return asked{}, problem
	}
	request.idempotent = isIdempotent(r)
	request.deadline, err = parseDeadline(r.Header.Get(headerDeadline), time.Now())
	if err != nil {
		return asked{}, badRequest("%s: %v", headerDeadline, err)
	}
	if !request.deadline.IsZero() && !request.deadline.After(time.Now()) {
		return asked{}, responder.Refuse(http.StatusGatewayTimeout, responder.CodeDeadline, "the deadline had passed when the request came")
	}
	if reason := viewer.OverLimit(service.Size, view.Teams[queue.Team].Limit); reason != "" {
		return asked{}, responder.Refuse(http.StatusUnprocessableEntity, responder.CodeNeverFits, "upper limit of team %s: %s", queue.Team, reason)
	}
	return request, nil
}

// checkHeaders refuses headers that come twice where one is allowed, and keys that are too long.
func checkHeaders(r *http.Request) *responder.Problem {
	for _, name := range singleHeaders {
		if len(r.Header.Values(name)) > 1 {
			return badRequest("header %s comes %d times: send one", name, len(r.Header.Values(name)))
		}
	}
	if _, present := r.Header[headerKey]; present {
		key := r.Header.Get(headerKey)
		if key == "" || len(key) > mostKeyLength {
			return badRequest("header %s has %d characters: send 1 to %d", headerKey, len(key), mostKeyLength)
		}
	}
	if text := r.Header.Get(headerIdempotent); text != "" {
		if _, err := strconv.ParseBool(text); err != nil {
			return badRequest("header %s is %q: send true or false", headerIdempotent, text)
		}
	}
	return nil
}

// authenticate returns the team whose key came with a request.
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
		return "", keyRefused("the team of the key is gone")
	}
	stale := server.staleness()
	if stale < 0 || stale > view.Fleet.OfflineGrace+readSlack {
		return "", keyRefused("this host cannot tell whether the key was withdrawn: it was cut off for longer than offlineGrace")
	}
	return key.Team, nil
}

// readSlack is how old a configuration is while the log is waited on.
const readSlack = 30 * time.Second

func keyRefused(detail string) *responder.Problem {
	return responder.Refuse(http.StatusUnauthorized, responder.CodeKey, "%s", detail)
}

// chooseQueue returns the named queue, or the first of the team, and else the first open one, that takes
// the service.
func chooseQueue(view *viewer.View, name, team, service string) (parser.Queue, *responder.Problem) {
	if name != "" {
		queue, found := view.Queues[name]
		switch {
		case !found:
			return parser.Queue{}, responder.Refuse(http.StatusNotFound, responder.CodeNoQueue, "queue %q is not configured", name)
		case !queue.Takes(service):
			return parser.Queue{}, responder.Refuse(http.StatusNotFound, responder.CodeNoQueue, "queue %s does not take service %s", name, service)
		case queue.Team != team && !queue.Open:
			return parser.Queue{}, responder.Refuse(http.StatusForbidden, responder.CodeOtherTeam, "queue %s belongs to another team", name)
		}
		return queue, nil
	}
	var best parser.Queue
	for _, queue := range view.Queues {
		if !queue.Takes(service) || (queue.Team != team && !queue.Open) {
			continue
		}
		if best.Name == "" || preferred(queue, best, team) {
			best = queue
		}
	}
	if best.Name == "" {
		return best, responder.Refuse(http.StatusNotFound, responder.CodeNoQueue, "team %q has no queue for service %s", team, service)
	}
	return best, nil
}

func preferred(queue, best parser.Queue, team string) bool {
	own, bestOwn := queue.Team == team, best.Team == team
	if own != bestOwn {
		return own
	}
	return queue.Name < best.Name
}

// checkBody checks length and type of the body as declared.
func checkBody(r *http.Request, service parser.Service) *responder.Problem {
	if r.ContentLength > service.MaxBody {
		return responder.Refuse(http.StatusRequestEntityTooLarge, responder.CodeTooLarge,
			"the body has %d bytes, service %s takes %d", r.ContentLength, service.Name, service.MaxBody)
	}
	if r.ContentLength == 0 || len(service.Media) == 0 {
		return nil
	}
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || !slices.Contains(service.Media, media) {
		return responder.Refuse(http.StatusUnsupportedMediaType, responder.CodeMediaType,
			"service %s takes %s, not %q", service.Name, strings.Join(service.Media, ", "), r.Header.Get("Content-Type"))
	}
	return nil
}

// isIdempotent follows the caller's header, else the method (RFC 9110, section 9.2.2).
func isIdempotent(r *http.Request) bool {
	if stated, err := strconv.ParseBool(r.Header.Get(headerIdempotent)); err == nil {
		return stated
	}
	return slices.Contains([]string{http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions}, r.Method)
}

// parseDeadline reads a point in time, or seconds from now; an empty text is no deadline.
func parseDeadline(text string, now time.Time) (time.Time, error) {
	if text == "" {
		return time.Time{}, nil
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return now.Add(time.Duration(seconds * float64(time.Second))), nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return time.Time{}, Error.New("%q is neither RFC 3339 nor seconds from now", text)
	}
	return at, nil
}
