package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/daemon/logger"
	"ebonyshunt.org/library/limiter"
	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/replayer"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/viewer"
	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// rootOperator is the author of changes made with the root key, whose digest is in the settings of the host.
const rootOperator = "root"

const (
	publishTimeout  = 8 * time.Second
	maxSectionBytes = 1 << 20 // of the body of a publication
)

// SectionChange is the body of a publication. The header If-Match gives the version that it replaces.
type SectionChange struct {
	ID   string `json:"id"` // chosen by the caller, and the same if the change is sent again
	Text string `json:"text"`
}

// PublishAnswer is the answer to a publication: the section and its new version.
type PublishAnswer struct {
	Section string `json:"section"`
	Version int64  `json:"version"`
}

// Conflict is the problem of a refused publication, with the current version of the section.
type Conflict struct {
	responder.Problem
	Current  replayer.Version `json:"current"`
	Mistakes parser.Mistakes  `json:"mistakes,omitempty"`
}

// operatorByKey returns the operator to whom a key belongs.
func (server *Server) operatorByKey(key string) (string, bool) {
	digest := viewer.Digest(key)
	if server.settings.RootKeyDigest != "" && digest == server.settings.RootKeyDigest {
		return rootOperator, true
	}
	owner, found := server.viewer.View().Owners[digest]
	return owner.Name, found
}

// SectionsAnswer is the configuration in force.
type SectionsAnswer struct {
	AsOf        int64              `json:"asOf"`    // log offset
	StaleMS     int64              `json:"staleMS"` // since the configuration was last known to be the latest, negative for never
	Sections    []replayer.Version `json:"sections"`
	Undecodable []string           `json:"undecodable,omitempty"` // sections whose latest text does not decode
	Skipped     int64              `json:"skipped,omitempty"`     // log records that did not decode
}

func (server *Server) serveSections(w http.ResponseWriter, _ *http.Request) {
	state := server.register.Since(0)
	answer := SectionsAnswer{
		AsOf:        state.AsOf,
		StaleMS:     server.staleness().Milliseconds(),
		Undecodable: server.viewer.View().Undecodable,
		Skipped:     server.tailer.Skipped.Load(),
	}
	for _, version := range state.Sections {
		if !version.Removed {
			answer.Sections = append(answer.Sections, version)
		}
	}
	responder.WriteJSON(w, http.StatusOK, answer)
}

// servePublish changes or removes a section if its current version is the one in If-Match.
func (server *Server) servePublish(w http.ResponseWriter, r *http.Request) {
	author, _ := server.operator(r)
	name := strings.ReplaceAll(chi.URLParam(r, "*"), "/", " ")
	base, err := strconv.ParseInt(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	if err != nil {
		server.writeProblem(w, "", responder.Refuse(http.StatusPreconditionRequired, responder.CodeBadRequest,
			"send If-Match with the version of the section that you saw, 0 for a new one"))
		return
	}
	change, problem := server.readChange(w, r)
	if problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	record := replayer.Record{
		Format:  replayer.Format,
		ID:      change.ID,
		Section: name,
		Base:    base,
		Author:  author,
		Text:    change.Text,
		Removed: r.Method == http.MethodDelete,
	}
	conflict := server.publish(r.Context(), &record)
	if conflict != nil {
		w.Header().Set("Content-Type", responder.MediaType)
		w.WriteHeader(conflict.Status)
		_ = json.NewEncoder(w).Encode(conflict)
		return
	}
	version, _ := server.register.Get(name)
	w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(version.Offset, 10)))
	responder.WriteJSON(w, http.StatusOK, PublishAnswer{Section: name, Version: version.Offset})
}

func (server *Server) readChange(w http.ResponseWriter, r *http.Request) (SectionChange, *responder.Problem) {
	change := SectionChange{ID: uuid.NewString()}
	body, problem := server.receive(w, r, maxSectionBytes, "section")
	if problem != nil {
		return change, problem
	}
	defer body.Close()
	data := body.Data
	if len(data) == 0 && r.Method == http.MethodDelete {
		return change, nil
	}
	if err := json.Unmarshal(data, &change); err != nil {
		return change, badRequest("decode section: %v", err)
	}
	if change.ID == "" {
		return change, badRequest("section without id: choose a unique id, and use the same one when you send the change again")
	}
	return change, nil
}

