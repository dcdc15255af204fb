package blamer_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"ebonyshunt.org/library/blamer"
)

// storedRecords is what a step of two tasks adds to the journal.
const storedRecords = `{"crashes":{"0":2},"lost":[{"index":1,"worker":"w-001","born":5,"number":3,"alone":true,"sound":true,"unanswered":true},` +
	`{"index":1,"worker":"w-002","number":4}],"unanswered":{"0":1}}`

// TestRecords guards against records that another release does not read.
func TestRecords(t *testing.T) {
	lost := []blamer.Loss{
		{Worker: "w-001", Incarnation: 5, Number: 3, Alone: true, Sound: true, Unanswered: true}, {Worker: "w-002", Number: 4},
	}
	var records blamer.Records
	records.Add(0, &blamer.Evidence{Crashes: 2, Unanswered: 1})
	records.Add(1, &blamer.Evidence{Lost: lost})
	t.Run("format", func(t *testing.T) {
		if data, err := json.Marshal(records); err != nil || string(data) != storedRecords {
			t.Errorf("records %s, error %v, want %s", data, err, storedRecords)
		}
	})
	t.Run("decodedAsTheyWere", func(t *testing.T) {
		var decoded blamer.Records
		if err := json.Unmarshal([]byte(storedRecords), &decoded); err != nil || !reflect.DeepEqual(decoded, records) {
			t.Errorf("records %+v, error %v, want %+v", decoded, err, records)
		}
	})
	t.Run("nothingOfTasksWithoutCrashes", func(t *testing.T) {
		var records blamer.Records
		records.Add(0, &blamer.Evidence{})
		if data, err := json.Marshal(records); err != nil || string(data) != "{}" {
			t.Errorf("records %s, error %v, want none", data, err)
		}
	})
	t.Run("runsThatAreThereAlready", func(t *testing.T) {
		var evidence blamer.Evidence
		if !evidence.RestoreLost(lost[0], closedAt) || evidence.RestoreLost(lost[0], closedAt) || !evidence.RestoreLost(lost[1], closedAt) || len(evidence.Lost) != 2 {
			t.Errorf("lost runs %v, want each run once", evidence.Lost)
		}
	})
}

// TestValid guards against records of another writer with numbers out of range.
func TestValid(t *testing.T) {
	const highest = 1000
	for text, want := range map[string]bool{
		`{}`: true, storedRecords: true, `{"crashes":{"1000":1000}}`: true,
		`{"crashes":{"-1":1}}`: false, `{"crashes":{"0":-1}}`: false, `{"crashes":{"0":1001}}`: false, `{"crashes":{"1001":1}}`: false,
		`{"unanswered":{"-1":1}}`: false, `{"unanswered":{"0":1001}}`: false,
		`{"lost":[{"index":-1,"worker":"w","number":1}]}`: false, `{"lost":[{"index":1,"worker":"w","number":-1}]}`: false,
		`{"lost":[{"index":0,"worker":"w","number":1},{"index":1,"worker":"w","number":1001}]}`: false,
	} {
		var records blamer.Records
		if err := json.Unmarshal([]byte(text), &records); err != nil {
			t.Fatal(err)
		}
		if got := records.Valid(highest); got != want {
			t.Errorf("%s is valid: %t, want %t", text, got, want)
		}
	}
}
