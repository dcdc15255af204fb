package encoder

import (
	"encoding/json"
	"fmt"
)

// PartVersion is the format version of a part.
const PartVersion = 1

// Part is the journal record of a part of an occurrence.
type Part struct {
	Version int        `json:"version"`
	Steps   []PartStep `json:"steps"`
}

// PartStep is the progress of consecutive tasks of a step. The lists of StepProgress begin with the task with index First.
type PartStep struct {
	Step  int `json:"step"` // number of the step
	First int `json:"first,omitempty"`
	StepProgress
}

// UnmarshalJSON decodes a part, and refuses values out of range and any other format version than PartVersion.
func (part *Part) UnmarshalJSON(data []byte) error {
	type plain Part
	var decoded plain
	if err := json.Unmarshal(data, &decoded); err != nil {
		return fmt.Errorf("decode part of a job's progress: %w", err)
	}
	if decoded.Version != PartVersion {
		return Error.New("part of a job's progress has format version %d, this program reads version %d only", decoded.Version, PartVersion)
	}
	for _, step := range decoded.Steps {
		if !validNumbers(step.Step, step.First) || step.invalid() {
			return Error.New("part of a job's progress has an index, a run or a count out of range in step %d", step.Step)
		}
	}
	*part = Part(decoded)
	return nil
}

// DropCheckpoints removes the checkpoints of all tasks.
func (part *Part) DropCheckpoints() {
	for number := range part.Steps {
		part.Steps[number].Checkpoints = nil
	}
}
