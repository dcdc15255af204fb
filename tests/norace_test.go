//go:build !race

package tests

// raceDetector reports whether the tests were built with the race detector.
const raceDetector = false
