package replayer

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"ebonyshunt.org/library/limiter"
	"pgregory.net/rapid"
)

func newRecord(id, section string, base int64) Record {
	return Record{Format: Format, ID: id, Section: section, Base: base, Text: id}
}

func assertText(t *testing.T, register *Register, section, want string) {
	t.Helper()
	if version, _ := register.Get(section); version.Text != want {
		t.Errorf("section %s is %q, want %q", section, version.Text, want)
	}
}

func mustApply(t *testing.T, register *Register, offset int64, record Record) bool {
	t.Helper()
	applied, err := register.Apply(offset, record)
	if err != nil {
		t.Fatal(err)
	}
	return applied
}

func TestRegister(t *testing.T) {
	t.Run("firstOfTwoConcurrentEditsWins", func(t *testing.T) {
		var register Register
		mustApply(t, &register, 1, newRecord("first", "s", 0))
		if !mustApply(t, &register, 2, newRecord("x", "s", 1)) || mustApply(t, &register, 3, newRecord("y", "s", 1)) {
			t.Error("of two records with the same base, want only the first to take effect")
		}
		assertText(t, &register, "s", "x")
	})
	t.Run("resentAppendCountsOnce", func(t *testing.T) {
		var register Register
		mustApply(t, &register, 1, newRecord("first", "s", 0))
		mustApply(t, &register, 2, newRecord("x", "s", 1))
		mustApply(t, &register, 3, newRecord("z", "s", 2))
		mustApply(t, &register, 4, newRecord("x", "s", 1))
		assertText(t, &register, "s", "z")
	})
	t.Run("olderPeerNeverReverts", func(t *testing.T) {
		var register Register
		mustApply(t, &register, 1, newRecord("first", "s", 0))
		old := register.Since(0)
		mustApply(t, &register, 2, newRecord("x", "s", 1))
		if register.Merge(old) {
			t.Error("Merge took over a state of a lower offset")
		}
		assertText(t, &register, "s", "x")
	})
	t.Run("gapIsRefused", func(t *testing.T) {
		var register Register
		if _, err := register.Apply(2, newRecord("x", "s", 0)); err == nil {
			t.Error("Apply accepted a record after a gap in the log")
		}
	})
	t.Run("checkpointBridgesGap", func(t *testing.T) {
		var writer, reader Register
		mustApply(t, &writer, 1, newRecord("first", "s", 0))
		mustApply(t, &writer, 2, newRecord("x", "s", 1))
		checkpoint := writer.Checkpoint("c", "h")
		mustApply(t, &reader, 4, checkpoint)
		if reader.AsOf() != 2 {
			t.Errorf("the reader is at %d, want 2", reader.AsOf())
		}
		mustApply(t, &reader, 3, newRecord("late", "s", 2))
		assertText(t, &reader, "s", "late")
	})
	t.Run("republishedSnapshotDoesNotUndoEdit", func(t *testing.T) {
		var register Register
		mustApply(t, &register, 1, newRecord("first", "s", 0))
		checkpoint := register.Checkpoint("c", "h")
		mustApply(t, &register, 2, newRecord("edit", "s", 1))
		mustApply(t, &register, 3, checkpoint)
		assertText(t, &register, "s", "edit")
	})
}

// TestRegisterProperty has three readers replay one log in random order: record by record, from checkpoints and from
// each other. It guards against readers that hold different sections at the same offset, and against a reader that
// goes back to a lower offset.
func TestRegisterProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var writer Register
		var log []Record
		states := map[int64]State{}
		for number := range rapid.IntRange(1, 40).Draw(t, "records") {
			offset := int64(number + 1)
			section := fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(t, "section"))
			current, _ := writer.Get(section)
			next := newRecord(fmt.Sprintf("r%d", number), section, current.Offset-rapid.Int64Range(0, 1).Draw(t, "stale"))
			if len(log) > 0 && rapid.IntRange(0, 4).Draw(t, "checkpoint") == 0 {
				next = writer.Checkpoint(fmt.Sprintf("c%d", number), "h")
			}
			if next.State == nil && next.Section == "" {
				next.Section = section
			}
			log = append(log, next)
			if _, err := writer.Apply(offset, next); err != nil {
				t.Fatal(err)
			}
			states[writer.AsOf()] = writer.Since(0)
		}
		readers := make([]Register, 3)
		for range rapid.IntRange(1, 60).Draw(t, "moves") {
			reader := &readers[rapid.IntRange(0, 2).Draw(t, "reader")]
			before := reader.AsOf()
			if rapid.Bool().Draw(t, "fromPeer") {
				reader.Merge(readers[rapid.IntRange(0, 2).Draw(t, "peer")].Since(before))
			} else {
				offset := rapid.Int64Range(1, int64(len(log))).Draw(t, "offset")
				_, _ = reader.Apply(offset, log[offset-1])
			}
			if reader.AsOf() < before {
				t.Fatalf("a reader went back from %d to %d", before, reader.AsOf())
			}
			if reached := reader.AsOf(); reached > 0 && !reflect.DeepEqual(reader.Since(0).Sections, states[reached].Sections) {
				t.Fatalf("a reader at %d holds %v, want %v", reached, reader.Since(0).Sections, states[reached].Sections)
			}
		}
	})
}

// FuzzRecord guards against panics and negative offsets when a register applies an arbitrary record of the log.
func FuzzRecord(f *testing.F) {
	f.Add([]byte(`{"format":1,"id":"x","section":"team one","base":0,"text":"owner = ops"}`))
	f.Add([]byte(`{"format":2,"id":"x","section":"s"}`))
	f.Add([]byte(`{"format":1,"id":"x","slice":{"zone":"a","term":{"number":1,"holder":"h"},"step":1}}`))
	f.Add([]byte(`{"format":1,"id":"x","asOf":3,"state":[{"section":"s","number":2}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var decoded Record
		if json.Unmarshal(data, &decoded) != nil {
			return
		}
		var register Register
		_, _ = register.Apply(1, decoded)
		if register.AsOf() < 0 {
			t.Errorf("offset %d after %s", register.AsOf(), data)
		}
	})
}

// TestCheckpointWithoutSections checks that a checkpoint is decoded as one also if all sections were removed.
func TestCheckpointWithoutSections(t *testing.T) {
	data, err := json.Marshal(Record{Format: Format, ID: "c", Author: "h", AsOf: 7, Ledger: &limiter.State{}})
	if err != nil {
		t.Fatal(err)
	}
	var record Record
	if err := json.Unmarshal(data, &record); err != nil {
		t.Fatalf("checkpoint is refused: %v", err)
	}
	if !record.IsCheckpoint() {
		t.Error("not taken for a checkpoint")
	}
}
