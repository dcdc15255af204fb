package replayer_test

import (
	"fmt"

	"ebonyshunt.org/library/replayer"
)

func ExampleRegister() {
	var register replayer.Register
	records := []replayer.Record{
		{ID: "a", Section: "team survey", Text: "share = 1"},
		{ID: "b", Section: "team survey", Base: 1, Text: "share = 2"},
		{ID: "c", Section: "team survey", Base: 1, Text: "share = 3"},
	}
	for i, record := range records {
		applied, err := register.Apply(int64(i+1), record)
		fmt.Println(record.ID, applied, err)
	}
	version, _ := register.Get("team survey")
	fmt.Println(version.Offset, version.Text)
	// Output:
	// a true <nil>
	// b true <nil>
	// c false <nil>
	// 2 share = 2
}
