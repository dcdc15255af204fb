// Command bench prints the figures of two files side by side.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"text/tabwriter"
)

// figure is one measured number.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
}

const (
	argumentCount = 3 // with the name of the program
	columnPadding = 2
	percent       = 100
)

func main() {
	if len(os.Args) != argumentCount {
		fmt.Fprintln(os.Stderr, "usage: bench COMMITTED.json NEW.json")
		os.Exit(argumentCount - 1)
	}
	if err := printComparison(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func printComparison(committed, current string) error {
	before, err := readFigures(committed)
	if err != nil {
		return err
	}
	after, err := readFigures(current)
	if err != nil {
		return err
	}
	committedValues := map[string]float64{}
	for _, figure := range before {
		committedValues[figure.Name] = figure.Value
	}
	writer := tabwriter.NewWriter(os.Stdout, 0, 0, columnPadding, ' ', tabwriter.AlignRight)
	fmt.Fprintln(writer, "figure\tcommitted\tnow\tchange\tunit\t")
	for _, figure := range after {
		change := "new"
		if value, found := committedValues[figure.Name]; found && value != 0 {
			change = fmt.Sprintf("%+.1f %%", percent*(figure.Value/value-1))
		}
		fmt.Fprintf(writer, "%s\t%.1f\t%.1f\t%s\t%s\t\n", figure.Name, committedValues[figure.Name], figure.Value, change, figure.Unit)
	}
	if err := writer.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

func readFigures(path string) ([]figure, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read figures: %w", err)
	}
	var figures []figure
	if err := json.Unmarshal(data, &figures); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return figures, nil
}
