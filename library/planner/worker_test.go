package planner_test

import (
	"reflect"
	"testing"

	"ebonyshunt.org/library/planner"
	"ebonyshunt.org/library/sizer"
)

// TestWorkerInfoEqual guards against a change of a registration that goes unnoticed, because a field is not compared.
func TestWorkerInfoEqual(t *testing.T) {
	changes := map[string]any{
		"ID": "w-2", "Machine": "m-2", "Service": "other", "Address": "10.0.0.2:80", "Zone": "b", "Labels": []string{"a", "r-2"},
		"Capacity": sizer.Size{MilliCores: 1}, "Draining": true, "LeavesIn": int64(1), "ColdLeft": int64(1), "Incarnation": int64(2),
	}
	original := planner.WorkerInfo{ID: "w-1", Labels: []string{"a"}}
	if !original.Equal(planner.WorkerInfo{ID: "w-1", Labels: []string{"a"}}) {
		t.Error("equal registrations count as different")
	}
	for index := range reflect.TypeFor[planner.WorkerInfo]().NumField() {
		name := reflect.TypeFor[planner.WorkerInfo]().Field(index).Name
		changed := original
		field := reflect.ValueOf(&changed).Elem().Field(index)
		value := reflect.ValueOf(changes[name])
		if !value.IsValid() {
			t.Fatalf("field %s has no change in this test", name)
		}
		field.Set(value.Convert(field.Type()))
		if original.Equal(changed) {
			t.Errorf("a change of %s goes unnoticed", name)
		}
	}
}
