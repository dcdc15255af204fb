package soaker

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// host is a scheduling host that runs as a process of its own, and is started again after each end.
type host struct {
	number   int // its source in the addresses
	program  string
	settings string // path
	logPath  string
	report   func(format string, args ...any)

	mu          sync.Mutex
	process     *os.Process
	ended       chan struct{} // closed when the process has ended
	signaled    bool          // SIGTERM or SIGKILL was sent to the process
	incarnation int
}

const (
	shutdownGrace = 6 * time.Second
	graceSlack    = time.Second
)

// newHost writes the settings of a host to a folder.
func newHost(number int, plan Plan, port int, program, folder string, report func(string, ...any)) (*host, error) {
	host := &host{
		number: number, program: program, report: report,
		settings: filepath.Join(folder, fmt.Sprintf("host-%d.ini", number)),
		logPath:  filepath.Join(folder, fmt.Sprintf("host-%d.log", number)),
	}
	var seeds []string
	for peer := 1; peer <= plan.Hosts; peer++ {
		seeds = append(seeds, endpoint{peerGroup, peer}.address(number, port))
	}
	lines := []string{
		"[host]",
		fmt.Sprintf("name = h-%d", number),
		fmt.Sprintf("zone = %c", 'a'+number%3),
		"httpAddress = " + endpoint{httpGroup, number}.address(listening, port),
		"readinessAddress = " + endpoint{readinessGroup, number}.address(listening, port),
		"peerAddress = " + endpoint{peerGroup, number}.address(listening, port),
		"seeds = " + strings.Join(seeds, ", "),
		"logLevel = debug",
		"[store]",
		"address = " + endpoint{storeGroup, number}.address(number, port),
		"[bounds]",
		"longestLease = " + maxLease.String(),
		"stopTime = " + stopTime.String(),
		fmt.Sprintf("delegateFrom = %d", plan.DelegateFrom),
		"shutdownGrace = " + shutdownGrace.String(),
	}
	if err := os.WriteFile(host.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	return host, nil
}

// start starts the process unless it runs.
func (host *host) start() error {
	host.mu.Lock()
	defer host.mu.Unlock()
	if host.process != nil && !isClosed(host.ended) {
		return nil
	}
	output, err := os.OpenFile(host.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	defer output.Close()
	command := exec.Command(host.program, "schedule", "--settings", host.settings)
	command.Stdout, command.Stderr = output, output
	command.Env = append(os.Environ(), "GOMAXPROCS="+strconv.Itoa(2))
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the soak
	started, ended := make(chan error), make(chan struct{})
	go host.run(command, started, ended)
	if err := <-started; err != nil {
		return fmt.Errorf("start host %d: %w", host.number, err)
	}
	host.process, host.ended, host.signaled = command.Process, ended, false
	host.incarnation++
	return nil
}

// run runs the process until it has ended, and reports an end that nobody asked for.
func (host *host) run(command *exec.Cmd, started chan<- error, ended chan<- struct{}) {
	runtime.LockOSThread() // Pdeathsig takes effect at the end of the thread that started the process
	defer runtime.UnlockOSThread()
	err := command.Start()
	started <- err
	if err != nil {
		return
	}
	err = command.Wait()
	host.mu.Lock()
	defer host.mu.Unlock()
	var exit *exec.ExitError
	isKilled := errors.As(err, &exit) && !exit.Exited()
	if !host.signaled {
		host.report("OWN END: host %d ended by itself: %v", host.number, err)
	} else if err != nil && !isKilled {
		host.report("OWN END: host %d ended with an error after a signal: %v", host.number, err)
	}
	close(ended)
}

// signal sends a signal to the process if it runs, and returns the channel that is closed at the end of the process.
func (host *host) signal(signal syscall.Signal) <-chan struct{} {
	host.mu.Lock()
	defer host.mu.Unlock()
	if !isClosed(host.ended) {
		host.signaled = host.signaled || signal == syscall.SIGTERM || signal == syscall.SIGKILL
		_ = host.process.Signal(signal)
	}
	return host.ended
}

// stop asks the process to shut down, kills it when it takes too long, and reports whether it ended in time.
func (host *host) stop() bool {
	ended := host.signal(syscall.SIGTERM)
	select {
	case <-ended:
		return true
	case <-time.After(shutdownGrace + graceSlack):
		<-host.signal(syscall.SIGKILL)
		return false
	}
}

// currentIncarnation returns the number of starts.
func (host *host) currentIncarnation() int {
	host.mu.Lock()
	defer host.mu.Unlock()
	return host.incarnation
}

// Close kills the process and waits for its end.
func (host *host) Close() {
	if host.currentIncarnation() > 0 {
		<-host.signal(syscall.SIGKILL)
	}
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}
