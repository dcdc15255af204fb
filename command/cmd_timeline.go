package main

import (
	"fmt"
	"io"
	"net/url"

	"ebonyshunt.org/library/recorder"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

var cmdTimeline = &command{
	use:   "timeline",
	short: "Show events of all hosts in causal order",
	example: "ebonyshunt timeline --request r-entry-1-7d1f...\n" +
		"ebonyshunt timeline --section 'key survey.field' --json",
	args: cobra.NoArgs,
	flags: func(flags *pflag.FlagSet) {
		for _, name := range timelineFilters {
			flags.String(name, "", "show only events of this "+name)
		}
		flags.Int("last", defaultMaxEvents, "maximum number of events; the latest ones are shown")
	},
	run: showTimeline,
}

const defaultMaxEvents = 200

var timelineFilters = []string{"request", "task", "worker", "team", "section", "kind"}

func showTimeline(invocation *invocation) error {
	query := url.Values{}
	for _, name := range timelineFilters {
		if value, _ := invocation.flags.GetString(name); value != "" {
			query.Set(name, value)
		}
	}
	var events []recorder.Event
	if err := invocation.get("/v1/timeline?"+query.Encode(), &events); err != nil {
		return err
	}
	last, _ := invocation.flags.GetInt("last")
	events = events[max(0, len(events)-last):]
	return invocation.printValue(events, func(w io.Writer) {
		fmt.Fprintln(w, "TIME\tHOST\tEVENT\tREQUEST\tTASK\tWORKER\tTEAM\tSECTION\tDETAIL")
		for _, event := range events {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", event.Stamp.Time().Format("15:04:05.000000"), event.Host, event.Kind,
				event.Request, event.Task, event.Worker, event.Team, event.Section, event.Detail)
		}
	})
}
