package scheduler

import (
	"encoding/json"
	"testing"
	"time"
)

// TestFormerDeciders guards against a decider that starts runs elsewhere while a former decider renews their leases, of whose end nothing
// is known.
func TestFormerDeciders(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	const settled = 5
	for _, test := range []struct {
		name  string
		terms []int64
		ended map[int64]time.Duration // from start
		want  time.Duration           // 0 for not known
	}{
		{"allEnded", []int64{9, 7, 5}, map[int64]time.Duration{9: 2 * time.Second, 7: 3 * time.Second, 5: time.Second}, 3 * time.Second},
		{"oneRuns", []int64{9, 7, 5}, map[int64]time.Duration{9: 2 * time.Second, 5: time.Second}, 0},
		{"settledOneRuns", []int64{9, 7, 5}, map[int64]time.Duration{9: 2 * time.Second, 7: time.Second}, 0},
		{"oneBeforeTheSettledOneRuns", []int64{9, 5, 4}, map[int64]time.Duration{9: 2 * time.Second, 5: time.Second}, 2 * time.Second},
		{"listOfAnOlderRelease", []int64{9}, map[int64]time.Duration{9: 2 * time.Second}, 0},
		{"settledOneIsNotListed", []int64{9, 4}, map[int64]time.Duration{9: 2 * time.Second, 4: time.Second}, 0},
		{"none", nil, nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var elections []FormerElection
			for _, term := range test.terms {
				elections = append(elections, FormerElection{Term: term})
			}
			formerDeciders := newFormerDeciders(elections)
			for term, at := range test.ended {
				formerDeciders.recordEnd(term, groundGone, start.Add(at))
			}
			if end, _, known := formerDeciders.end(settled); known != (test.want > 0) || known && end.Sub(start) != test.want {
				t.Errorf("end after %v, known %t, want %v", end.Sub(start), known, test.want)
			}
		})
	}
}

// TestFormerElections guards against a list of elections that grows without bound, or that leaves one out.
func TestFormerElections(t *testing.T) {
	var latest Election
	for term := int64(1); term <= 3*maxFormerElections; term++ {
		latest = Election{Term: term, Host: "a", Address: "10.0.0.1:82"}.withFormer(latest)
		if count := min(term-1, maxFormerElections); int64(len(latest.Former)) != count {
			t.Errorf("term %d names %d former elections, want %d", term, len(latest.Former), count)
		}
		for index, former := range latest.Former {
			if former.Term != term-1-int64(index) {
				t.Errorf("term %d names term %d at %d", term, former.Term, index)
			}
		}
	}
}

// TestOddFormerElections guards against a list of elections that is not in order, in which an election could be missed.
func TestOddFormerElections(t *testing.T) {
	const election = `{"term":9,"host":"a","address":"10.0.0.1:82","former":`
	for name, test := range map[string]struct {
		former string
		valid  bool
	}{
		"inOrder":    {`[{"term":8,"address":"10.0.0.1:82"},{"term":5,"address":"10.0.0.1:82"}]`, true},
		"ascending":  {`[{"term":5,"address":"10.0.0.1:82"},{"term":8,"address":"10.0.0.1:82"}]`, false},
		"notFormer":  {`[{"term":9,"address":"10.0.0.1:82"}]`, false},
		"termOfZero": {`[{"term":0,"address":"10.0.0.1:82"}]`, false},
		"noAddress":  {`[{"term":8}]`, false},
	} {
		t.Run(name, func(t *testing.T) {
			var decoded Election
			if err := json.Unmarshal([]byte(election+test.former+"}"), &decoded); (err == nil) != test.valid {
				t.Errorf("error %v, want valid %t", err, test.valid)
			}
		})
	}
}

// TestFormerWindow guards against a decider that does not wait for the time in which deciders of earlier releases, or deciders that it does
// not know of, go on to give leases.
func TestFormerWindow(t *testing.T) {
	const settled = 5
	current := func(terms ...int64) (elections []FormerElection) {
		for _, term := range terms {
			elections = append(elections, FormerElection{Term: term, LeasesFromBase: true})
		}
		return elections
	}
	for name, test := range map[string]struct {
		elections []FormerElection
		want      time.Duration
	}{
		"current":              {current(9, 7, 5), 0},
		"olderBeforeSettled":   {append(current(9, 5), FormerElection{Term: 4}), 0},
		"olderRelease":         {append(current(9), FormerElection{Term: 5}), renewalWindow},
		"settledIsNotListed":   {current(9, 7), renewalWindow},
		"settledIsLeftOut":     {current(9, 4), renewalWindow},
		"noneIsKnownOfAFormer": {nil, renewalWindow},
	} {
		t.Run(name, func(t *testing.T) {
			if window := newFormerDeciders(test.elections).window(settled); window != test.want {
				t.Errorf("window %v, want %v", window, test.want)
			}
		})
	}
}
