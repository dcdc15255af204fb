package crowder

import (
	"bytes"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/library/sizer"
	"ebonyshunt.org/library/viewer"
	"ebonyshunt.org/standin/listserver"
	"ebonyshunt.org/standin/logserver"
	"ebonyshunt.org/standin/workerserver"
)

const (
	// serverMemoryMB is the memory of the machine of a host that serves the product's own interface.
	serverMemoryMB = 256
	// defaultMemoryMB is the memory of a host whose settings do not name it.
	defaultMemoryMB = 1024
	serverRootKey   = "root-key"
	serverTeamKey   = "team-key"
	// serverBodyBytes is the size of the largest job.
	serverBodyBytes = 1 << 20
)

// serverFleet is the configuration of the host, with the SHA-256 digest of serverTeamKey.
const serverFleet = `[fleet]
owner = root
zones = a

[service work]
owner = root
upstreams = w-*
size = cores:1 memory:1GB

[team one]
owner = root

[queue oneLive]
owner = root
team = one
services = work

[key one.main]
owner = root
team = one
keySHA256 = %s
`

// startServer starts a host that serves the product's own interface, and waits until it serves its configuration.
func startServer(t *testing.T, files int) (*process, string) {
	t.Helper()
	logAddress, _ := serve(t, logserver.New().Handler())
	listAddress, _ := serve(t, listserver.New().Handler())
	process, httpAddress := startListedServer(t, "one", files, defaultMemoryMB, logAddress, listAddress, freeAddress(t))
	publishFleet(t, process, httpAddress)
	return process, httpAddress
}

// startZone starts two hosts of a zone with a worker of so many cores. One of them decides, the other one keeps copies.
func startZone(t *testing.T, cores int64) (hosts []*process, addresses []string, workerAddress string) {
	t.Helper()
	list := listserver.New()
	logAddress, _ := serve(t, logserver.New().Handler())
	listAddress, _ := serve(t, list.Handler())
	worker := workerserver.New("w-one", sizer.Size{MilliCores: 1000 * cores, MemoryMB: 2048 * cores})
	workerAddress, _ = serve(t, worker.Handler())
	list.Add(lister.Host{Name: "w-one", Kind: lister.KindWorker, Address: workerAddress, Zone: "a", Rack: "r", Capacity: worker.Capacity})
	for _, name := range []string{"one", "two"} {
		peerAddress := freeAddress(t)
		list.Add(lister.Host{Name: name, Kind: lister.KindEntry, Address: peerAddress, Zone: "a"})
		process, address := startListedServer(t, name, manyFiles, serverMemoryMB, logAddress, listAddress, peerAddress)
		hosts, addresses = append(hosts, process), append(addresses, address)
	}
	publishFleet(t, hosts[0], addresses[0])
	return hosts, addresses, workerAddress
}

// startListedServer starts a host of zone a. It returns the address of the product's own interface.
func startListedServer(t *testing.T, name string, files, memoryMB int, logAddress, listAddress, peerAddress string) (*process, string) {
	t.Helper()
	folder := t.TempDir()
	httpAddress := freeAddress(t)
	settings := filepath.Join(folder, "host.ini")
	write(t, settings, strings.Join([]string{
		"[host]", "name = " + name, "zone = a", "httpAddress = " + httpAddress, "peerAddress = " + peerAddress,
		"[platform]", "logAddress = " + logAddress, "listAddress = " + listAddress,
		"[operators]", "rootKeySHA256 = " + viewer.Digest(serverRootKey),
		"[bounds]", fmt.Sprintf("memoryMB = %d", memoryMB), "",
	}, "\n"))
	return startProcess(t, filepath.Join(folder, "host.log"), files, buildDaemon(t), "--settings", settings), httpAddress
}

