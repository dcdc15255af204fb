package loader

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// settingsText returns the settings of a scheduling host with further lines in [host] and [bounds].
func settingsText(host, bounds string) string {
	return fmt.Sprintf(`[host]
name = a
zone = z
httpAddress = 127.0.0.1:1
readinessAddress = 127.0.0.1:2
peerAddress = 127.0.0.1:3
mostFiles = 1000
%s
[store]
address = 127.0.0.1:4
[bounds]
%s
`, host, bounds)
}

// TestClientLimits checks the settings of the limits for clients.
func TestClientLimits(t *testing.T) {
	for _, test := range []struct {
		name         string
		host, bounds string
		conns        int64
		timeout      time.Duration
		mistake      string // part of it, empty for none
	}{
		{"defaults", "", "", 0, defaultBodyTimeout, ""},
		{"set", "mostConnections = 500", "bodyTimeout = 2s", 500, 2 * time.Second, ""},
		{"tooManyConnections", "mostConnections = 501", "", 0, 0, "[host] mostConnections: 501 of callers"},
		{"negativeConnections", "mostConnections = -1", "", 0, 0, "[host] mostConnections"},
		{"noTime", "", "bodyTimeout = 0s", 0, 0, "[bounds] bodyTimeout"},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings, mistakes := ParseScheduling("host.ini", settingsText(test.host, test.bounds))
			if test.mistake != "" {
				if err := mistakes.Err(); err == nil || !strings.Contains(err.Error(), test.mistake) {
					t.Errorf("mistakes %v, want %q", err, test.mistake)
				}
				return
			}
			if err := mistakes.Err(); err != nil || settings.MaxConnections != test.conns || settings.BodyTimeout != test.timeout {
				t.Errorf("%d connections, body timeout %v, mistakes %v; want %d, %v and none", settings.MaxConnections, settings.BodyTimeout, err, test.conns, test.timeout)
			}
		})
	}
}
