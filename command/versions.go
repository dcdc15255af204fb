package main

import (
	"maps"
	"slices"

	"ebonyshunt.org/library/replayer"
)

// versions are sections in force, by name.
type versions map[string]replayer.Version

func (versions versions) names() []string {
	return slices.Sorted(maps.Keys(versions))
}
