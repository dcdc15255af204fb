package scheduler

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/platform/translator"
)

// Member is the entry under which an entry host registers itself in the store.
type Member struct {
	Name           string  `json:"name"`
	Zone           string  `json:"zone"`
	Address        string  `json:"address"` // for calls of its peers
	BootID         string  `json:"boot"`
	ProcessorShare float64 `json:"processorShare"`
}

// Election names the host that is the decider for a term.
type Election struct {
	Term    int64  `json:"term"`
	Host    string `json:"host"`
	Address string `json:"address"`
	BootID  string `json:"boot"`
	// LeasesFromBase is whether the elected process counts leases from tenure.leaseBase, false for an earlier release.
	LeasesFromBase bool `json:"leasesFromBase,omitempty"`
	// Former are the elections before this one, the latest first, at most maxFormerElections. It is empty in what peers send.
	Former []FormerElection `json:"former,omitempty"`
}

// UnmarshalJSON decodes a member. It returns an error if the name or the address is missing.
func (member *Member) UnmarshalJSON(data []byte) error {
	type plain Member
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode member: %w", err)
	}
	if decoded.Name == "" || decoded.Address == "" {
		return Error.New("member has no name or no address")
	}
	*member = Member(decoded)
	return nil
}

// maxTerm bounds terms, since fencing tokens have 20 more bits.
const maxTerm = 1 << 42

// UnmarshalJSON decodes an election. It returns an error if the term is out of range or the address is missing.
func (election *Election) UnmarshalJSON(data []byte) error {
	type plain Election
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode election: %w", err)
	}
	if decoded.Term <= 0 || decoded.Term > maxTerm || decoded.Address == "" {
		return Error.New("election has term %d, which is not from 1 to %d, or no address", decoded.Term, int64(maxTerm))
	}
	after := decoded.Term
	for _, former := range decoded.Former {
		if former.Term <= 0 || former.Term >= after || former.Address == "" {
			return Error.New("election has former term %d, which is not from 1 to %d, or no address for it", former.Term, after-1)
		}
		after = former.Term
	}
	decoded.Former = decoded.Former[:min(len(decoded.Former), maxFormerElections)]
	*election = Election(decoded)
	return nil
}

const (
	memberPrefix = "host/"
	electionKey  = "decider"
)

// fleet holds the registered entry hosts and the latest election, as known from the store and from peers.
type fleet struct {
	mu       sync.Mutex
	members  map[string]Member
	sorted   []Member // the members by falling capacity, replaced as a whole when one of them changes
	loaded   bool     // whether the members were read from the store since the start
	election Election
	changed  chan struct{} // closed and replaced when the election changes
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

// rank returns how many members come before one by falling capacity, and the number of all members.
func (fleet *fleet) rank(of Member) (stronger, size int) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	stronger, _ = slices.BinarySearchFunc(fleet.sorted, of, compareMembers)
	return stronger, len(fleet.members)
}

// allMembers returns all members, sorted by falling capacity.
func (fleet *fleet) allMembers() []Member { return fleet.others("") }

// currentElection returns the latest known election, and a channel that is closed when a later one is recorded.
func (fleet *fleet) currentElection() (Election, <-chan struct{}) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.election, fleet.changed
}

// recordElection records an election unless it is known or older. It returns the election that was known before and
// whether the new one was recorded.
func (fleet *fleet) recordElection(election Election) (Election, bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	previous := fleet.election
	if election.Term == previous.Term && len(previous.Former) == 0 {
		fleet.election.Former = election.Former // a peer sent the election before the store did
	}
	if election.Term <= previous.Term {
		return previous, false
	}
	fleet.election = election
	close(fleet.changed)
	fleet.changed = make(chan struct{})
	return previous, true
}

// isLoaded reports whether the members were read from the store since the start.
func (fleet *fleet) isLoaded() bool {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.loaded
}

func (fleet *fleet) markLoaded() {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.loaded = true
}

func (fleet *fleet) register(member Member) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if known, found := fleet.members[member.Name]; found && known == member {
		return
	}
	fleet.members[member.Name] = member
	fleet.sorted = slices.SortedFunc(maps.Values(fleet.members), compareMembers)
}

// member returns the member with a name, and false if there is none.
func (fleet *fleet) member(name string) (Member, bool) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	member, found := fleet.members[name]
	return member, found
}

// others returns all members but the named one, sorted by falling capacity.
func (fleet *fleet) others(name string) []Member {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(fleet.sorted), func(member Member) bool { return member.Name == name })
}

func compareMembers(a, b Member) int {
	return cmp.Or(-cmp.Compare(a.ProcessorShare, b.ProcessorShare), cmp.Compare(a.Name, b.Name))
}

// member returns the entry under which this host registers itself.
func (host *Host) member() Member {
	return Member{
		Name: host.settings.Host, Zone: host.settings.Zone, Address: host.settings.PeerAddress,
		BootID: host.bootID, ProcessorShare: host.settings.ProcessorShare,
	}
}

// followFleet registers this host and keeps its members and election up to date with the store.
func (host *Host) followFleet() {
	host.wait.Go(host.register)
	host.followTopic(host.ctx, translator.Fleet, 0, func(change topicChange) {
		for _, entry := range change.entries {
			host.applyFleetEntry(entry, change.end)
		}
		host.fleet.markLoaded()
		if tenure := host.currentTenure(); tenure != nil {
			tenure.confirmTerm(change.sentAt)
		}
	})
}

