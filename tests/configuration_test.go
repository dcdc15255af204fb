package tests

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/responder"
	"ebonyshunt.org/standin/logserver"
)

// maxConfigDelay is the target's bound for the time until a change is in force on every host.
const maxConfigDelay = 11 * time.Second

const withdrawnKeySection = "owner = ops\nteam = one\nkeySHA256 = DIGEST\nwithdrawn = true\n"

// sectionVersion returns the version of a section that a host reports, or -1 if it reports none.
func (harness *harness) sectionVersion(host, section string) int64 {
	answer := harness.send(harness.ctx, host, http.MethodGet, "/v1/sections", rootKey, nil)
	var sections server.SectionsAnswer
	if json.Unmarshal(answer.body, &sections) != nil {
		return -1
	}
	for _, version := range sections.Sections {
		if version.Section == section {
			return version.Offset
		}
	}
	return -1
}

// awaitInForce waits until the named hosts report at least the given version of a section, and returns the time
// that this took.
func (harness *harness) awaitInForce(section string, version int64, hosts []string) time.Duration {
	harness.Helper()
	started := time.Now()
	for _, host := range hosts {
		for harness.sectionVersion(host, section) < version {
			if time.Since(started) > time.Minute {
				harness.Fatalf("%s did not report version %d of %s within a minute", host, version, section)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return time.Since(started)
}

func (harness *harness) withdrawKey(host string) int64 {
	harness.Helper()
	text := strings.ReplaceAll(withdrawnKeySection, "DIGEST", digestOf(teamKey))
	version, err := harness.PublishSection(harness.ctx, host, "key one.main", text, harness.sectionVersion(host, "key one.main"))
	if err != nil {
		harness.Fatal(err)
	}
	return version
}

func assertRefused(h *harness, host string, code responder.Code) {
	h.Helper()
	answer := h.post(host, "")
	if answer.problem.Code() != code || answer.outcome != responder.NotRun {
		h.Errorf("%s: got status %d %+v, want %s", host, answer.status, answer.problem, code)
	}
}

// TestConfigurationInForce withdraws a key while the log is healthy, slow, cut off from one zone or loses an answer.
// Every host must refuse the key within maxConfigDelay.
func TestConfigurationInForce(t *testing.T) {
	cases := []struct {
		name   string
		before func(*harness)
	}{
		{"logHealthy", func(*harness) {}},
		{"logSlow", func(h *harness) { h.Log.SetFaults(logserver.Faults{Delay: 2 * time.Second}) }},
		{"logDownForOneZone", func(h *harness) { h.fabric.Cut(h.nodesOfZone("c"), platformHosts) }},
		{"answerLost", func(h *harness) { h.Log.SetFaults(logserver.Faults{LoseAnswers: 1}) }},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runCellTest(t, 2, func(h *harness) {
				test.before(h)
				began := time.Now()
				version := h.withdrawKey("entry-a-0")
				h.awaitInForce("key one.main", version, h.Names)
				took := time.Since(began)
				t.Logf("in force on every host after %s", took)
				if took > maxConfigDelay {
					t.Errorf("in force after %s, the target is %s", took, maxConfigDelay)
				}
				for _, host := range h.Names {
					assertRefused(h, host, responder.CodeKeyRefused)
				}
			})
		})
	}
}

// TestConfigurationNeverReverts starts hosts while the log is down, with only a stale peer in reach, or when the
// current version is past the log's retention. No host may put an older version in force. After a log outage the
// hosts must answer again and may not overload the log with appends: 10 a host in 30 s at most.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Run("hostStartsWhileLogIsDown", func(t *testing.T) {
		runCellTest(t, 2, func(h *harness) {
			h.KillHost("entry-b-1")
			h.withdrawKey("entry-a-0")
			h.Log.SetFaults(logserver.Faults{Down: true})
			if err := h.StartHost("entry-b-1"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			assertRefused(h, "entry-b-1", responder.CodeKeyRefused)
		})
	})
	t.Run("onlyAStalePeerIsReachable", func(t *testing.T) {
		runCellTest(t, 2, func(h *harness) {
			others := append(h.nodesOfZone("a"), h.nodesOfZone("c")...)
			healOld := h.fabric.Cut([]string{"entry-b-0"}, append(append(others, platformHosts...), "entry-b-1"))
			h.KillHost("entry-b-1")
			version := h.withdrawKey("entry-a-0")
			h.Log.SetFaults(logserver.Faults{Down: true})
			healOld()
			healNew := h.fabric.Cut([]string{"entry-b-0", "entry-b-1"}, append(others, platformHosts...))
			if err := h.StartHost("entry-b-1"); err != nil {
				t.Fatal(err)
			}
			time.Sleep(5 * time.Second)
			healNew()
			h.awaitInForce("key one.main", version, h.Names)
			for _, host := range h.Names {
				assertRefused(h, host, responder.CodeKeyRefused)
			}
		})
	})
	t.Run("currentValueIsPastRetention", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			version := h.withdrawKey("entry-a-0")
			time.Sleep(6 * time.Minute)
			h.Log.SetRetain(20)
			for number := range 60 {
				text := fmt.Sprintf("owner = ops\nshare = %d\nlimit = cores:12\n", 1+number%5)
				if _, err := h.PublishSection(h.ctx, "entry-a-0", "team one", text, h.sectionVersion("entry-a-0", "team one")); err != nil {
					t.Fatal(err)
				}
				time.Sleep(10 * time.Second)
			}
			h.KillHost("entry-c-0")
			if err := h.StartHost("entry-c-0"); err != nil {
				t.Fatal(err)
			}
			h.fabric.Cut([]string{"entry-c-0"}, append(h.nodesOfZone("a"), h.nodesOfZone("b")...))
			h.awaitInForce("key one.main", version, []string{"entry-c-0"})
		})
	})
	t.Run("allHostsRecoverFromOutage", func(t *testing.T) {
		runCellTest(t, 2, func(h *harness) {
			h.Log.SetFaults(logserver.Faults{Down: true})
			time.Sleep(2 * time.Minute)
			appends := h.Log.Appends()
			h.Log.SetFaults(logserver.Faults{})
			time.Sleep(30 * time.Second)
			if made := h.Log.Appends() - appends; made > int64(10*len(h.Names)) {
				t.Errorf("%d appends in 30 s by %d hosts", made, len(h.Names))
			}
			h.checkRecovered()
		})
	})
}

