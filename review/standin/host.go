package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is an entry host: a process of the project with the command of the deploy file.
type host struct {
	name, zone                        string
	http, readiness, control, metrics string // addresses
	settings, logPath                 string
	process                           *exec.Cmd
	logFile                           *os.File
	storeServer                       *http.Server
	storeAddress                      string
}

// firstPort and portCount are the range of the rig's ports, below those that the system gives to outgoing connections.
const (
	firstPort = 20_000
	portCount = 10_000
)

// newNetwork returns the first three bytes of the rig's loopback addresses, and its port. Rigs that run side by side get others.
func newNetwork() (network string, port int) {
	return fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250)), firstPort + rand.IntN(portCount)
}

// address returns a loopback address of the rig: the last byte tells the machine, the service is added to the port.
func (rig *rig) address(machine, service int) string {
	return fmt.Sprintf("%s.%d:%d", rig.network, machine, rig.port+service)
}

// startHosts starts hosts in three zones, each with a listener of the store of its own.
func (rig *rig) startHosts(count int) error {
	zones := []string{"perth-a", "stirling-b", "dundee-c"}
	for number := range count {
		added := &host{name: fmt.Sprintf("frontend-%d", number+1), zone: zones[number%len(zones)]}
		for service, address := range []*string{&added.http, &added.readiness, &added.control, &added.metrics, &added.storeAddress} {
			*address = rig.address(number+1, service)
		}
		listener, err := net.Listen("tcp", added.storeAddress)
		if err != nil {
			return err
		}
		added.storeServer = &http.Server{Handler: rig.store.handler(added.name), ReadHeaderTimeout: time.Minute}
		go func() { _ = added.storeServer.Serve(listener) }()
		rig.hosts = append(rig.hosts, added)
	}
	var seeds []string
	for _, host := range rig.hosts {
		seeds = append(seeds, host.control)
	}
	for _, host := range rig.hosts {
		if err := rig.writeSettings(host, strings.Join(seeds, ",")); err != nil {
			return err
		}
		if err := rig.start(host); err != nil {
			return err
		}
	}
	return nil
}

// writeSettings fills in the template of the deploy file, as the platform does.
func (rig *rig) writeSettings(host *host, seeds string) error {
	template, err := os.ReadFile("deploy/ebonyshuntd.ini")
	if err != nil {
		return err
	}
	ip, port, _ := strings.Cut(host.metrics, ":")
	text := strings.NewReplacer(
		"{{nodeName}}", host.name, "{{zone}}", host.zone, "{{region}}", "scot-central",
		"{{listen.frontend}}", host.http, "{{listen.readiness}}", host.readiness, "{{listen.control}}", host.control,
		"{{seeds}}", seeds, "{{ip}}", ip, "{{portRange.1}}", port,
		"{{limits.cpuShare}}", "0.4", "{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100",
		"{{platform.address}}", host.storeAddress, "{{advice}}", "127.0.0.1:9",
		"{{bounds.holdMaxMs}}", fmt.Sprint(holdMax.Milliseconds()), "{{bounds.stopMs}}", fmt.Sprint(stopBound.Milliseconds()),
		"{{bounds.status_s}}", "120", "{{bounds.spreadFactor}}", "1.5", "{{bounds.graceS}}", "6",
	).Replace(string(template))
	if at := strings.Index(text, "{{"); at >= 0 {
		return fmt.Errorf("the template has a placeholder that is not known: %.30s", text[at:])
	}
	host.settings = filepath.Join(rig.folder, host.name+".ini")
	host.logPath = filepath.Join(rig.folder, host.name+".log")
	return os.WriteFile(host.settings, []byte(text), 0o600)
}

// start starts the process of a host: target/ebonyshuntd schedule, the command of the deploy file.
func (rig *rig) start(host *host) error {
	log, err := os.OpenFile(host.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command("target/ebonyshuntd", "schedule")
	command.Env = append(os.Environ(), "EBONYSHUNT_SETTINGS="+host.settings)
	command.Stdout, command.Stderr = log, log
	host.process, host.logFile = command, log
	return command.Start()
}

// kill ends the process of a host with SIGKILL.
func (host *host) kill() {
	if host.process == nil || host.process.ProcessState != nil {
		return
	}
	_ = host.process.Process.Signal(syscall.SIGKILL)
	_ = host.process.Wait()
	_ = host.logFile.Close()
}

// downTime is how long the process of a killed host is away.
const downTime = 3 * time.Second

// killAndRestart ends the process of a host that decides with SIGKILL, and starts it again after downTime.
func (rig *rig) killAndRestart(host *host) error {
	rig.say("trouble: %s, which decides, is killed", host.name)
	host.kill()
	time.Sleep(downTime)
	rig.say("%s starts again", host.name)
	return rig.start(host)
}

// leader returns the host that last made a conditional append to the store, which is how hosts are elected.
func (rig *rig) leader() *host {
	name := rig.store.lastConditional()
	for _, host := range rig.hosts {
		if host.name == name {
			return host
		}
	}
	return nil
}
