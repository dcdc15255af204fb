package main

import "strings"

// diffText returns the lines outside of the longest common subsequence of two texts. Lines of the first text start with
// "- " and lines of the second with "+ ".
func diffText(before, after string) string {
	a, b := splitLines(before), splitLines(after)
	lengths := lcsLengths(a, b)
	var out strings.Builder
	i, j := 0, 0
	for i < len(a) || j < len(b) {
		switch {
		case i < len(a) && j < len(b) && a[i] == b[j]:
			i++
			j++
		case j == len(b) || (i < len(a) && lengths[i+1][j] >= lengths[i][j+1]):
			out.WriteString("- " + a[i] + "\n")
			i++
		default:
			out.WriteString("+ " + b[j] + "\n")
			j++
		}
	}
	return out.String()
}

// splitLines returns the lines of a text without trailing empty lines, and nil for an empty text.
func splitLines(text string) []string {
	text = strings.TrimRight(text, "\n")
	if text == "" {
		return nil
	}
	return strings.Split(text, "\n")
}

// lcsLengths returns a table whose entry [i][j] is the length of the longest common subsequence of a[i:] and b[j:].
func lcsLengths(a, b []string) [][]int {
	lengths := make([][]int, len(a)+1)
	for i := range lengths {
		lengths[i] = make([]int, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				lengths[i][j] = lengths[i+1][j+1] + 1
			} else {
				lengths[i][j] = max(lengths[i+1][j], lengths[i][j+1])
			}
		}
	}
	return lengths
}
