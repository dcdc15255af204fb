package tests

import (
	"encoding/json"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"ebonyshunt.org/daemon/linker"
	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/logger"
	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/daemon/starter"
	"ebonyshunt.org/library/decider"
	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/keeper"
	"ebonyshunt.org/library/limiter"
	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/recorder"
	"ebonyshunt.org/library/replayer"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/library/sizer"
	"ebonyshunt.org/platform/translator"
)

// newValues return an empty value of each type that validates itself when decoded.
var newValues = []func() any{
	func() any { return &sizer.Size{} },
	func() any { return &fencer.Grant{} },
	func() any { return &limiter.Record{} },
	func() any { return &keeper.Record{} },
	func() any { return &recorder.Event{} },
	func() any { return &replayer.Record{} },
	func() any { return &responder.Problem{} },
	func() any { return &decider.Work{} },
	func() any { return &starter.Task{} },
	func() any { return &starter.Claim{} },
	func() any { return &starter.Report{} },
	func() any { return &lister.Host{} },
	func() any { return &logger.Page{} },
	func() any { return &linker.Envelope{} },
	func() any { return &server.Heartbeat{} },
	func() any { return &server.JobSpec{} },
	func() any { return &server.Job{} },
}

// FuzzDecoders decodes text into each type. The encoding of an accepted value must be accepted too, and must be the
// same after another round of decoding and encoding.
func FuzzDecoders(f *testing.F) {
	for _, seed := range []string{
		`{}`, `[]`, `null`, `1`, `"x"`, `{"`, "\x00",
		`{"milliCores":1,"memoryMB":2,"accelerators":-1}`,
		`{"task":"t","boot":"b","term":{"number":1,"holder":"h"},"notAfter":1,"lease":2}`,
		`{"zone":"a","term":{"number":1,"holder":"h"},"step":1,"changes":[{"team":"t","take":{"milliCores":1}}]}`,
		`{"id":"x","home":"a","kind":"key","term":{"number":1,"holder":"h"},"version":1,"data":{}}`,
		`{"host":"h","kind":"k","stamp":{"wall":1,"counter":2}}`,
		`{"host":"h","zone":"z","incarnation":"i","relayed":[{"host":"o","same":true}]}`,
		`{"host":"h","same":true}`,
		`{"version":1,"from":"h","body":{}}`, `{"version":2,"from":"h"}`,
		`{"format":1,"id":"x","section":"s","limit":{"milliCores":5}}`,
		`{"type":"t","title":"x","status":400}`,
		`{"id":"w","team":"t","service":"s","size":{"milliCores":1},"class":9}`,
		`{"id":"w","team":"t","service":"s","size":{"milliCores":1},"deadline":"2026-01-01T00:00:00Z"}`,
		`{"id":"t","state":"running"}`, `{"worker":"w","boot":"b","tasks":[{"id":"t","state":"odd"}]}`,
		`{"name":"n","zone":"z","kind":"worker","address":"127.0.0.1:1"}`, `{"name":"n","zone":"z","kind":"worker","address":"host:1"}`,
		`{"oldest":1,"next":3,"entries":[{"offset":1,"data":1},{"offset":3,"data":1}]}`,
		`{"service":"s","tasks":[{"target":"?x","body":"aGk="}]}`, `{"service":"s","tasks":[]}`,
		`{"id":"j","spec":{"service":"s","tasks":[{}]},"tasks":[]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		for _, newValue := range newValues {
			first, second := newValue(), newValue()
			if json.Unmarshal(data, first) != nil {
				continue
			}
			encoded, err := json.Marshal(first)
			if err != nil {
				t.Fatalf("%T: encode the decoded value: %v", first, err)
			}
			if err := json.Unmarshal(encoded, second); err != nil {
				t.Fatalf("%T: %s is accepted, but its encoding %s is refused: %v", first, data, encoded, err)
			}
			encodedAgain, err := json.Marshal(second)
			if err != nil || !reflect.DeepEqual(encoded, encodedAgain) {
				t.Fatalf("%T: encoding %s changes to %s, %v", first, encoded, encodedAgain, err)
			}
		}
	})
}

// FuzzDocuments passes text to the parsers of configuration sections and of settings. Each mistake that they list
// must have a reason and a line within the text.
func FuzzDocuments(f *testing.F) {
	for _, seed := range []string{
		"", "[", "[team one]", "x = 1", "[team one]\nowner = ops\nshare = 1e400\n", "[team one]\nowner\n", "[team one]\n = x\n",
		"[fleet]\nowner = ops\nzones = a, a\n", "[team one]\nlimit = cores:1 cores:2 memory:xGB\n", "[key x]\nkeySHA256 = zz\n",
		"[service s]\nowner = o\nupstreams = [\nsize = cores:-1\n", "[host]\nname = a\nname = b\n", "[a]\n[a]\n", "[team one]\nowner = \"\"\"\n",
		"[platform]\nlogAddress = 1.2.3.4:x\n", "[bounds]\nshutdownGrace = -1s\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		lines := 1
		for _, char := range text {
			if char == '\n' {
				lines++
			}
		}
		sections, mistakes := parser.Split("file", text)
		for _, section := range sections {
			_, found := parser.ParseSection("file", section)
			mistakes = append(mistakes, found...)
		}
		_, found := loader.Parse("file", text)
		for _, mistake := range append(mistakes, found...) {
			if mistake.Line < 0 || mistake.Line > lines || mistake.Reason == "" {
				t.Errorf("%q: mistake %+v in %d lines", text, mistake, lines)
			}
		}
	})
}

// FuzzWorkers decodes text as the registration of a worker and as a listing of its runs. What is accepted must be within the ranges that the
// planner reckons with.
func FuzzWorkers(f *testing.F) {
	for _, seed := range []string{
		soundEntry, `{"clockMs":482113,"born":1,"running":[["5c0e7a21d94b36f8.0.1.17",2,"0b",41]],"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]}`,
	} {
		f.Add("w-1", []byte(seed))
	}
	for _, entry := range oddEntries {
		if len(entry) < 1000 { // the others differ in length only
			f.Add("w-1", []byte(entry))
		}
	}
	f.Fuzz(func(t *testing.T, id string, data []byte) {
		if info, err := translator.DecodeWorker(id, data); err == nil {
			address, err := netip.ParseAddrPort(info.Address)
			if err != nil || address.Port() == 0 || info.ID != id || len(id) > 249 { // of 255 bytes of a key, 6 are its prefix
				t.Errorf("accepted with address %q, id %q", info.Address, info.ID)
			}
			if largest := (sizer.Size{MilliCores: 1e9, MemoryMB: 1e9, Accelerators: 1e9}); !info.Capacity.Fits(largest) || !(sizer.Size{}).Fits(info.Capacity) {
				t.Errorf("accepted with capacity %s", info.Capacity)
			}
			if info.Incarnation < 0 || min(info.LeavesIn, info.ColdLeft) < 0 || max(info.LeavesIn, info.ColdLeft) > 24*time.Hour {
				t.Errorf("accepted with times %v, %v and %d", info.LeavesIn, info.ColdLeft, info.Incarnation)
			}
		}
		listing, err := translator.DecodeListing(data, planner.Poll{}, time.Time{})
		if err != nil {
			return
		}
		for _, run := range listing.Running {
			if min(run.Key.Occurrence, run.Key.Step, run.Key.Index, run.Number, run.Percent) < 0 || run.Percent > 100 {
				t.Errorf("accepted with run %+v", run)
			}
		}
	})
}
