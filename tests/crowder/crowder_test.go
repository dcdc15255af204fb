package crowder

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ebonyshunt.org/standin/caller"
)

// descriptorShare is the part of the descriptors that a crowd may take in percent: the host's own calls need the others.
const descriptorShare = 75

// kinds are the kinds of crowds, by the name of the test.
var kinds = []struct {
	name  string
	count int
	files int
	group int // the addresses that are called
	send  client
}{
	{"wholeBodies", 400, manyFiles, httpGroup, stalledBody(knownKey, maxBodyBytes)},
	{"bodiesInPieces", 400, manyFiles, httpGroup, stalledBody(knownKey, 4<<10)},
	{"largeChunks", 400, manyFiles, httpGroup, stalledChunks(64 << 10)},
	{"smallChunks", 400, manyFiles, httpGroup, stalledChunks(1)},
	{"bodiesWithUnknownKey", 400, manyFiles, httpGroup, stalledBody("unknown", maxBodyBytes)},
	{"manySteps", 40, manyFiles, httpGroup, wholeBody(repeated(`{"steps":[`, `{}`, `]}`))},
	{"manyDependencies", 400, manyFiles, httpGroup, wholeBody(repeated(`{"steps":[{"count":1,"dependsOn":[`, `0`, `]}]}`))},
	{"acceptedPayloads", 500, manyFiles, httpGroup, wholeBody(`{"spec":"` + strings.Repeat("x", 200<<10) + `","steps":[{"count":1,"cpu":500,"memMb":10}]}`)},
	{"largeJobs", 200, manyFiles, httpGroup, wholeBody(repeated(`{"steps":[`, `{"count":1,"cpu":1}`, `]}`))},
	{"headsWithoutEnd", 1200, manyFiles, httpGroup, stalledHead("X-Line: "+strings.Repeat("x", 90)+"\r\n", 60<<10)},
	{"headsOfShortLines", 200, manyFiles, httpGroup, distinctLines(60 << 10)},
	{"headsOverLimit", 800, manyFiles, httpGroup, stalledHead("X-Line: "+strings.Repeat("x", 90)+"\r\n", 200<<10)},
	{"emptyLines", 400, manyFiles, httpGroup, endless("", []byte(strings.Repeat("\r\n", 2048)), 1<<20)},
	{"requestsInARow", 200, manyFiles, httpGroup, endless("", requests(64), 2<<20)},
	{"silentConnections", 800, fewFiles, httpGroup, silent},
	{"readinessHeads", 1200, manyFiles, readinessGroup, stalledHead("X-Line: "+strings.Repeat("x", 90)+"\r\n", 60<<10)},
	{"readinessConnections", 800, fewFiles, readinessGroup, silent},
	{"metricsHeads", 1200, manyFiles, metricsGroup, stalledHead("X-Line: "+strings.Repeat("x", 90)+"\r\n", 60<<10)},
	{"metricsConnections", 800, fewFiles, metricsGroup, silent},
	{"peerMessages", 60, manyFiles, peerGroup, endless(string(binary.AppendUvarint(nil, 60<<20)), make([]byte, 64<<10), 3<<20)},
	{"wholePeerMessages", 60, manyFiles, peerGroup, endless("", wholePeerMessage(3<<20), 9<<20)},
	{"escapedPayloads", 400, manyFiles, httpGroup, wholeBody(repeated(`{"steps":[{"count":1}],"spec":"`, "<<<<<<<<<<<<<<<<<<<<", `"}`))},
	{"peerConnections", 800, fewFiles, peerGroup, silent},
	{"smallPeerCalls", 60, manyFiles, peerGroup, endless("", smallPeerCalls(64<<10), 256<<10)},
	{"manyPeersCalls", 800, manyFiles, peerGroup, endless("", smallPeerCalls(64<<10), 1<<20)},
	{"unreadAnswers", 800, manyFiles, httpGroup, endless("", requests(200), 6<<20)},
}

// limitOr returns the number of descriptors that the flags set, or else the default.
func limitOr(defaultFiles int) int {
	if *files > 0 {
		return *files
	}
	return defaultFiles
}

// TestCrowds sends each kind of crowd to the decider of two hosts, and an ordinary job while the crowd is there.
func TestCrowds(t *testing.T) {
	if raceDetector {
		t.Skip("make test plays the crowds one at a time and without the race detector")
	}
	for number, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			cluster := startCluster(t, 2, limitOr(kind.files))
			decider := cluster.hosts[0]
			stop := make(chan struct{})
			seen := watch(t, decider.process, decider.addresses(), stop)
			crowd := sendCrowd(t, decider.address(kind.group), kind.count**factor, kind.send)
			time.Sleep(settleTime)
			assertAnswered(t, decider, fmt.Sprintf("%016x", number), ordinaryBody)
			crowd.close()
			assertAnswered(t, decider, fmt.Sprintf("%016x", 100+number), ordinaryBody)
			close(stop)
			assertBounded(t, <-seen, limitOr(kind.files)*descriptorShare/100)
			for _, host := range cluster.hosts {
				if host.hasEnded() {
					t.Errorf("host %d has ended: %v", host.number, host.err)
				}
			}
		})
	}
}

