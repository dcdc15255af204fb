//go:build race

package crowder

// raceDetector reports whether the test runs with the race detector, which takes memory of its own.
const raceDetector = true