// publishFleet publishes serverFleet through a host, and waits until it serves its configuration.
func publishFleet(t *testing.T, process *process, httpAddress string) {
	t.Helper()
	folder := t.TempDir()
	fleet := filepath.Join(folder, "fleet.ini")
	write(t, fleet, fmt.Sprintf(serverFleet, viewer.Digest(serverTeamKey))+otherTeams())
	command := filepath.Join(folder, "ebonyshunt")
	if output, err := exec.Command("go", "build", "-o", command, "ebonyshunt.org/command").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	for deadline := time.Now().Add(readyWithin); ; time.Sleep(ordinaryInterval) {
		publish := exec.Command(command, "--hosts", httpAddress, "publish", fleet)
		publish.Env = append(os.Environ(), "EBONYSHUNT_KEY="+serverRootKey)
		output, err := publish.CombinedOutput()
		if err == nil && read(httpAddress, sectionsPath) == http.StatusOK {
			return
		}
		if time.Now().After(deadline) || process.hasEnded() {
			t.Fatalf("the host is not ready: %s", output)
		}
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// sectionsPath is the path of the configuration.
const sectionsPath = "/v1/sections"

// read asks a host for what is at a path over a new connection and returns the status, 0 for none.
func read(address, path string) int {
	client := &http.Client{Timeout: dialTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		panic(err) // unreachable: the address is one of a listener
	}
	key := serverTeamKey
	if path == sectionsPath {
		key = serverRootKey
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// serverBody sends the head of a job and its body, less the last byte.
func serverBody(conn net.Conn, _ int) error {
	head := fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", serverTeamKey, serverBodyBytes)
	if _, err := conn.Write([]byte(head)); err != nil {
		return err
	}
	return send(conn, bytes.Repeat([]byte{' '}, serverBodyBytes-1), 64<<10)
}

// otherTeams returns the sections of so many teams that the configuration is more than the buffers of a connection.
func otherTeams() string {
	const teams = 500
	var sections strings.Builder
	for number := range teams {
		fmt.Fprintf(&sections, "\n[team other%d]\nowner = root\n", number)
	}
	return sections.String()
}

// serverRequests returns a number of complete requests.
func serverRequests(count int) []byte {
	return []byte(strings.Repeat("GET /v1/sections HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+serverRootKey+"\r\n\r\n", count))
}

// TestServerCrowds sends crowds to a host that serves the product's own interface, and an ordinary call while the crowd is there.
func TestServerCrowds(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	for _, kind := range []struct {
		name  string
		count int
		files int
		send  client
	}{
		{"jobs", 600, manyFiles, serverBody},
		{"heads", 1800, manyFiles, stalledHead("X-Line: "+strings.Repeat("x", 90)+"\r\n", 60<<10)},
		{"headsOfShortLines", 600, manyFiles, distinctLines(60 << 10)},
		{"connections", 800, fewFiles, silent},
		{"unreadAnswers", 400, fewFiles, endless("", serverRequests(200), 64<<10)},
	} {
		t.Run(kind.name, func(t *testing.T) {
			server, address := startServer(t, kind.files)
			stop := make(chan struct{})
			seen := watch(t, server, []string{address}, stop)
			crowd := sendCrowd(t, address, kind.count, kind.send)
			time.Sleep(settleTime)
			assertServerAnswers(t, address, sectionsPath)
			crowd.close()
			assertServerAnswers(t, address, sectionsPath)
			close(stop)
			most := <-seen
			t.Logf("at most %d MB and %d descriptors", most.memory>>20, most.descriptors)
			if most.memory > serverMemoryMB<<20 || most.descriptors > kind.files*descriptorShare/100 {
				t.Errorf("%d MB and %d descriptors in use, want at most %d and %d", most.memory>>20, most.descriptors, serverMemoryMB, kind.files*descriptorShare/100)
			}
			if server.hasEnded() {
				t.Errorf("the host has ended: %v", server.err)
			}
		})
	}
}

const (
	uploads = 400
	// echoedBytes is what the client of an upload reads of its answer.
	echoedBytes = 4 << 20
	// uploadBytes is what it sends, if the host takes it.
	uploadBytes = 16 << 20
	// kernelShare is the inverse of the part of the memory that the kernel may take for the bytes of uploads and their answers.
	kernelShare = 4
)

// echoedUpload uploads a body to a worker that answers with the same. It reads the beginning of the answer and then nothing more.
func echoedUpload(conn net.Conn, _ int) error {
	head := fmt.Sprintf("POST /v1/services/work/?echo HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", serverTeamKey, uploadBytes)
	if _, err := conn.Write([]byte(head)); err != nil {
		return err
	}
	go func() { _, _ = io.CopyN(io.Discard, conn, echoedBytes) }() // ends with the connection
	return send(conn, make([]byte, uploadBytes), 64<<10)
}

// TestServerUploads uploads large bodies to a zone of two hosts all at once.
func TestServerUploads(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	hosts, addresses, workerAddress := startZone(t, uploads)
	submitServerJob(t, addresses[0], 1, ordinaryAttempts) // once the zone has a decider
	stop := make(chan struct{})
	seen := watchCalls(t, hosts[0], addresses[:1], []string{workerAddress}, stop)
	crowd := sendCrowd(t, addresses[0], uploads, echoedUpload)
	assertServerAnswers(t, addresses[0], sectionsPath)
	crowd.close()
	assertServerAnswers(t, addresses[0], sectionsPath)
	close(stop)
	most := <-seen
	t.Logf("at most %d MB, of which %d kept by the kernel", most.memory>>20, most.kept>>20)
	if most.memory > serverMemoryMB<<20 || hosts[0].hasEnded() {
		t.Errorf("the host took %d MB, the machine has %d; has ended: %t", most.memory>>20, serverMemoryMB, hosts[0].hasEnded())
	}
	if most.kept > serverMemoryMB<<20/kernelShare {
		t.Errorf("the kernel keeps %d MB, more than %d leave too little for the host", most.kept>>20, serverMemoryMB/kernelShare)
	}
}

const (
	serverJobs      = 200
	serverJobBytes  = 700 << 10 // of the body of its task
	serverJobMillis = 10        // run time of its task
)

// TestServerJobs submits large jobs to a zone of two hosts, one after the other.
func TestServerJobs(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	hosts, addresses, _ := startZone(t, 4)
	stop := make(chan struct{})
	var seen []<-chan usage
	for number, host := range hosts {
		seen = append(seen, watch(t, host, addresses[number:number+1], stop))
	}
	submitServerJob(t, addresses[0], 1, ordinaryAttempts) // once the zone has a decider
	answers := map[int]int{}
	for range serverJobs {
		status, _ := submitServerJob(t, addresses[0], serverJobBytes, 1)
		answers[status]++
	}
	t.Logf("answers by status: %v", answers)
	if answers[http.StatusAccepted] == 0 {
		t.Error("no large job was accepted")
	}
	assertServerAnswers(t, addresses[0], sectionsPath)
	close(stop)
	for number, host := range hosts {
		most := <-seen[number]
		t.Logf("host %d took at most %d MB", number, most.memory>>20)
		if most.memory > serverMemoryMB<<20 || host.hasEnded() {
			t.Errorf("host %d took %d MB, has ended: %t", number, most.memory>>20, host.hasEnded())
		}
	}
}

// TestServerJobReads reads a large job by many clients at once that do not read the answer.
func TestServerJobReads(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	for name, path := range map[string]string{"jobs": "%s", "events": "%s/events"} {
		t.Run(name, func(t *testing.T) {
			hosts, addresses, _ := startZone(t, 4)
			_, ordinary := submitServerJob(t, addresses[0], 1, ordinaryAttempts) // once the zone has a decider
			_, location := submitServerJob(t, addresses[0], serverJobBytes, ordinaryAttempts)
			call := fmt.Sprintf("GET "+path+" HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\n\r\n", location, serverTeamKey)
			for number, host := range hosts {
				stop := make(chan struct{})
				seen := watch(t, host, addresses[number:number+1], stop)
				crowd := sendCrowd(t, addresses[number], 1000, endless("", []byte(call), 1))
				time.Sleep(settleTime)
				assertServerAnswers(t, addresses[number], ordinary)
				assertServerAnswers(t, addresses[number], location)
				crowd.close()
				assertServerAnswers(t, addresses[number], location)
				close(stop)
				assertServerBounded(t, host, <-seen)
			}
		})
	}
}

// TestServerUnreadSubmissions checks that a large job is accepted while a crowd that has submitted as large ones reads no answer.
func TestServerUnreadSubmissions(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	hosts, addresses, _ := startZone(t, 4)
	submitServerJob(t, addresses[0], 1, ordinaryAttempts) // once the zone has a decider
	spec := serverJob(serverJobBytes)
	call := fmt.Sprintf("POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", serverTeamKey, len(spec), spec)
	for number, host := range hosts {
		stop := make(chan struct{})
		seen := watch(t, host, addresses[number:number+1], stop)
		sendCrowd(t, addresses[number], 8, endless("", []byte(call), 1))
		time.Sleep(settleTime)
		submitServerJob(t, addresses[number], serverJobBytes, ordinaryAttempts)
		close(stop)
		assertServerBounded(t, host, <-seen)
	}
}

const (
	keyedClients  = 40
	keyedRequests = 150      // of each client
	keyedBytes    = 60 << 10 // of a body and its answer
)

// TestServerKeys sends many requests with idempotency keys, whose answers the zone keeps.
func TestServerKeys(t *testing.T) {
	if raceDetector {
		t.Skip("as TestCrowds")
	}
	hosts, addresses, _ := startZone(t, keyedClients)
	submitServerJob(t, addresses[0], 1, ordinaryAttempts) // once the zone has a decider
	stop := make(chan struct{})
	var seen []<-chan usage
	for number, host := range hosts {
		seen = append(seen, watch(t, host, addresses[number:number+1], stop))
	}
	var clients sync.WaitGroup
	for client := range keyedClients {
		clients.Go(func() {
			for number := range keyedRequests {
				sendKeyed(addresses[0], fmt.Sprintf("crowd-%d-%d", client, number), keyedBytes)
			}
		})
	}
	clients.Wait()
	if status := sendKeyed(addresses[0], "ordinary", 1); status != http.StatusOK {
		t.Errorf("an ordinary request with a key got status %d", status)
	}
	close(stop)
	for number, host := range hosts {
		assertServerBounded(t, host, <-seen[number])
	}
}

// sendKeyed sends a request with an idempotency key to a worker that answers with its body, and returns the status, 0 for none.
func sendKeyed(address, key string, bodyBytes int) int {
	request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/services/work/?echo", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		panic(err) // unreachable: the address is one of a listener
	}
	request.Header.Set("Authorization", "Bearer "+serverTeamKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

// assertServerBounded checks what a host of a zone was seen to take.
func assertServerBounded(t *testing.T, host *process, most usage) {
	t.Helper()
	t.Logf("at most %d MB, of which %d kept by the kernel, and %d descriptors", most.memory>>20, most.kept>>20, most.descriptors)
	if most.memory > serverMemoryMB<<20 || host.hasEnded() {
		t.Errorf("the host took %d MB, the machine has %d; has ended: %t", most.memory>>20, serverMemoryMB, host.hasEnded())
	}
}

// serverJob returns a job with one task, whose body has a size.
func serverJob(bodyBytes int) string {
	return fmt.Sprintf(`{"service":"work","tasks":[{"target":"?workMS=%d","body":"%s"}]}`, serverJobMillis, base64.StdEncoding.EncodeToString(make([]byte, bodyBytes)))
}

// submitServerJob submits a job with one task, and returns the last status and the path of the job. It tries again until the job is
// accepted.
func submitServerJob(t *testing.T, address string, bodyBytes, attempts int) (status int, location string) {
	t.Helper()
	spec := serverJob(bodyBytes)
	for range attempts {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/jobs", strings.NewReader(spec))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Authorization", "Bearer "+serverTeamKey)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if status = response.StatusCode; status == http.StatusAccepted || attempts == 1 {
			return status, response.Header.Get("Location")
		}
		time.Sleep(ordinaryInterval)
	}
	t.Fatalf("no job was accepted, last status %d", status)
	return 0, ""
}

// assertServerAnswers checks that a host answers a call for what is at a path, of a client that returns after a failure.
func assertServerAnswers(t *testing.T, address, path string) {
	t.Helper()
	status := 0
	for range ordinaryAttempts {
		if status = read(address, path); status == http.StatusOK {
			return
		}
		time.Sleep(ordinaryInterval)
	}
	t.Errorf("an ordinary call was not answered, last status %d", status)
}
