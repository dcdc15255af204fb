package scheduler

import (
	"log/slog"
	"testing"

	"ebonyshunt.org/platform/translator"
)

// TestOddMember guards against a member of another writer that takes the place of a sound one, or that the others count, wait for and
// call although no host can have it.
func TestOddMember(t *testing.T) {
	const key, sound = "host/b", `{"name":"b","zone":"z","address":"10.0.0.2:82","boot":"x","processorShare":2}`
	for name, entry := range map[string]translator.Entry{
		"otherName":     {Key: key, Value: []byte(`{"name":"a","address":"10.0.0.9:82","processorShare":1}`)},
		"noPort":        {Key: key, Value: []byte(`{"name":"b","address":"10.0.0.9","processorShare":1}`)},
		"portTooLarge":  {Key: key, Value: []byte(`{"name":"b","address":"10.0.0.9:99999","processorShare":1}`)},
		"noHost":        {Key: key, Value: []byte(`{"name":"b","address":":82","processorShare":1}`)},
		"shareTooLarge": {Key: key, Value: []byte(`{"name":"b","address":"10.0.0.9:82","processorShare":1e300}`)},
		"shareNegative": {Key: key, Value: []byte(`{"name":"b","address":"10.0.0.9:82","processorShare":-1}`)},
	} {
		t.Run(name, func(t *testing.T) {
			host := &Host{log: slog.New(slog.DiscardHandler), fleet: newFleet(), undecodable: newUndecodable()}
			host.fleet.register(Member{Name: "a", Address: "10.0.0.1:82"})
			host.applyFleetEntry(entry, 1)
			if member, _ := host.fleet.member("a"); host.fleet.size() != 1 || member.Address != "10.0.0.1:82" {
				t.Errorf("%d members, a is at %s, want 1 at 10.0.0.1:82", host.fleet.size(), member.Address)
			}
			host.applyFleetEntry(translator.Entry{Key: key, Value: []byte(sound)}, 2)
			if host.fleet.size() != 2 {
				t.Errorf("%d members after a sound one, want 2", host.fleet.size())
			}
		})
	}
}
