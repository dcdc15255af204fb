package main

// cases holds the plays by name. Those without a folder of their own are described in REPORT.md.
var cases = map[string]func(*rig) error{
	"large":   (*rig).playLarge,
	"config":  (*rig).playConfig,
	"quota":   (*rig).playQuota,
	"pending": (*rig).playPending,
	"delete":  (*rig).playDelete,
}
