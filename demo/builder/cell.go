// Package builder sets up a whole cell in one process: the platform's stand-ins and a daemon on each
// entry host.
package builder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"ebonyshunt.org/daemon/dialer"
	"ebonyshunt.org/daemon/lister"
	"ebonyshunt.org/daemon/loader"
	"ebonyshunt.org/daemon/server"
	"ebonyshunt.org/library/sizer"
	"ebonyshunt.org/library/viewer"
	"ebonyshunt.org/standin/connector"
	"ebonyshunt.org/standin/listserver"
	"ebonyshunt.org/standin/logserver"
	"ebonyshunt.org/standin/workerserver"
)

// Zone is the plan of one availability zone.
type Zone struct {
	Name    string
	Hosts   int
	Workers []Group
}

// Group is a number of like workers, named prefix-zone-number.
type Group struct {
	Prefix   string
	Count    int
	Capacity sizer.Size
	Speed    float64
}

// Plan is what a cell consists of.
type Plan struct {
	Zones   []Zone
	RootKey string
	Fabric  *connector.Fabric // nil for loopback TCP
	Log     io.Writer         // of the daemons; nil for none
	Level   slog.Level
	ListLag time.Duration
}

// Host is one entry host of a cell.
type Host struct {
	Settings loader.Settings
	Server   *server.Server // nil while it is down
	network  dialer.Network
}

// Cell is a running cell.
type Cell struct {
	Log     *logserver.Server
	List    *listserver.Server
	Workers map[string]*workerserver.Worker
	Hosts   map[string]*Host
	Names   []string // of hosts, in order
	Root    string

	plan    Plan
	ports   *ports
	logger  *slog.Logger
	servers []*http.Server
	wait    sync.WaitGroup
}

// The names under which the platform's services appear on a fabric.
const (
	LogHost  = "platform-log"
	ListHost = "platform-list"
)

// Build starts the stand-ins and all daemons of a plan.
func Build(plan Plan) (*Cell, error) {
	cell := &Cell{
		Log:     logserver.New(),
		List:    listserver.New(),
		Workers: map[string]*workerserver.Worker{},
		Hosts:   map[string]*Host{},
		Root:    plan.RootKey,
		plan:    plan,
		ports:   &ports{open: map[string]net.Listener{}},
		logger:  slog.New(slog.DiscardHandler),
	}
	if plan.Log != nil {
		cell.logger = slog.New(slog.NewJSONHandler(plan.Log, &slog.HandlerOptions{Level: plan.Level}))
	}
	cell.List.Lag = plan.ListLag
	if err := cell.build(); err != nil {
		return nil, errors.Join(err, cell.Close())
	}
	return cell, nil
}

func (cell *Cell) build() error {
	logAddress, err := cell.serve(LogHost, cell.Log.Handler())
	if err != nil {
		return err
	}
	listAddress, err := cell.serve(ListHost, cell.List.Handler())
	if err != nil {
		return err
	}
	for _, zone := range cell.plan.Zones {
		if err := cell.addWorkers(zone); err != nil {
			return err
		}
		if err := cell.planHosts(zone, logAddress, listAddress); err != nil {
			return err
		}
	}
	for _, name := range cell.Names {
		if err := cell.StartHost(name); err != nil {
			return err
		}
	}
	return nil
}

func (cell *Cell) network(host string) dialer.Network {
	if cell.plan.Fabric != nil {
		return cell.plan.Fabric.Host(host)
	}
	network := dialer.TCP()
	network.Listen = cell.ports.listen
	return network
}

// address makes an address for a host.
func (cell *Cell) address() (string, error) {
	if cell.plan.Fabric != nil {
		return cell.ports.invent(), nil
	}
	return cell.ports.reserve()
}

func (cell *Cell) serve(host string, handler http.Handler) (string, error) {
	address, err := cell.address()
	if err != nil {
		return "", err
	}
	listener, err := cell.network(host).Listen(address)
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", host, err)
	}
	served := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	cell.servers = append(cell.servers, served)
	cell.wait.Go(func() { _ = served.Serve(listener) })
	return address, nil
}

func (cell *Cell) addWorkers(zone Zone) error {
	for _, group := range zone.Workers {
		for number := range group.Count {
			name := fmt.Sprintf("%s-%s-%02d", group.Prefix, zone.Name, number)
			worker := workerserver.New(name, group.Capacity)
			if group.Speed > 0 {
				worker.Speed = group.Speed
			}
			address, err := cell.serve(name, worker.Handler())
			if err != nil {
				return err
			}
			cell.Workers[name] = worker
			rack := fmt.Sprintf("%s-rack%d", zone.Name, number%racksPerZone)
			cell.List.Add(lister.Host{Name: name, Kind: lister.KindWorker, Address: address, Zone: zone.Name, Rack: rack, Capacity: group.Capacity})
		}
	}
	return nil
}

const racksPerZone = 2

func (cell *Cell) planHosts(zone Zone, logAddress, listAddress string) error {
	for number := range zone.Hosts {
		name := fmt.Sprintf("entry-%s-%d", zone.Name, number)
		httpAddress, err := cell.address()
		if err != nil {
			return err
		}
		peerAddress, err := cell.address()
		if err != nil {
			return err
		}
		cell.Names = append(cell.Names, name)
		cell.Hosts[name] = &Host{network: cell.network(name), Settings: loader.Settings{
			Host:          name,
			Zone:          zone.Name,
			HTTPAddress:   httpAddress,
			PeerAddress:   peerAddress,
			LogAddress:    logAddress,
			ListAddress:   listAddress,
			RootKeyDigest: viewer.Digest(cell.plan.RootKey),
		}}
		cell.List.Add(lister.Host{Name: name, Kind: lister.KindEntry, Address: peerAddress, Zone: zone.Name})
	}
	return nil
}

// StartHost starts the daemon of an entry host that is down.
func (cell *Cell) StartHost(name string) error {
	host := cell.Hosts[name]
	started, err := server.Start(host.Settings, host.network, cell.logger)
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	host.Server = started
	return nil
}

// KillHost ends the daemon of an entry host as a crash would.
func (cell *Cell) KillHost(name string) {
	host := cell.Hosts[name]
	if cell.plan.Fabric != nil {
		cell.plan.Fabric.Kill(name)
	}
	if host.Server != nil {
		host.Server.Close()
		host.Server = nil
	}
}

// Client returns an HTTP client as seen from a caller outside all hosts.
func (cell *Cell) Client() *http.Client { return cell.network("caller").Client() }

// Ready waits until a host takes requests.
func (cell *Cell) Ready(ctx context.Context, name string) error {
	client := cell.Client()
	defer client.CloseIdleConnections()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+cell.Hosts[name].Settings.HTTPAddress+"/readyz", nil)
		if err != nil {
			return fmt.Errorf("build readiness request: %w", err)
		}
		response, err := client.Do(request)
		if err == nil {
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		timer := time.NewTimer(readyPoll)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("host %s is not ready: %w", name, ctx.Err())
		}
	}
}

const readyPoll = 50 * time.Millisecond

// Close ends all daemons and stand-ins and waits for them.
func (cell *Cell) Close() error {
	for _, host := range cell.Hosts {
		if host.Server != nil {
			host.Server.Close()
			host.Server = nil
		}
	}
	for _, worker := range cell.Workers {
		worker.Close()
	}
	for _, server := range cell.servers {
		_ = server.Close()
	}
	cell.wait.Wait()
	return cell.ports.close()
}