// TestLargestBody checks that a job of the largest legal size is accepted while no other client calls.
func TestLargestBody(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	cluster := startCluster(t, 1, manyFiles)
	const most = 240 << 10 // as stored, docs/API.md
	body := `{"spec":"` + strings.Repeat("x", most-1024) + `","steps":[{"count":1,"cpu":500,"memMb":10}]}`
	assertAnswered(t, cluster.hosts[0], fmt.Sprintf("%016x", 1), body)
	assertAnswered(t, cluster.hosts[0], fmt.Sprintf("%016x", 2), body+strings.Repeat(" ", maxBodyBytes-len(body)))
}

// TestStopAmidCrowd checks that open bodies do not hold up a planned stop, and that the other host decides after it.
func TestStopAmidCrowd(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	cluster := startCluster(t, 2, limitOr(manyFiles))
	decider := cluster.hosts[0]
	sendCrowd(t, decider.address(httpGroup), 200**factor, stalledBody(knownKey, maxBodyBytes))
	_ = decider.command.Process.Signal(syscall.SIGTERM)
	<-decider.ended
	if decider.err != nil || decider.logged(t, "shutdown cut off open requests") {
		t.Errorf("the host ended with %v, or waited until the end of its grace", decider.err)
	}
	assertAnswered(t, cluster.hosts[1], fmt.Sprintf("%016x", 1), ordinaryBody)
}

// TestTakeoverAmidCrowd checks that a host to which a crowd is connected takes over when the decider is killed.
func TestTakeoverAmidCrowd(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	cluster := startCluster(t, 2, limitOr(manyFiles))
	former, successor := cluster.hosts[0], cluster.hosts[1]
	stop := make(chan struct{})
	seen := watch(t, successor.process, successor.addresses(), stop)
	sendCrowd(t, successor.address(httpGroup), 400**factor, stalledBody(knownKey, maxBodyBytes))
	_ = former.command.Process.Kill()
	<-former.ended
	if !former.wasKilled() {
		t.Errorf("the decider had ended before: %v", former.err)
	}
	assertAnswered(t, successor, fmt.Sprintf("%016x", 1), ordinaryBody)
	close(stop)
	assertBounded(t, <-seen, limitOr(manyFiles)*descriptorShare/100)
	if successor.hasEnded() {
		t.Errorf("the successor has ended: %v", successor.err)
	}
}

// TestAcceptedPayloads checks that the jobs that a decider accepts one after the other do not fill its memory with their payloads.
func TestAcceptedPayloads(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	for name, runTime := range map[string]time.Duration{"ending": defaultRunTime, "running": time.Hour} {
		t.Run(name, func(t *testing.T) {
			cluster := startClusterWith(t, 2, limitOr(manyFiles), runTime)
			decider, other := cluster.hosts[0], cluster.hosts[1]
			stop := make(chan struct{})
			seen := watch(t, decider.process, decider.addresses(), stop)
			submitPayloads(t, other)
			close(stop)
			assertBounded(t, <-seen, limitOr(manyFiles)*descriptorShare/100)
			for _, host := range cluster.hosts {
				if host.hasEnded() {
					t.Errorf("host %d has ended: %v", host.number, host.err)
				}
			}
			_ = decider.command.Process.Kill()
			<-decider.ended
			stop = make(chan struct{})
			seen = watch(t, other.process, other.addresses(), stop)
			assertKnown(t, other, payloadID(0))
			close(stop)
			assertBounded(t, <-seen, limitOr(manyFiles)*descriptorShare/100)
		})
	}
}

// payloadID returns the ID of one of the jobs of submitPayloads.
func payloadID(number int) string { return fmt.Sprintf("%016x", 0xa0<<32+number) }

// submitPayloads submits 500 jobs of 200 KB, each after the answer to the one before.
func submitPayloads(t *testing.T, host *host) {
	t.Helper()
	const submissions = 500
	body := `{"spec":"` + strings.Repeat("x", 200<<10) + `","steps":[{"count":1,"cpu":500,"memMb":10}]}`
	client := caller.New(host.address(httpGroup))
	defer client.Close()
	answers := map[int]int{}
	for number := range submissions {
		answers[client.Call(caller.Submit, prefix+payloadID(number), knownKey, body).Status]++
	}
	t.Logf("answers by status: %v", answers)
	if answers[http.StatusOK] == 0 {
		t.Error("no job was accepted")
	}
}

// assertKnown checks that a host knows a job, at the latest once it has taken over.
func assertKnown(t *testing.T, host *host, id string) {
	t.Helper()
	client := caller.New(host.address(httpGroup))
	defer client.Close()
	for range ordinaryAttempts {
		if answer := client.Call(caller.Query, prefix+id, knownKey, ""); answer.Status == http.StatusOK {
			return
		}
		time.Sleep(ordinaryInterval)
	}
	t.Errorf("host %d does not know job %s", host.number, id)
}