// publish checks a record, appends it to the log and waits until it has been read back. It returns nil once the record is
// in force on this host. A record that is appended twice takes effect once, because the section no longer has its base
// version after the first one.
func (server *Server) publish(ctx context.Context, record *replayer.Record) *Conflict {
	current, _ := server.register.Get(record.Section)
	if current.ID == record.ID {
		return nil
	}
	if conflict := server.checkRecord(record, current); conflict != nil {
		return conflict
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	offset, err := server.logClient.Append(ctx, record)
	server.Timeline.Record(recorder.Event{Kind: "sectionAppended", Section: record.Section, Detail: fmt.Sprintf("%s offset %d: %v", record.ID, offset, err)})
	if err != nil && !logger.ErrUncertain.Has(err) {
		problem := responder.Refuse(http.StatusServiceUnavailable, responder.CodeLogUnavailable, "not published: %v", err)
		return &Conflict{Problem: *problem.WithRetryAfter(time.Second), Current: current}
	}
	return server.awaitRecord(ctx, record, offset)
}

// awaitRecord waits until the register shows whether a record has taken effect or has lost to another one. The offset is
// 0 if it is not known whether the record was appended.
func (server *Server) awaitRecord(ctx context.Context, record *replayer.Record, offset int64) *Conflict {
	for {
		changed := server.registerChanged()
		asOf := server.register.AsOf()
		current, _ := server.register.Get(record.Section)
		switch {
		case current.ID == record.ID:
			return nil
		case current.Offset != record.Base:
			return versionConflict(current)
		case offset > 0 && asOf >= offset:
			return versionConflict(current)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			problem := responder.New(http.StatusGatewayTimeout, responder.CodeLogUnavailable, responder.Unknown,
				"record %s has not been read back from the log yet: send the same change with the same id again", record.ID)
			return &Conflict{Problem: *problem.WithRetryAfter(time.Second), Current: current}
		}
	}
}

// registerChanged returns a channel that is closed at the next change of the register.
func (server *Server) registerChanged() <-chan struct{} {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.sectionsChanged
}

func versionConflict(current replayer.Version) *Conflict {
	problem := responder.Refuse(http.StatusPreconditionFailed, responder.CodeConflict,
		"section %q is at version %d by %s", current.Section, current.Offset, current.Author)
	return &Conflict{Problem: *problem, Current: current}
}

// checkRecord checks a change against the owner and the version of its section and against the sections in force. It
// sets the limit of a record that changes a team.
func (server *Server) checkRecord(record *replayer.Record, current replayer.Version) *Conflict {
	if owner := sectionOwner(current); owner != "" && owner != record.Author && record.Author != rootOperator {
		problem := responder.Refuse(http.StatusForbidden, responder.CodeOtherOwner, "section %q belongs to %s", record.Section, owner)
		return &Conflict{Problem: *problem, Current: current}
	}
	if current.Offset != record.Base {
		return versionConflict(current)
	}
	if record.Removed {
		return nil
	}
	section := parser.Section{Name: record.Section, Text: record.Text}
	parsed, mistakes := parser.ParseSection("section", section)
	if len(mistakes) == 0 {
		mistakes = server.viewer.View().CheckReferences("section", section, parsed)
	}
	if len(mistakes) == 0 && record.Author != rootOperator && parsed.Owner != record.Author && current.Offset == 0 {
		mistakes = parser.Mistakes{{Section: record.Section, Key: "owner", Reason: fmt.Sprintf("a new section belongs to its author: set it to %s", record.Author)}}
	}
	if len(mistakes) > 0 {
		problem := responder.Refuse(http.StatusUnprocessableEntity, responder.CodeCheckFailed, "%s", mistakes.Error())
		return &Conflict{Problem: *problem, Current: current, Mistakes: mistakes}
	}
	if team, isTeam := parsed.Body.(parser.Team); isTeam {
		record.Limit = &team.Limit
	}
	return nil
}

func sectionOwner(version replayer.Version) string {
	if version.Offset == 0 || version.Removed {
		return ""
	}
	parsed, _ := parser.ParseSection("section", parser.Section{Name: version.Section, Text: version.Text})
	return parsed.Owner
}

// serveForfeit returns the slices of all limits that a lost zone holds. Operators must check first that no task of
// the zone is running any more.
func (server *Server) serveForfeit(w http.ResponseWriter, r *http.Request) {
	zone := chi.URLParam(r, "zone")
	for _, configured := range server.viewer.View().Fleet.Zones {
		if configured == zone {
			server.writeProblem(w, "", responder.Refuse(http.StatusConflict, responder.CodeConflict,
				"zone %s is in [fleet] zones: take it out first", zone))
			return
		}
	}
	author, _ := server.operator(r)
	ctx, cancel := context.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	if problem := server.forfeit(ctx, zone, author); problem != nil {
		server.writeProblem(w, "", problem)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// forfeit appends a forfeit of a zone's slices to the log and waits until it has been read back.
func (server *Server) forfeit(ctx context.Context, zone, author string) *responder.Problem {
	last := server.register.Tenure(zone)
	slice := limiter.Record{Forfeit: zone, Term: last.Term, Step: last.Step}
	record := replayer.Record{Format: replayer.Format, ID: uuid.NewString(), Author: author, Slice: &slice}
	offset, err := server.logClient.Append(ctx, record)
	if logger.ErrUncertain.Has(err) {
		return responder.New(http.StatusGatewayTimeout, responder.CodeLogUnavailable, responder.Unknown, "%v", err).WithRetryAfter(time.Second)
	}
	if err != nil {
		return responder.Refuse(http.StatusServiceUnavailable, responder.CodeLogUnavailable, "not forfeited: %v", err).WithRetryAfter(time.Second)
	}
	if !server.awaitOffset(ctx, offset) {
		return responder.New(http.StatusGatewayTimeout, responder.CodeLogUnavailable, responder.Unknown,
			"record %s has not been read back from the log yet", record.ID).WithRetryAfter(time.Second)
	}
	if server.register.Tenure(zone) != last {
		return responder.Refuse(http.StatusConflict, responder.CodeConflict,
			"zone %s has changed its slices meanwhile: make sure that it is stopped, and forfeit again", zone)
	}
	return nil
}

// awaitOffset waits until the register has reached an offset of the log. It returns false if the context ends first.
func (server *Server) awaitOffset(ctx context.Context, offset int64) bool {
	for {
		changed := server.registerChanged()
		if server.register.AsOf() >= offset {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}
