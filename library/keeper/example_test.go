package keeper_test

import (
	"fmt"

	"ebonyshunt.org/library/fencer"
	"ebonyshunt.org/library/keeper"
)

func ExampleTable() {
	var table keeper.Table
	term := fencer.Term{Number: 1, Holder: "entry-1"}
	table.Put(keeper.Record{ID: "job", Home: "north", Term: term, Version: 2, Data: []byte(`"done"`)})
	table.Put(keeper.Record{ID: "job", Home: "north", Term: term, Version: 1, Data: []byte(`"queued"`)})
	for _, record := range table.ByHome("north") {
		fmt.Println(record.ID, record.Version, string(record.Data))
	}
	// Output: job 2 "done"
}
