package tests

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ebonyshunt.org/platform/translator"
	"ebonyshunt.org/standin/connector"
	"ebonyshunt.org/standin/emulator"
)

// TestStoreReads guards against reads of a large record that are cut off and begun anew without end on a slow link.
func TestStoreReads(t *testing.T) {
	const recordBytes, bandwidth = 300_000, 50_000 // bytes, and bytes per second: some 8 s with the encoding
	limits := translator.ReadLimits{First: 2 * time.Second, Stall: time.Second, Total: 30 * time.Second}
	read := func(t *testing.T, during func(fabric *connector.Fabric)) ([]translator.Entry, time.Duration, error) {
		t.Helper()
		fabric, store := connector.New(fleetNetworkLatency), emulator.NewStore()
		store.Put(emulator.OperatorTopic, emulator.ConfigurationKey, bytes.Repeat([]byte("x"), recordBytes))
		listener, err := fabric.Host("store").Listen(fleetStoreAddress)
		if err != nil {
			t.Fatal(err)
		}
		server := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)}
		go func() { _ = server.Serve(listener) }()
		fabric.SetBandwidth("reader", bandwidth)
		go during(fabric)
		client, began := fabric.Host("reader").Client(), time.Now()
		entries, _, err := translator.NewStore(client, fleetStoreAddress).ReadNewest(t.Context(), translator.Operator, limits)
		took := time.Since(began)
		client.CloseIdleConnections()
		_ = server.Close()
		fabric.Kill("store")
		return entries, took, err
	}
	t.Run("answerThatArrivesSlowlyIsRead", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			entries, took, err := read(t, func(*connector.Fabric) {})
			if err != nil || len(entries) != 1 || len(entries[0].Value) != recordBytes {
				t.Errorf("%d entries after %v: %v", len(entries), took, err)
			}
			if took <= limits.First {
				t.Errorf("the read took %v only, so that the test shows nothing", took)
			}
		})
	})
	t.Run("answerThatStopsIsGivenUp", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			const stopsAfter = 3 * time.Second
			_, took, err := read(t, func(fabric *connector.Fabric) { time.Sleep(stopsAfter); fabric.Pause("store") })
			if bound := stopsAfter + 2*limits.Stall; err == nil || took > bound {
				t.Errorf("error %v after %v, want one after %v at most", err, took, bound)
			}
		})
	})
}

// TestStoreReadsOddKeys guards against a read that never ends, or that leaves out the keys after a whole page of keys that are not text.
func TestStoreReadsOddKeys(t *testing.T) {
	const timeout = 2 * time.Second
	for name, prefix := range map[string]string{"highBytes": "b\xff", "lowBytes": "b\x80", "onlyBytes": "\xff", "empty": ""} {
		t.Run(name, func(t *testing.T) {
			store := emulator.NewStore()
			for number := range 1100 {
				store.Put("keyed.servers", prefix+fmt.Sprint(number), []byte("odd"))
			}
			for _, key := range []string{"", "a", "c"} {
				store.Put("keyed.servers", key, []byte("x"))
			}
			server := httptest.NewServer(store.Handler())
			defer server.Close()
			ctx, cancel := context.WithTimeout(t.Context(), timeout)
			defer cancel()
			limits := translator.ReadLimits{First: timeout, Stall: timeout, Total: timeout}
			entries, _, err := translator.NewStore(server.Client(), strings.TrimPrefix(server.URL, "http://")).ReadNewest(ctx, translator.Workers, limits)
			found := map[string]bool{}
			for _, entry := range entries {
				found[entry.Key] = true
			}
			if err != nil || !found["a"] || !found["c"] {
				t.Errorf("%d entries, a %t, c %t, error %v, want both", len(entries), found["a"], found["c"], err)
			}
		})
	}
}
