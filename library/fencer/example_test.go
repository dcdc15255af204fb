package fencer_test

import (
	"fmt"

	"ebonyshunt.org/library/fencer"
)

func ExampleCheck() {
	first := fencer.Term{Number: 1, Holder: "entry-1"}
	grant := fencer.Grant{Task: "t", Boot: "b", Term: first, NotAfter: 2000, LeaseEnd: 40_000}
	fmt.Printf("%q\n", fencer.Check(grant, first, "b", 1500))
	fmt.Printf("%q\n", fencer.Check(grant, first, "b", 2500))
	fmt.Printf("%q\n", fencer.Check(grant, first.Next("entry-2"), "b", 1500))
	// Output:
	// ""
	// "expired"
	// "fenced"
}
