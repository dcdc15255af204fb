// Package builder runs a whole cell in one process: stand-ins for the platform's services and workers, and one daemon
// per entry host.
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

// Zone describes the hosts of one availability zone.
type Zone struct {
	Name    string
	Hosts   int // number of entry hosts
	Workers []Group
}

// Group describes Count equal workers. A worker is named prefix-zone-number, with a number of two digits from 00 on.
type Group struct {
	Prefix   string
	Count    int
	Capacity sizer.Size
	Speed    float64 // relative speed of the workers; 0 means 1
}

// Plan describes a cell.
type Plan struct {
	Zones   []Zone
	RootKey string            // API key of the root operator
	Fabric  *connector.Fabric // network of the cell; nil for TCP on loopback addresses
	Log     io.Writer         // receives the daemons' logs as JSON; nil discards them
	Level   slog.Level        // lowest level that is logged
	ListLag time.Duration     // age of the list of hosts that the daemons get
}

// Host is one entry host of a cell.
type Host struct {
	Settings loader.Settings
	Server   *server.Server // nil while the daemon is not running
	network  dialer.Network
}

// Cell is a running cell. Workers and Hosts are keyed by name.
type Cell struct {
	Log     *logserver.Server
	List    *listserver.Server
	Workers map[string]*workerserver.Worker
	Hosts   map[string]*Host
	Names   []string // of the entry hosts, ordered by zone and number
	RootKey string   // API key of the root operator

	plan    Plan
	ports   *ports
	logger  *slog.Logger
	servers []*http.Server
	wait    sync.WaitGroup
}

// Host names of the platform's services on a fabric.
const (
	LogHost  = "platform-log"
	ListHost = "platform-list"
)

// Build starts the stand-ins and all daemons of a plan. After an error, everything is closed again.
func Build(plan Plan) (*Cell, error) {
	cell := &Cell{
		Log:     logserver.New(),
		List:    listserver.New(),
		Workers: map[string]*workerserver.Worker{},
		Hosts:   map[string]*Host{},
		RootKey: plan.RootKey,
		plan:    plan,
		ports:   &ports{reserved: map[string]net.Listener{}},
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
		if err := cell.addHosts(zone, logAddress, listAddress); err != nil {
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

// newAddress returns an unused address of the fabric or, without a fabric, of the loopback interface.
func (cell *Cell) newAddress() (string, error) {
	if cell.plan.Fabric != nil {
		return cell.ports.nextFabricAddress(), nil
	}
	return cell.ports.reserveLoopback()
}

// serve starts an HTTP server for a stand-in on a new address and returns the address.
func (cell *Cell) serve(host string, handler http.Handler) (string, error) {
	address, err := cell.newAddress()
	if err != nil {
		return "", err
	}
	listener, err := cell.network(host).Listen(address)
	if err != nil {
		return "", fmt.Errorf("listen for %s: %w", host, err)
	}
	httpServer := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
	cell.servers = append(cell.servers, httpServer)
	cell.wait.Go(func() { _ = httpServer.Serve(listener) })
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

// addHosts adds the entry hosts of a zone to the cell and to the list of hosts. It does not start their daemons.
func (cell *Cell) addHosts(zone Zone, logAddress, listAddress string) error {
	for number := range zone.Hosts {
		name := fmt.Sprintf("entry-%s-%d", zone.Name, number)
		httpAddress, err := cell.newAddress()
		if err != nil {
			return err
		}
		peerAddress, err := cell.newAddress()
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

// StartHost starts the daemon of an entry host on which none is running.
func (cell *Cell) StartHost(name string) error {
	host := cell.Hosts[name]
	started, err := server.Start(host.Settings, host.network, cell.logger)
	if err != nil {
		return fmt.Errorf("start %s: %w", name, err)
	}
	host.Server = started
	return nil
}

// KillHost stops the daemon of an entry host. On a fabric, it resets the host's connections first, as a crash does.
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

// Client returns an HTTP client on a host of its own, which is not part of the cell.
func (cell *Cell) Client() *http.Client { return cell.network("caller").Client() }

// WaitReady waits until the daemon of a host reports ready. It returns an error if the context ends first.
func (cell *Cell) WaitReady(ctx context.Context, name string) error {
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
		timer := time.NewTimer(readyPollInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return fmt.Errorf("host %s is not ready: %w", name, ctx.Err())
		}
	}
}

const readyPollInterval = 50 * time.Millisecond

// Close stops all daemons and stand-ins and waits for them to end.
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