// TestConfigurationRaces publishes conflicting and repeated changes of a section. One of two changes based on the same
// version must be refused, and a repeated change must get the same version.
func TestConfigurationRaces(t *testing.T) {
	t.Run("oneOfTwoOperatorsWins", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			base := h.sectionVersion("entry-a-0", "team one")
			results := make(chan error, 2)
			for number, host := range []string{"entry-a-0", "entry-c-0"} {
				go func() {
					text := fmt.Sprintf("owner = ops\nshare = %d\nlimit = cores:12\n", 2+number)
					_, err := h.PublishSection(h.ctx, host, "team one", text, base)
					results <- err
				}()
			}
			first, second := <-results, <-results
			if (first == nil) == (second == nil) {
				t.Errorf("concurrent changes returned errors %v and %v, want exactly one error", first, second)
			}
		})
	})
	t.Run("resentChangeTakesEffectOnce", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			base := h.sectionVersion("entry-a-0", "team one")
			body, err := json.Marshal(server.SectionChange{ID: "same", Text: "owner = ops\nshare = 7\nlimit = cores:12\n"})
			if err != nil {
				t.Fatal(err)
			}
			h.Log.SetFaults(logserver.Faults{LoseAnswers: 1})
			var numbers []int64
			for _, host := range []string{"entry-a-0", "entry-b-0"} {
				answer := h.send(h.ctx, host, http.MethodPut, "/v1/sections/team/one", rootKey, body, "If-Match", fmt.Sprint(base))
				var published server.PublishAnswer
				if json.Unmarshal(answer.body, &published) != nil || answer.status != http.StatusOK {
					t.Fatalf("publish the change: status %d: %s, want 200", answer.status, answer.body)
				}
				numbers = append(numbers, published.Version)
			}
			if numbers[0] != numbers[1] {
				t.Errorf("versions %v, want the same", numbers)
			}
		})
	})
	t.Run("logDownRefusesTheChange", func(t *testing.T) {
		runCellTest(t, 1, func(h *harness) {
			h.Log.SetFaults(logserver.Faults{Down: true})
			_, err := h.PublishSection(h.ctx, "entry-a-0", "team two", "owner = ops\n", 0)
			if err == nil || !strings.Contains(err.Error(), string(responder.CodeLogUnavailable)) {
				t.Errorf("publish while the log is down: got error %v, want logUnavailable", err)
			}
		})
	})
}

