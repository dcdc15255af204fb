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

// errNoDecider says that no live host decides for a zone.
var errNoDecider = errors.New("no live host decides for the zone")

// callDecider calls the host that decides for a zone, which may be this one.
func (server *Server) callDecider(ctx context.Context, zone, method string, body, result any) error {
	if zone == server.settings.Zone {
		if tenure := server.deciding(); tenure != nil {
			return callLocal(ctx, tenure, method, body, result)
		}
	}
	peer, found := server.peers.Decider(zone, time.Now())
	if !found {
		return linker.ErrUnsent.Wrap(errNoDecider)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(server.whileAlive(peer), cancel)()
	err := server.pool.Call(ctx, peer.Address, method, body, result)
	if linker.ErrUnsent.Has(err) {
		server.lost(peer.Address, err)
	}
	return err
}

func callLocal(ctx context.Context, tenure *tenure, method string, body, result any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	answer, err := tenure.answer(ctx, "", method, data)
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

// otherZones returns the other zones of the fleet that have a decider, from this host's own place in the
// list on, so that hosts do not all spill to the same one.
func (server *Server) otherZones() []string {
	zones := server.viewer.View().Fleet.Zones
	at := slices.Index(zones, server.settings.Zone) + 1
	var others []string
	for i := range zones {
		zone := zones[(at+i)%len(zones)]
		if zone == server.settings.Zone {
			continue
		}
		if _, found := server.peers.Decider(zone, time.Now()); found {
			others = append(others, zone)
		}
	}
	return others
}

// provedUnsent reports whether an error of a start proves that the task did not begin.
func provedUnsent(err error) bool {
	var refused *starter.RefusedError
	if errors.As(err, &refused) {
		return refused.Refusal != fencer.Duplicate
	}
	var operation *net.OpError
	return errors.As(err, &operation) && operation.Op == "dial"
}
