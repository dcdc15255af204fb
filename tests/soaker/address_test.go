package soaker

import (
	"math/rand/v2"
	"reflect"
	"testing"
)

// TestReaddress checks that addresses get the receiver's source, and that an address that is split between two chunks
// is recognized.
func TestReaddress(t *testing.T) {
	cases := []struct {
		name, data, want string
		split            int
	}{
		{"address", `{"address":"127.0.4.2:80"}`, `{"address":"127.3.4.2:80"}`, 0},
		{"two", "127.0.4.2:80,127.5.4.1:80", "127.3.4.2:80,127.3.4.1:80", 0},
		{"otherText", "127.x 27.0.4", "127.x 27.0.4", 0},
		{"endsInPrefix", `"12`, `"12`, 2},
		{"endsInSource", `"127.0`, `"127.0`, 5},
		{"empty", "", "", 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			data := []byte(test.data)
			readdress(data, 3)
			if string(data) != test.want {
				t.Errorf("got %s, want %s", data, test.want)
			}
			if split := splitAddress(data); split != test.split {
				t.Errorf("%d bytes may begin an address, want %d", split, test.split)
			}
		})
	}
}

// TestTaskNames checks that no address is found in the names of tasks.
func TestTaskNames(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for number := range 10000 {
		name := newJob(random, chainJob, number).ID + ".0.0.0"
		data := []byte(name)
		if readdress(data, 3); string(data) != name || len(name) != len("0000000000000000.0.0.0") {
			t.Errorf("%s became %s", name, data)
		}
	}
}

// TestPlan checks that a seed determines its plan.
func TestPlan(t *testing.T) {
	for seed := range uint64(10) {
		if first, second := NewPlan(seed), NewPlan(seed); !reflect.DeepEqual(first, second) {
			t.Errorf("seed %d has two plans:\n%v\n%v", seed, first, second)
		}
	}
}
