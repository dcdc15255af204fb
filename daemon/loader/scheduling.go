package loader

import (
	"fmt"
	"os"
	"time"

	"ebonyshunt.org/library/parser"
)

// Scheduling holds the settings of a scheduling host, which keeps its durable state in the platform's store.
type Scheduling struct {
	Host              string
	Zone              string
	Region            string
	HTTPAddress       string // listening address for callers
	ReadinessAddress  string
	MetricsAddress    string   // empty if metrics are not served
	PeerAddress       string   // listening address for the system's other processes
	Seeds             []string // peer addresses to contact while no other hosts are known
	ProcessorShare    float64  // processor capacity, compared with that of other hosts in elections
	MemoryMB          int64    // memory for the process, in MiB
	MaxOpenFiles      int64    // maximum number of open file descriptors
	MaxConnections    int64    // maximum number of connections of callers, 0 for a part of MaxOpenFiles and MemoryMB
	StoreAddress      string
	MaxRecordBytes    int64         // maximum size of a record that the store takes, with its key
	PolicyAddress     string        // empty if queues have no policy
	MaxLease          time.Duration // maximum lease that a worker accepts
	MaxStopTime       time.Duration // maximum duration of stopping a task
	StatusRetention   time.Duration // retention of the state of an ended job
	CrossRackFactor   float64       // run time away from the data's rack or across racks, as a multiple of that within the rack
	ShutdownGrace     time.Duration // maximum duration of a graceful shutdown
	BodyTimeout       time.Duration // maximum duration of receiving the body of a call
	DelegateFrom      int64         // number of workers from which on the decider reaches them through other hosts
	LogLevel          string
	LearnRunTimes     bool // whether run times are learned from finished runs, rather than one average per queue
	PoolShares        bool // whether teams have shares of each service, rather than of the fleet
	ForecastAdmission bool // whether jobs that cannot complete in time are refused
	MoveStragglers    bool // whether urgent runs that are late are started again on other workers
}

const (
	// MaxProcessorShare is the maximum of ProcessorShare.
	MaxProcessorShare  = 1024
	minMemoryMB        = 16
	maxMemoryMB        = 1 << 30
	maxCrossRackFactor = 100
	maxDuration        = 24 * time.Hour

	defaultDelegateFrom = 200
	maxWorkers          = 1 << 20

	defaultBodyTimeout = 30 * time.Second

	defaultRecordBytes = 256 << 10
	minRecordBytes     = 4 << 10
	maxRecordBytes     = 1 << 30

	// connectionsPerFile is the inverse of the largest part of the descriptors that connections of callers may take.
	connectionsPerFile = 2
	defaultFileLimit   = 4096
	minFileLimit       = 256
	// MaxFileLimit is the largest limit on descriptors that is taken into account.
	MaxFileLimit = 1 << 20
)

// LoadScheduling reads the settings file of a scheduling host. Mistakes in the file are returned together,
// as parser.Mistakes.
func LoadScheduling(path string) (Scheduling, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scheduling{}, fmt.Errorf("read settings: %w", err)
	}
	settings, mistakes := ParseScheduling(path, string(data))
	return settings, mistakes.Err()
}

var schedulingSections = []string{"host", "store", "policy", "bounds", "scheduling"}

const requiredSchedulingSectionCount = 2

// ParseScheduling decodes and checks the text of a settings file. The mistakes carry name as the file's name.
func ParseScheduling(name, text string) (Scheduling, parser.Mistakes) {
	var settings Scheduling
	// Set the defaults for a file without the section [bounds].
	settings.parseBounds(parser.NewFields(name, parser.Section{Name: "bounds"}))
	mistakes := parseSections(name, text, schedulingSections, requiredSchedulingSectionCount, settings.parse)
	return settings, mistakes
}

func (scheduling *Scheduling) parse(name string, fields *parser.Fields) bool {
	switch name {
	case "host":
		scheduling.parseHost(fields)
	case "store":
		scheduling.StoreAddress = fields.Address("address", "")
		scheduling.MaxRecordBytes = fields.Integer("mostRecordBytes", defaultRecordBytes, minRecordBytes, maxRecordBytes)
	case "policy":
		scheduling.PolicyAddress = optionalAddress(fields, "address")
	case "bounds":
		scheduling.parseBounds(fields)
	case "scheduling":
		scheduling.parseFeatures(fields)
	default:
		return false
	}
	return true
}

func optionalAddress(fields *parser.Fields, key string) string {
	if fields.Text(key, "") == "" {
		return ""
	}
	return fields.Address(key, "")
}

func (scheduling *Scheduling) parseHost(fields *parser.Fields) {
	scheduling.Host = fields.Required("name", "the name of this host")
	scheduling.Zone = fields.Required("zone", "the availability zone of this host")
	scheduling.Region = fields.Text("region", "")
	scheduling.HTTPAddress = fields.Address("httpAddress", "")
	scheduling.ReadinessAddress = fields.Address("readinessAddress", "")
	scheduling.MetricsAddress = optionalAddress(fields, "metricsAddress")
	scheduling.PeerAddress = fields.Address("peerAddress", "")
	scheduling.Seeds = fields.Addresses("seeds")
	scheduling.ProcessorShare = fields.Number("processorShare", 1, MaxProcessorShare)
	scheduling.MemoryMB = fields.Integer("memoryMB", 256, minMemoryMB, maxMemoryMB)
	scheduling.MaxOpenFiles = fields.Integer("mostFiles", defaultFileLimit, minFileLimit, MaxFileLimit)
	scheduling.MaxConnections = fields.Integer("mostConnections", 0, 0, MaxFileLimit)
	if limit := scheduling.MaxOpenFiles / connectionsPerFile; scheduling.MaxConnections > limit {
		fields.Add("mostConnections", "%d of callers leave too few of mostFiles for the host's own calls: use at most %d, or raise mostFiles", scheduling.MaxConnections, limit)
	}
	scheduling.LogLevel = fields.Choice("logLevel", "info", "debug", "info", "warn", "error")
}

func (scheduling *Scheduling) parseBounds(fields *parser.Fields) {
	scheduling.MaxLease = fields.Duration("longestLease", 10*time.Second, time.Second, maxDuration)
	scheduling.MaxStopTime = fields.Duration("stopTime", time.Second, 0, maxDuration)
	scheduling.StatusRetention = fields.Duration("statusFor", 2*time.Minute, time.Second, maxDuration)
	scheduling.CrossRackFactor = fields.Number("spread", 1.5, maxCrossRackFactor)
	scheduling.DelegateFrom = fields.Integer("delegateFrom", defaultDelegateFrom, 1, maxWorkers)
	scheduling.BodyTimeout = fields.Duration("bodyTimeout", defaultBodyTimeout, time.Second, maxDuration)
	scheduling.ShutdownGrace = fields.Duration("shutdownGrace", 5*time.Second, time.Second, maxDuration)
}

// parseFeatures parses the section [scheduling]. Without it, every feature is off.
func (scheduling *Scheduling) parseFeatures(fields *parser.Fields) {
	scheduling.LearnRunTimes = fields.Choice("runTimes", "ratio", "ratio", "learned") == "learned"
	scheduling.PoolShares = fields.Choice("shares", "fleet", "fleet", "pool") == "pool"
	scheduling.ForecastAdmission = fields.Choice("admission", "open", "open", "forecast") == "forecast"
	scheduling.MoveStragglers = fields.Choice("stragglers", "copy", "copy", "move") == "move"
}
