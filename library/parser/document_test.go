package parser

import (
	"strings"
	"testing"
)

// TestSplitDuplicates checks that each repetition of a section names the line of the first one.
func TestSplitDuplicates(t *testing.T) {
	_, mistakes := Split("f.ini", "[team a]\n[team a]\n[team a]\n")
	if len(mistakes) != 2 {
		t.Fatalf("%d mistakes, want 2: %v", len(mistakes), mistakes)
	}
	for _, mistake := range mistakes {
		if !strings.Contains(mistake.Reason, "first on line 1:") {
			t.Errorf("line %d: %s, want the first one on line 1", mistake.Line, mistake.Reason)
		}
	}
}

// TestLineOfKey checks that a mistake names the line of its key, whichever separator follows the key.
func TestLineOfKey(t *testing.T) {
	for name, text := range map[string]string{"equals": "# a\nsize = x\n", "colon": "# a\nsize: x\n"} {
		t.Run(name, func(t *testing.T) {
			fields := NewFields("f.ini", Section{Name: "host", Line: 1, Text: text})
			fields.Add("size", "wrong")
			if line := fields.Mistakes[0].Line; line != 3 {
				t.Errorf("mistake on line %d, want 3", line)
			}
		})
	}
}
