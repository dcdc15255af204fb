package main

import (
	"maps"
	"slices"

	"ebonyshunt.org/library/replayer"
)

// versions holds the versions of the sections in force by section name.
type versions map[string]replayer.Version

// names returns the section names, sorted.
func (versions versions) names() []string {
	return slices.Sorted(maps.Keys(versions))
}