// register writes this host's entry to the store, with retries until it is stored.
func (host *Host) register() {
	data, err := json.Marshal(host.member())
	if err != nil {
		host.log.Error("cannot encode own fleet entry", "error", err)
		return
	}
	backoff := minStoreBackoff
	for host.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(host.ctx, storeTimeout)
		err := host.store.Put(ctx, translator.Fleet, translator.Entry{Key: memberPrefix + host.settings.Host, Value: data})
		cancel()
		if err == nil {
			return
		}
		host.log.Warn("registration failed, retrying", "error", err)
		sleep(host.ctx, backoff)
		backoff = min(2*backoff, maxStoreBackoff)
	}
}

// applyFleetEntry applies a record of a read that covers the topic up to the offset end.
func (host *Host) applyFleetEntry(entry translator.Entry, end int64) {
	if entry.Key == electionKey {
		election, err := decodeElection(entry.Value, end)
		if err != nil {
			host.logUndecodable("cannot decode election", translator.Fleet, entry.Key, err)
			return
		}
		host.undecodable.decoded(translator.Fleet, entry.Key)
		host.applyElection(election, "store")
		return
	}
	name, found := strings.CutPrefix(entry.Key, memberPrefix)
	if !found || len(entry.Value) == 0 {
		return
	}
	member, err := decodeMember(name, entry.Value)
	if err != nil {
		host.logUndecodable("cannot decode member", translator.Fleet, entry.Key, err)
		return
	}
	host.undecodable.decoded(translator.Fleet, entry.Key)
	host.fleet.register(member)
}

// decodeMember decodes the entry of the member with a name.
func decodeMember(name string, data []byte) (Member, error) {
	var member Member
	if err := json.Unmarshal(data, &member); err != nil {
		return Member{}, fmt.Errorf("read stored member: %w", err)
	}
	if member.Name != name {
		return Member{}, Error.New("entry of member %s names member %s", name, member.Name)
	}
	return member, member.check()
}

// check returns an error if no host can have the member's address or capacity.
func (member Member) check() error {
	if address, err := netip.ParseAddrPort(member.Address); err != nil || address.Port() == 0 {
		return Error.New("member %s has the address %.40q, want an IP address and a port", member.Name, member.Address)
	}
	if member.ProcessorShare < 0 || member.ProcessorShare > loader.MaxProcessorShare {
		return Error.New("member %s has capacity %v, which is not from 0 to %d", member.Name, member.ProcessorShare, loader.MaxProcessorShare)
	}
	return nil
}

// decodeElection decodes an election of a topic that ends at an offset. The term of an election is the offset after its record.
// It returns an error for a higher term, which no later election could exceed.
func decodeElection(data []byte, end int64) (Election, error) {
	var election Election
	if err := json.Unmarshal(data, &election); err != nil {
		return Election{}, fmt.Errorf("read stored election: %w", err)
	}
	if election.Term > end {
		return Election{}, Error.New("election has term %d, but the topic ends at %d", election.Term, end)
	}
	return election, nil
}

// applyElection records an election, and begins or ends this host's tenure accordingly.
func (host *Host) applyElection(election Election, source string) {
	host.raiseLeaseTerm(election.Term) // before this host supports the term
	previous, isNew := host.fleet.recordElection(election)
	if !isNew {
		return
	}
	host.deciderStatus.recordElection(host.uptime(), previous.Term > 0 && host.suspectsDecider())
	host.log.Info("decider", "term", election.Term, "decider", election.Host, "source", source)
	host.mu.Lock()
	endedTenure := host.tenure
	if election.BootID == host.bootID {
		if len(election.Former) == 0 {
			election = election.withFormer(previous)
		}
		host.tenure = newTenure(host, election)
	} else {
		host.tenure = nil
	}
	host.mu.Unlock()
	if endedTenure != nil {
		host.wait.Go(endedTenure.close)
	}
}

// campaign tries to become the decider after a known election. It returns nil if this host or another one was
// elected.
func (host *Host) campaign(ctx context.Context, known Election) error {
	select {
	case host.campaigning <- struct{}{}:
		defer func() { <-host.campaigning }()
	case <-ctx.Done():
		return fmt.Errorf("campaign: wait for another one: %w", ctx.Err())
	}
	return host.campaignAlone(ctx, known)
}

// campaignAlone is campaign while no other campaign of this host is under way.
func (host *Host) campaignAlone(ctx context.Context, known Election) error {
	entries, end, err := host.readNewest(ctx, translator.Fleet)
	if err != nil {
		return fmt.Errorf("campaign: %w", err)
	}
	for _, entry := range entries {
		host.applyFleetEntry(entry, end)
	}
	previous, _ := host.fleet.currentElection()
	if previous.Term > known.Term {
		return nil
	}
	election := Election{
		Term: end + 1, Host: host.settings.Host, Address: host.settings.PeerAddress, BootID: host.bootID, LeasesFromBase: true,
	}.withFormer(previous)
	data, err := json.Marshal(election)
	if err != nil {
		return fmt.Errorf("campaign: encode election: %w", err)
	}
	if _, err = host.store.AppendAt(ctx, translator.Fleet, end, []translator.Entry{{Key: electionKey, Value: data}}); err != nil {
		if errors.Is(err, translator.ErrOffsetMismatch) {
			return nil
		}
		return fmt.Errorf("campaign: %w", err)
	}
	host.recordStoreAnswer()
	host.applyElection(election, "campaign")
	return nil
}

// campaignTimeout bounds one attempt to become the decider.
const campaignTimeout = 1200 * time.Millisecond
