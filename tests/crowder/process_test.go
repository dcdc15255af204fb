package crowder

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// process is one of the system's processes.
type process struct {
	command *exec.Cmd
	logPath string
	ended   chan struct{} // closed when the process has ended
	err     error         // how it ended, set before ended is closed
}

// startProcess starts a program that may open at most so many files, with its output in a file. The test ends it.
func startProcess(t *testing.T, logPath string, files int, program string, arguments ...string) *process {
	t.Helper()
	output, err := os.Create(logPath)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	limited := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, files), program}, arguments...)
	process := &process{command: exec.Command("sh", limited...), logPath: logPath, ended: make(chan struct{})}
	process.command.Stdout, process.command.Stderr = output, output
	process.command.Env = append(os.Environ(), "GOMAXPROCS=2")
	process.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the test
	started := make(chan error)
	go process.run(started)
	if err := <-started; err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = process.command.Process.Kill()
		<-process.ended
	})
	return process
}

// run runs the process until it has ended.
func (process *process) run(started chan<- error) {
	runtime.LockOSThread() // Pdeathsig takes effect at the end of the thread that started the process
	defer runtime.UnlockOSThread()
	err := process.command.Start()
	started <- err
	if err == nil {
		process.err = process.command.Wait()
	}
	close(process.ended)
}

// hasEnded reports whether the process has ended.
func (process *process) hasEnded() bool {
	select {
	case <-process.ended:
		return true
	default:
		return false
	}
}

// wasKilled reports whether a signal ended the process.
func (process *process) wasKilled() bool {
	var exit *exec.ExitError
	return errors.As(process.err, &exit) && !exit.Exited()
}

// logged reports whether the process has written a text.
func (process *process) logged(t *testing.T, text string) bool {
	t.Helper()
	data, err := os.ReadFile(process.logPath)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(data), text)
}

func (process *process) file(name string) string {
	return filepath.Join("/proc", strconv.Itoa(process.command.Process.Pid), name)
}

// descriptors returns the number of open descriptors, 0 if the process has ended.
func (process *process) descriptors() int {
	entries, err := os.ReadDir(process.file("fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}

// peakMemory returns the peak of the resident memory in bytes, 0 if the process has ended.
func (process *process) peakMemory() int64 {
	status, err := os.ReadFile(process.file("status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "VmHWM:" {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// side is the side of a connection in /proc/net/tcp that has an address.
type side int

const (
	localSide  side = 1
	remoteSide side = 2
)

// keptBytes returns the number of bytes that the kernel keeps for connections with an address on one side: those that the process on the
// local side has not read, or has written and the other side has not received.
func keptBytes(t *testing.T, address string, side side) int64 {
	t.Helper()
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	wanted, total := kernelAddress(t, address), int64(0)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || fields[side] != wanted || fields[3] == listenState {
			continue
		}
		unsent, unread, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{unsent, unread} {
			count, _ := strconv.ParseInt(queue, 16, 64)
			total += count
		}
	}
	return total
}

// listenState is the state of a listening socket in /proc/net/tcp. Its queue holds connections, not bytes.
const listenState = "0A"

// kernelAddress returns an IPv4 address and port as /proc/net/tcp spells them.
func kernelAddress(t *testing.T, address string) string {
	t.Helper()
	var ip [4]int
	var port int
	if _, err := fmt.Sscanf(address, "%d.%d.%d.%d:%d", &ip[0], &ip[1], &ip[2], &ip[3], &port); err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], port)
}

// usage is the most that a process was seen to take.
type usage struct {
	memory      int64 // bytes, resident and kept by the kernel
	kept        int64 // bytes, of them, by the kernel
	descriptors int
}

const sampleInterval = 50 * time.Millisecond

// watch samples a process and the addresses that it listens on until stop is closed.
func watch(t *testing.T, process *process, addresses []string, stop <-chan struct{}) <-chan usage {
	return watchCalls(t, process, addresses, nil, stop)
}

// watchCalls samples as watch does, and the addresses that only this process calls, too.
func watchCalls(t *testing.T, process *process, addresses, called []string, stop <-chan struct{}) <-chan usage {
	result := make(chan usage, 1)
	go func() {
		var most usage
		for {
			kept := int64(0)
			for _, address := range addresses {
				kept += keptBytes(t, address, localSide)
			}
			for _, address := range called {
				kept += keptBytes(t, address, remoteSide)
			}
			most.memory = max(most.memory, process.peakMemory()+kept)
			most.kept = max(most.kept, kept)
			most.descriptors = max(most.descriptors, process.descriptors())
			select {
			case <-stop:
				result <- most
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return result
}
