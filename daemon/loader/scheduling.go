package loader

import (
	"fmt"
	"os"
	"time"

	"ebonyshunt.org/library/parser"
)

// Scheduling are the settings of a host that schedules on a platform's store.
type Scheduling struct {
	Host             string
	Zone             string
	Region           string
	HTTPAddress      string // towards callers
	ReadinessAddress string
	MetricsAddress   string
	PeerAddress      string   // towards the system's other processes
	Seeds            []string // peer addresses to ask while no others are known
	ProcessorShare   float64
	MemoryMB         int64
	MostFiles        int64 // descriptors that the process may have open
	StoreAddress     string
	PolicyAddress    string // empty where queues have no policy
	LongestLease     time.Duration
	StopTime         time.Duration
	StatusFor        time.Duration
	Spread           float64
	ShutdownGrace    time.Duration
	LogLevel         string
}

const (
	mostShare    = 1024
	mostMemory   = 1 << 30
	mostSpread   = 100
	longestBound = 24 * time.Hour

	defaultFiles   = 4096
	leastFiles     = 256
	mostFilesBound = 1 << 20
)

// LoadScheduling reads a settings file and returns every mistake in it as parser.Mistakes.
func LoadScheduling(path string) (Scheduling, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Scheduling{}, fmt.Errorf("read settings: %w", err)
	}
	settings, mistakes := ParseScheduling(path, string(data))
	return settings, mistakes.Err()
}

var schedulingSections = []string{"host", "store", "policy", "bounds"}

const requiredSchedulingSections = 2

// ParseScheduling checks the text of a settings file; name stands in its mistakes.
func ParseScheduling(name, text string) (Scheduling, parser.Mistakes) {
	var settings Scheduling
	settings.parseBounds(parser.NewFields(name, parser.Section{Name: "bounds"}))
	mistakes := parseSections(name, text, schedulingSections, requiredSchedulingSections, settings.parse)
	return settings, mistakes
}

func (scheduling *Scheduling) parse(name string, fields *parser.Fields) bool {
	switch name {
	case "host":
		scheduling.parseHost(fields)
	case "store":
		scheduling.StoreAddress = fields.Address("address", "")
	case "policy":
		scheduling.PolicyAddress = optionalAddress(fields, "address")
	case "bounds":
		scheduling.parseBounds(fields)
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
	scheduling.ProcessorShare = fields.Number("processorShare", 1, mostShare)
	scheduling.MemoryMB = fields.Integer("memoryMB", 256, 16, mostMemory)
	scheduling.MostFiles = fields.Integer("mostFiles", defaultFiles, leastFiles, mostFilesBound)
	scheduling.LogLevel = fields.Choice("logLevel", "info", "debug", "info", "warn", "error")
}

func (scheduling *Scheduling) parseBounds(fields *parser.Fields) {
	scheduling.LongestLease = fields.Duration("longestLease", 10*time.Second, time.Second, longestBound)
	scheduling.StopTime = fields.Duration("stopTime", time.Second, 0, longestBound)
	scheduling.StatusFor = fields.Duration("statusFor", 2*time.Minute, time.Second, longestBound)
	scheduling.Spread = fields.Number("spread", 1.5, mostSpread)
	scheduling.ShutdownGrace = fields.Duration("shutdownGrace", 5*time.Second, time.Second, longestBound)
}
