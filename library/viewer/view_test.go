package viewer

import (
	"testing"

	"ebonyshunt.org/library/parser"
	"ebonyshunt.org/library/sizer"
)

// TestLimitBelowAService checks that a team's limit is compared with all services of its queues, also with those of a
// queue that names none and so accepts all.
func TestLimitBelowAService(t *testing.T) {
	for name, services := range map[string][]string{"named": {"scan"}, "all": nil} {
		t.Run(name, func(t *testing.T) {
			view := &View{
				Services: map[string]parser.Service{"scan": {Name: "scan", Size: sizer.Size{MilliCores: 8000}}},
				Queues:   map[string]parser.Queue{"live": {Name: "live", Team: "survey", Services: services}},
			}
			fields := parser.NewFields("f.ini", parser.Section{Name: "team survey", Line: 1, Text: "limit = cores:4\n"})
			view.checkLimit(fields, parser.Team{Name: "survey", Limit: sizer.Size{MilliCores: 4000}})
			if len(fields.Mistakes) != 1 {
				t.Errorf("mistakes %v, want one: the limit holds no task of service scan", fields.Mistakes)
			}
		})
	}
}
