package emulator

// The topics of the store that the emulated platform writes.
const (
	OperatorTopic = "keyed.op"      // configuration and requests to drain a zone, written by operators
	WorkersTopic  = "keyed.servers" // registrations of workers, written by the workers
)

// ConfigurationKey is the key of the configuration in OperatorTopic.
const ConfigurationKey = "config"

const (
	drainKeyPrefix = "evacuate/" // of a request to drain a zone, whose name follows
	drainRequest   = "{}"
)

// Configuration is the configuration that an operator stores.
type Configuration struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Tenants  []Tenant  `json:"tenants"`
	Limits   Limits    `json:"limits"`
}

// Route is a queue of jobs with the path to it.
type Route struct {
	Name            string  `json:"name"`
	PathPrefix      string  `json:"pathPrefix"`
	Service         string  `json:"service"`
	Priority        int     `json:"priority"`
	MaxAttempts     int     `json:"maxAttempts"`
	Stretch         float64 `json:"stretch"`
	TargetLatencyMS int64   `json:"targetLatencyMs"`
}

// Service is a pool of workers.
type Service struct {
	Name string `json:"name"`
}

// Tenant is a team with the keys of its calls.
type Tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	Weight  int      `json:"weight"`
	Cap     *Amount  `json:"cap,omitempty"` // nil for a team without a cap
}

// Limits bounds the calls of clients.
type Limits struct {
	MaxBodyBytes int64 `json:"maxBodyBytes"`
}

// PutConfiguration stores a configuration as an operator does, and returns its size in bytes. The document is a Configuration,
// or a map with the same fields and others.
func (store *Store) PutConfiguration(document any) int64 {
	data := encodeJSON(document)
	store.Put(OperatorTopic, ConfigurationKey, data)
	return int64(len(data))
}

// RequestDrain stores the request to drain an availability zone.
func (store *Store) RequestDrain(zone string) {
	store.Put(OperatorTopic, drainKeyPrefix+zone, []byte(drainRequest))
}

// WithdrawDrain deletes the request to drain an availability zone.
func (store *Store) WithdrawDrain(zone string) {
	store.Put(OperatorTopic, drainKeyPrefix+zone, nil)
}

// Register stores the registration of a worker, as the worker does at intervals.
func (store *Store) Register(worker *Worker, address string, draining bool) {
	state := "ready"
	if draining {
		state = "draining"
	}
	store.Put(WorkersTopic, worker.ID, worker.Entry(address, state))
}
