// Package lister is the client of the platform's list of hosts, which lags behind the actual hosts by some seconds.
package lister

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"

	"ebonyshunt.org/library/sizer"
	"github.com/zeebo/errs"
)

// Error is the class of all errors of this package.
var Error = errs.Class("lister")

// Kinds of hosts.
const (
	KindEntry  = "entry"
	KindWorker = "worker"
)

// Host is one host in the list.
type Host struct {
	Name     string     `json:"name"`
	Kind     string     `json:"kind"`
	Address  string     `json:"address"`
	Zone     string     `json:"zone"`
	Region   string     `json:"region"`
	Rack     string     `json:"rack"`
	Capacity sizer.Size `json:"capacity"`
	Leaving  bool       `json:"leaving"`
}

// UnmarshalJSON decodes a host and returns an error if the name or zone is missing, or the kind or address is invalid.
func (host *Host) UnmarshalJSON(data []byte) error {
	type plain Host
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode host: %w", err)
	}
	if decoded.Name == "" || decoded.Zone == "" {
		return Error.New("host without name or zone")
	}
	if decoded.Kind != KindEntry && decoded.Kind != KindWorker {
		return Error.New("host %s has unknown kind %q", decoded.Name, decoded.Kind)
	}
	if _, err := netip.ParseAddrPort(decoded.Address); err != nil {
		return fmt.Errorf("parse address of host %s: %w", decoded.Name, err)
	}
	*host = Host(decoded)
	return nil
}

// List contains all hosts that the platform considers alive.
type List struct {
	Hosts []Host `json:"hosts"`
}

// Client fetches the list. It caches the list with its ETag, so that an unchanged list is not transferred again.
type Client struct {
	http *http.Client
	url  string

	mu     sync.Mutex
	etag   string
	cached List
}

// New returns a client of the list service at an address.
func New(client *http.Client, address string) *Client {
	return &Client{http: client, url: "http://" + address + "/v1/hosts"}
}

// Fetch returns the platform's current list, which may be some seconds out of date.
func (client *Client) Fetch(ctx context.Context) (List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, client.url, nil)
	if err != nil {
		return List{}, fmt.Errorf("build list request: %w", err)
	}
	client.mu.Lock()
	etag, cached := client.etag, client.cached
	client.mu.Unlock()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return List{}, fmt.Errorf("fetch hosts: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return cached, nil
	}
	if response.StatusCode != http.StatusOK {
		return List{}, Error.New("fetch hosts: unexpected status %d", response.StatusCode)
	}
	var list List
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		return List{}, fmt.Errorf("decode hosts: %w", err)
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	client.etag, client.cached = response.Header.Get("ETag"), list
	return list, nil
}
