package soaker

import (
	"syscall"
	"time"

	"ebonyshunt.org/platform/translator"
	"ebonyshunt.org/standin/emulator"
)

// inject carries out an event of the plan: it begins the fault, waits, and ends it.
func (soak *soak) inject(event Event) {
	injection := soak.timeline.begin(event.Fault)
	defer soak.timeline.end(injection)
	switch fault := event.Fault.(type) {
	case LinkFault:
		links := soak.links.choose(fault.selects)
		for _, link := range links {
			link.setMode(fault.Mode, fault.Delay)
		}
		time.Sleep(event.For)
		for _, link := range links {
			link.setMode(Open, 0)
		}
	case SignalFault:
		soak.injectSignal(fault, event.For)
	case StoreFault:
		soak.platform.store.SetFaults(fault.Faults)
		time.Sleep(event.For)
		soak.platform.store.SetFaults(emulator.StoreFaults{})
		time.Sleep(fault.Faults.LateBy)
	case WorkerFault:
		worker := soak.platform.workers[fault.Worker-1]
		worker.SetFaults(fault.Faults)
		time.Sleep(event.For)
		worker.SetFaults(emulator.WorkerFaults{})
		if fault.Crashes {
			worker.Restart()
		}
		time.Sleep(fault.Faults.LateBy)
	case Draining:
		soak.platform.drain(fault.Worker, 1)
		time.Sleep(event.For)
		soak.platform.drain(fault.Worker, -1)
	case ZoneDrain:
		soak.platform.drainZone(fault.Zone, 1)
		time.Sleep(event.For)
		soak.platform.drainZone(fault.Zone, -1)
	case Compaction:
		for _, topic := range []string{emulator.OperatorTopic, emulator.WorkersTopic, string(translator.Fleet)} {
			soak.platform.store.Compact(topic)
		}
	case Reconfiguration:
		soak.platform.publish()
	}
}

func (soak *soak) injectSignal(fault SignalFault, lasting time.Duration) {
	host := soak.hosts[fault.Host-1]
	switch fault.Signal {
	case Stop:
		began := time.Now()
		if !host.stop() && soak.timeline.isFaultFree(began.Add(-reconnectTime), time.Now(), isUnplanned) {
			soak.report("STOP: host %d was still there %v after SIGTERM", fault.Host, shutdownGrace+graceSlack)
		}
		time.Sleep(lasting)
	case Kill:
		<-host.signal(syscall.SIGKILL)
		time.Sleep(lasting)
	case Pause:
		host.signal(syscall.SIGSTOP)
		time.Sleep(lasting)
		host.signal(syscall.SIGCONT)
		return
	}
	if err := host.start(); err != nil {
		soak.report("START: %v", err)
	}
}

// selects reports whether the fault concerns a link.
func (linkFault LinkFault) selects(key linkKey) bool {
	isOwn := key.source == linkFault.Host
	toHost := key.target.number == linkFault.Host
	selected := map[LinkTarget]bool{
		ToStore:     isOwn && key.target.group == storeGroup,
		ToPeers:     key.target.group == peerGroup && isOwn != toHost,
		ToWorkers:   isOwn && key.target.group == workerGroup,
		ToHalf:      isOwn && key.target.group == workerGroup && key.target.number%2 == 0,
		FromClients: key.target.group == httpGroup && toHost,
		WorkerLinks: key.target.group == workerGroup && toHost,
	}
	if linkFault.Target == Everything {
		return selected[ToStore] || selected[ToPeers] || selected[ToWorkers] || selected[FromClients]
	}
	return selected[linkFault.Target]
}
