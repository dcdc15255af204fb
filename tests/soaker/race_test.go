//go:build race

package soaker

// raceDetector reports whether the test runs with the race detector, which slows the soak's own process.
const raceDetector = true
