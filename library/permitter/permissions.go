// Package permitter keeps what a policy service has answered about a step: on which workers it may run, with which tickets, and which
// queries are open.
package permitter

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// Ticket is the permission to run a step on one incarnation of a worker.
type Ticket struct {
	Text        string // as the policy service gave it; the order to start carries it
	Incarnation int64  // of the worker when the ticket was issued
	ValidUntil  time.Time
}

// Query is a query without an answer.
type Query struct {
	ID      int64
	Workers []string // IDs
	SentAt  time.Time
	Tasks   float64 // number of tasks that the answer is expected to have room for
}

// Permissions holds the answers of a policy service for a step, by the IDs of the workers. The zero value has none.
type Permissions struct {
	allowed map[string]Ticket
	denied  map[string]bool
	open    []Query
}

// Allow stores a ticket for a worker.
func (permissions *Permissions) Allow(worker string, ticket Ticket) {
	if permissions.allowed == nil {
		permissions.allowed = map[string]Ticket{}
	}
	permissions.allowed[worker] = ticket
}

// Deny records that the policy does not allow those of the workers of a query that have no ticket. It does not change, so that they need not
// be asked about again.
func (permissions *Permissions) Deny(workers []string) {
	for _, worker := range workers {
		if permissions.AllowedBefore(worker) {
			continue
		}
		if permissions.denied == nil {
			permissions.denied = map[string]bool{}
		}
		permissions.denied[worker] = true
	}
}

// Revoke forgets the ticket for a worker.
func (permissions *Permissions) Revoke(worker string) { delete(permissions.allowed, worker) }

// Denied reports whether the policy does not allow a worker.
func (permissions *Permissions) Denied(worker string) bool { return permissions.denied[worker] }

// AllowedBefore reports whether the policy allowed a worker, also if the ticket has expired.
func (permissions *Permissions) AllowedBefore(worker string) bool {
	_, found := permissions.allowed[worker]
	return found
}

// HasTicket reports whether there is a valid ticket for an incarnation of a worker.
func (permissions *Permissions) HasTicket(worker string, incarnation int64, now time.Time) bool {
	ticket, found := permissions.allowed[worker]
	return found && ticket.Incarnation == incarnation && now.Before(ticket.ValidUntil)
}

// Ticket returns the text of the last ticket for a worker, empty if there is none.
func (permissions *Permissions) Ticket(worker string) string { return permissions.allowed[worker].Text }

// AllowedCount returns the number of workers of Allowed.
func (permissions *Permissions) AllowedCount() int { return len(permissions.allowed) }

// Allowed returns the workers that the policy allowed, in no order.
func (permissions *Permissions) Allowed() iter.Seq[string] { return maps.Keys(permissions.allowed) }

// Open adds a query that was sent.
func (permissions *Permissions) Open(query Query) { permissions.open = append(permissions.open, query) }

// Close removes an open query.
func (permissions *Permissions) Close(id int64) {
	permissions.open = slices.DeleteFunc(permissions.open, func(query Query) bool { return query.ID == id })
}

// CloseBefore removes the open queries that were sent before a time, whose answers count as lost.
func (permissions *Permissions) CloseBefore(limit time.Time) {
	permissions.open = slices.DeleteFunc(permissions.open, func(query Query) bool { return query.SentAt.Before(limit) })
}

// OpenCount returns the number of open queries.
func (permissions *Permissions) OpenCount() int { return len(permissions.open) }

// Queried returns the workers that the open queries name.
func (permissions *Permissions) Queried() iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, query := range permissions.open {
			for _, worker := range query.Workers {
				if !yield(worker) {
					return
				}
			}
		}
	}
}

// ExpectedTasks returns the number of tasks that the answers to the open queries are expected to have room for.
func (permissions *Permissions) ExpectedTasks() float64 {
	total := 0.0
	for _, query := range permissions.open {
		total += query.Tasks
	}
	return total
}