// TestReturningCrowds checks that an ordinary job is accepted while the clients of a crowd return again and again.
func TestReturningCrowds(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	for _, kind := range []struct {
		name string
		send client
	}{
		{"bodies", stalledBody(knownKey, maxBodyBytes)},
		{"smallBodies", stalledPart(8 << 10)},
		{"heads", stalledHead("X-Line: "+strings.Repeat("x", 90)+"\r\n", 60<<10)},
		{"connections", silent},
	} {
		t.Run(kind.name, func(t *testing.T) {
			cluster := startCluster(t, 2, limitOr(fewFiles))
			decider := cluster.hosts[0]
			stop := make(chan struct{})
			seen := watch(t, decider.process, decider.addresses(), stop)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				sendCrowd(t, decider.address(httpGroup), 400**factor, returning(decider.address(httpGroup), kind.send))
			}()
			time.Sleep(settleTime)
			assertAnswered(t, decider, fmt.Sprintf("%016x", 1), ordinaryBody)
			<-ended
			assertAnswered(t, decider, fmt.Sprintf("%016x", 2), ordinaryBody)
			close(stop)
			assertBounded(t, <-seen, limitOr(fewFiles)*descriptorShare/100)
			if decider.hasEnded() {
				t.Errorf("the host has ended: %v", decider.err)
			}
		})
	}
}

// TestUnreadMetrics checks that operators read the metrics of a host while a crowd asks for them and reads no answer.
func TestUnreadMetrics(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	cluster := startCluster(t, 2, limitOr(fewFiles))
	decider := cluster.hosts[0]
	address := decider.address(metricsGroup)
	stop := make(chan struct{})
	seen := watch(t, decider.process, decider.addresses(), stop)
	call := []byte("GET /metrics HTTP/1.1\r\nHost: crowd\r\n\r\n")
	sendCrowd(t, address, 200**factor, endless("", call, 1000*len(call)))
	time.Sleep(settleTime)
	assertMetrics(t, address)
	assertAnswered(t, decider, fmt.Sprintf("%016x", 1), ordinaryBody)
	close(stop)
	assertBounded(t, <-seen, limitOr(fewFiles)*descriptorShare/100)
	if decider.hasEnded() {
		t.Errorf("the host has ended: %v", decider.err)
	}
}

// TestUnreadJobs checks that an ordinary job is accepted while a crowd asks for a job of many tasks and reads no answer.
func TestUnreadJobs(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	cluster := startClusterWith(t, 2, limitOr(manyFiles), time.Hour)
	for number, host := range cluster.hosts {
		id := fmt.Sprintf("%016x", 1)
		if number == 0 {
			assertAnswered(t, host, id, `{"steps":[{"count":1000,"cpu":1,"memMb":1}]}`)
		}
		time.Sleep(settleTime) // for the tasks to start
		stop := make(chan struct{})
		seen := watch(t, host.process, host.addresses(), stop)
		call := fmt.Sprintf("GET %s%s HTTP/1.1\r\nHost: crowd\r\nX-Ebonyshunt-Key: %s\r\n\r\n", prefix, id, knownKey)
		crowd := sendCrowd(t, host.address(httpGroup), 800**factor, endless("", []byte(strings.Repeat(call, 20)), 1))
		time.Sleep(settleTime)
		assertAnswered(t, host, fmt.Sprintf("%016x", 2+number), ordinaryBody)
		crowd.close()
		close(stop)
		assertBounded(t, <-seen, limitOr(manyFiles)*descriptorShare/100)
		if host.hasEnded() {
			t.Errorf("the host has ended: %v", host.err)
		}
	}
}

// assertMetrics checks that a host answers an operator who asks for its metrics, and returns after a failure.
func assertMetrics(t *testing.T, address string) {
	t.Helper()
	client := &http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for range ordinaryAttempts {
		response, err := client.Get("http://" + address + "/metrics")
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(ordinaryInterval)
	}
	t.Error("the metrics were not answered")
}

// TestCrowdsTogether sends all kinds of crowds at once to a decider that has accepted as many jobs as it takes.
func TestCrowdsTogether(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	cluster := startClusterWith(t, 2, limitOr(manyFiles), time.Hour)
	decider := cluster.hosts[0]
	stop := make(chan struct{})
	seen := watch(t, decider.process, decider.addresses(), stop)
	submitPayloads(t, cluster.hosts[1])
	var crowds sync.WaitGroup
	for _, kind := range kinds {
		crowds.Go(func() { sendCrowd(t, decider.address(kind.group), kind.count**factor, kind.send) })
	}
	crowds.Wait()
	time.Sleep(settleTime)
	assertKnown(t, decider, payloadID(0))
	close(stop)
	assertBounded(t, <-seen, limitOr(manyFiles)*descriptorShare/100)
	for _, host := range cluster.hosts {
		if host.hasEnded() {
			t.Errorf("host %d has ended: %v", host.number, host.err)
		}
	}
}
