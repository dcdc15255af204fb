// Package crowder holds the tests of processes that many badly behaved clients call at once. Each test starts the system's
// own processes on loopback with lowered limits, and checks that no process ends, that its memory and its descriptors stay
// within those of its machine, and that an ordinary call is answered.
package crowder
