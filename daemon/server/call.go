package server

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/fencer"
)

// errNoDecider is returned when no live host is known to be the decider of a zone.
var errNoDecider = errors.New("no live host decides for the zone")

// callDecider calls the decider of a zone, which may be this host. The call is canceled if the decider fails,
// restarts or is no longer the decider. The error is a linker.ErrUnsent if no decider could be reached.
func (server *Server) callDecider(ctx context.Context, zone, method string, body, result any) error {
	if zone == server.settings.Zone {
		if tenure := server.currentTenure(); tenure != nil {
			return callTenure(ctx, tenure, method, body, result)
		}
	}
	peer, found := server.peers.Decider(zone, time.Now())
	if !found {
		return linker.ErrUnsent.Wrap(errNoDecider)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(server.contextWhileDeciding(peer), cancel)()
	err := server.peerPool.Call(ctx, peer.Address, method, body, result)
	if linker.ErrUnsent.Has(err) {
		server.markUnreachable(peer.Address, err)
	}
	return err
}

// callTenure calls the decider on this host. Body and result pass through JSON as in a call to a peer.
func callTenure(ctx context.Context, tenure *tenure, method string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	answer, err := tenure.handleCall(ctx, "", method, data)
	if err != nil {
		return err
	}
	if result == nil {
		return nil
	}
	data, err = json.Marshal(answer)
	if err != nil {
		return fmt.Errorf("encode answer: %w", err)
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("decode answer of %s: %w", method, err)
	}
	return nil
}

// spillZones returns the other zones of the fleet that have a decider. The list starts after this host's own zone
// and wraps around, so that the zones do not all spill to the same one.
func (server *Server) spillZones() []string {
	zones := server.viewer.View().Fleet.Zones
	start := slices.Index(zones, server.settings.Zone) + 1
	var others []string
	for i := range zones {
		zone := zones[(start+i)%len(zones)]
		if zone == server.settings.Zone {
			continue
		}
		if _, found := server.peers.Decider(zone, time.Now()); found {
			others = append(others, zone)
		}
	}
	return others
}

// provesNotStarted reports whether the error of a start proves that the task was not started: the worker refused it
// (other than as a duplicate), or could not be dialed.
func provesNotStarted(err error) bool {
	var refused *starter.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal != fencer.Duplicate
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
