//go:build !race

package tests

// raceDetector tells that the tests were built with the race detector.
const raceDetector = false