// TestUnreadableLogRecords appends a record that hosts cannot decode or apply. Later records must still come into force,
// and requests must still be answered.
func TestUnreadableLogRecords(t *testing.T) {
	records := map[string]string{
		"noJSONObject":  `"text"`,
		"newerFormat":   `{"format":2,"id":"x","section":"team one"}`,
		"unknownKind":   `{"format":1,"id":"x","section":"plan nine","base":0,"author":"ops","text":"owner = ops"}`,
		"badSection":    `{"format":1,"id":"x","section":"team zero","base":0,"author":"ops","text":"owner = ops\nshare = none"}`,
		"hugeSection":   `{"format":1,"id":"x","section":"queue big","base":0,"author":"ops","text":"owner = ops\nteam = one\nservices = ` + strings.Repeat("work, ", 10_000) + `work\n"}`,
		"withoutRecord": `{}`,
	}
	for name, text := range records {
		t.Run(name, func(t *testing.T) {
			runCellTest(t, 1, func(h *harness) {
				address := h.Hosts["entry-a-0"].Settings.LogAddress
				request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/v1/streams/fleet/records", strings.NewReader(`{"data":`+text+`}`))
				if err != nil {
					t.Fatal(err)
				}
				response, err := h.client.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				response.Body.Close()
				version, err := h.PublishSection(h.ctx, "entry-a-0", "team later", "owner = ops\n", 0)
				if err != nil {
					t.Fatal(err)
				}
				h.awaitInForce("team later", version, h.Names)
				if answer := h.post("entry-b-0", ""); answer.outcome != responder.Answered {
					t.Errorf("request after the unreadable record: got %+v, want outcome answered", answer)
				}
			})
		})
	}
}

// TestOfflineGraceOfPartitionedZone cuts a zone off. Its hosts must accept keys during offlineGrace and refuse them
// afterwards.
func TestOfflineGraceOfPartitionedZone(t *testing.T) {
	runCellTest(t, 2, func(h *harness) {
		fleet := "owner = ops\nzones = a, b, c\nofflineGrace = 1m\n"
		if _, err := h.PublishSection(h.ctx, "entry-a-0", "fleet", fleet, h.sectionVersion("entry-a-0", "fleet")); err != nil {
			t.Fatal(err)
		}
		otherNodes := append(append(h.nodesOfZone("b"), h.nodesOfZone("c")...), platformHosts...)
		h.fabric.Cut(h.nodesOfZone("a"), otherNodes)
		time.Sleep(50 * time.Second)
		if answer := h.post("entry-a-0", ""); answer.outcome != responder.Answered {
			t.Errorf("within the grace period: got %+v, want outcome answered", answer)
		}
		time.Sleep(time.Minute)
		assertRefused(h, "entry-a-0", responder.CodeKeyRefused)
	})
}
