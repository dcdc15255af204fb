package scheduler

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"ebonyshunt.org/platform/translator"
)

// Member is an entry host as it registers itself in the store.
type Member struct {
	Name           string  `json:"name"`
	Zone           string  `json:"zone"`
	Address        string  `json:"address"` // for its peers
	Boot           string  `json:"boot"`
	ProcessorShare float64 `json:"processorShare"`
}

// Election is who decides.
type Election struct {
	Term    int64  `json:"term"`
	Host    string `json:"host"`
	Address string `json:"address"`
	Boot    string `json:"boot"`
	AtMS    int64  `json:"atMS,omitempty"` // Unix milliseconds of the campaign, on the decider's clock
}

// UnmarshalJSON decodes a member and refuses one without name or address.
func (member *Member) UnmarshalJSON(data []byte) error {
	type plain Member
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode member: %w", err)
	}
	if decoded.Name == "" || decoded.Address == "" {
		return Error.New("member without name or address")
	}
	*member = Member(decoded)
	return nil
}

// UnmarshalJSON decodes an election and refuses one without term or address.
func (election *Election) UnmarshalJSON(data []byte) error {
	type plain Election
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode election: %w", err)
	}
	if decoded.Term <= 0 || decoded.Address == "" {
		return Error.New("election without term or address")
	}
	*election = Election(decoded)
	return nil
}

const (
	memberPrefix = "host/"
	electionKey  = "decider"
)

// fleet is what the store says of the entry hosts.
type fleet struct {
	mu       sync.Mutex
	members  map[string]Member
	read     bool // from the store, since the start
	election Election
	changed  chan struct{} // closed when the election changes
}

func newFleet() *fleet {
	return &fleet{members: map[string]Member{}, changed: make(chan struct{})}
}

// size returns how many hosts are registered.
func (fleet *fleet) size() int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return len(fleet.members)
}

// all returns the members.
func (fleet *fleet) all() []Member { return fleet.others("") }

// view returns who decides, and a channel that is closed when that changes.
func (fleet *fleet) view() (Election, <-chan struct{}) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.election, fleet.changed
}

// elect takes note of an election, unless a later one is known, and returns the one before and whether it was
// new.
func (fleet *fleet) elect(election Election) (Election, bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	former := fleet.election
	if election.Term <= former.Term {
		return former, false
	}
	fleet.election = election
	close(fleet.changed)
	fleet.changed = make(chan struct{})
	return former, true
}

// known reports whether the store has told of the fleet.
func (fleet *fleet) known() bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.read
}

func (fleet *fleet) markRead() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.read = true
}

func (fleet *fleet) register(member Member) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.members[member.Name] = member
}

// others returns the members but one, those that can carry most first.
func (fleet *fleet) others(name string) []Member {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var members []Member
	for _, member := range fleet.members {
		if member.Name != name {
			members = append(members, member)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

func compareMembers(a, b Member) int {
	return cmp.Or(-cmp.Compare(a.ProcessorShare, b.ProcessorShare), cmp.Compare(a.Name, b.Name))
}

// member returns the host as it registers itself.
func (host *Host) member() Member {
	return Member{
		Name: host.settings.Host, Zone: host.settings.Zone, Address: host.settings.PeerAddress,
		Boot: host.boot, ProcessorShare: host.settings.ProcessorShare,
	}
}

// followFleet registers the host and keeps its view of the fleet up to date.
func (host *Host) followFleet() {
	host.wait.Go(host.register)
	host.follow(host.ctx, translator.Fleet, 0, func(entries []translator.Entry, _ bool) {
		for _, entry := range entries {
			host.learnFleet(entry)
		}
		host.fleet.markRead()
		if tenure := host.present(); tenure != nil {
			tenure.storedAt.Store(int64(host.uptime()))
		}
	})
}

// register writes the host's own entry until the store has taken it.
func (host *Host) register() {
	data, err := json.Marshal(host.member())
	if err != nil {
		host.log.Error("own entry does not encode", "error", err)
		return
	}
	backoff := firstBackoff
	for host.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(host.ctx, newestWithin)
		err := host.store.Put(ctx, translator.Fleet, translator.Entry{Key: memberPrefix + host.settings.Host, Value: data})
		cancel()
		if err == nil {
			return
		}
		host.log.Warn("registration failed", "error", err)
		sleep(host.ctx, backoff)
		backoff = min(2*backoff, mostBackoff)
	}
}

func (host *Host) learnFleet(entry translator.Entry) {
	if entry.Key == electionKey {
		var election Election
		if err := json.Unmarshal(entry.Value, &election); err != nil {
			host.log.Warn("election does not decode", "error", err)
			return
		}
		host.learnElection(election, "store")
		return
	}
	name, found := strings.CutPrefix(entry.Key, memberPrefix)
	if !found || len(entry.Value) == 0 {
		return
	}
	var member Member
	if err := json.Unmarshal(entry.Value, &member); err != nil {
		host.log.Warn("member does not decode", "member", name, "error", err)
		return
	}
	host.fleet.register(member)
}

// learnElection takes note of who decides, and begins or ends the host's own tenure as that says.
func (host *Host) learnElection(election Election, source string) {
	before, isNew := host.fleet.elect(election)
	if !isNew {
		return
	}
	host.log.Info("decider", "term", election.Term, "decider", election.Host, "source", source)
	host.mu.Lock()
	former := host.tenure
	if election.Boot == host.boot {
		host.tenure = newTenure(host, election.Term, before)
	} else {
		host.tenure = nil
	}
	host.mu.Unlock()
	if former != nil {
		host.wait.Go(former.close)
	}
}

// campaign tries to become the decider after the election that is known, and returns nil where it did or
// where another host did.
func (host *Host) campaign(ctx context.Context, known Election) error {
	entries, end, err := host.newest(ctx, translator.Fleet)
	if err != nil {
		return fmt.Errorf("campaign: %w", err)
	}
	for _, entry := range entries {
		host.learnFleet(entry)
	}
	if election, _ := host.fleet.view(); election.Term > known.Term {
		return nil
	}
	election := Election{Term: end + 1, Host: host.settings.Host, Address: host.settings.PeerAddress, Boot: host.boot, AtMS: time.Now().UnixMilli()}
	data, err := json.Marshal(election)
	if err != nil {
		return fmt.Errorf("campaign: encode election: %w", err)
	}
	if _, err = host.store.AppendAt(ctx, translator.Fleet, end, []translator.Entry{{Key: electionKey, Value: data}}); err != nil {
		if errors.Is(err, translator.ErrMoved) {
			return nil
		}
		return fmt.Errorf("campaign: %w", err)
	}
	host.storeAnswered()
	host.learnElection(election, "campaign")
	return nil
}

// campaignWithin bounds one attempt to become the decider.
const campaignWithin = 1200 * time.Millisecond
