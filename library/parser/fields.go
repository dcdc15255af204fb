package parser

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"ebonyshunt.org/library/sizer"
	"gopkg.in/ini.v1"
)

// Fields decodes the keys of one section and gathers its mistakes.
type Fields struct {
	Mistakes Mistakes

	file    string
	section Section
	values  *ini.Section
	known   []string
}

// NewFields returns the fields of a section; a section that is no INI has a mistake and no keys.
func NewFields(file string, section Section) *Fields {
	fields := &Fields{file: file, section: section}
	values, err := load(section)
	if err != nil {
		fields.add("", err.Error()+": write key = value")
		values = ini.Empty().Section(ini.DefaultSection)
	}
	fields.values = values
	return fields
}

// Add records a mistake of the given key.
func (fields *Fields) Add(key, format string, args ...any) {
	fields.add(key, fmt.Sprintf(format, args...))
}

func (fields *Fields) add(key, reason string) {
	fields.Mistakes = append(fields.Mistakes, Mistake{
		File:    fields.file,
		Line:    fields.line(key),
		Section: fields.section.Name,
		Key:     key,
		Reason:  reason,
	})
}

// line returns where the key stands, or the line of the header.
func (fields *Fields) line(key string) int {
	for i, text := range strings.Split(fields.section.Text, "\n") {
		name, _, found := strings.Cut(text, "=")
		if found && key != "" && strings.TrimSpace(name) == key {
			return fields.section.Line + 1 + i
		}
	}
	return fields.section.Line
}

// Text returns the value of a key, or fallback where it is absent.
func (fields *Fields) Text(key, fallback string) string {
	fields.known = append(fields.known, key)
	if !fields.values.HasKey(key) {
		return fallback
	}
	shadows := fields.values.Key(key).ValueWithShadows()
	if len(shadows) > 1 {
		fields.add(key, fmt.Sprintf("duplicate key, set %d times: keep one", len(shadows)))
	}
	return strings.TrimSpace(fields.values.Key(key).String())
}

// Required returns the value of a key that has to be present.
func (fields *Fields) Required(key, allowed string) string {
	value := fields.Text(key, "")
	if value == "" {
		fields.add(key, "missing: set it to "+allowed)
	}
	return value
}

// Choice returns a value that has to be one of those allowed.
func (fields *Fields) Choice(key, fallback string, allowed ...string) string {
	value := fields.Text(key, fallback)
	if !slices.Contains(allowed, value) {
		fields.Add(key, "%q is unknown: use one of %s", value, strings.Join(allowed, ", "))
	}
	return value
}

// Integer returns a whole number between least and most.
func (fields *Fields) Integer(key string, fallback, least, most int64) int64 {
	text := fields.Text(key, strconv.FormatInt(fallback, 10))
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < least || value > most {
		fields.Add(key, "%q is not a whole number from %d to %d", text, least, most)
		return fallback
	}
	return value
}

// Number returns a decimal number above 0 and up to most.
func (fields *Fields) Number(key string, fallback, most float64) float64 {
	text := fields.Text(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value > 0 && value <= most) {
		fields.Add(key, "%q is not a number above 0 and up to %g", text, most)
		return fallback
	}
	return value
}

// Bool returns true or false.
func (fields *Fields) Bool(key string, fallback bool) bool {
	text := fields.Text(key, strconv.FormatBool(fallback))
	value, err := strconv.ParseBool(text)
	if err != nil {
		fields.Add(key, "%q is neither true nor false", text)
		return fallback
	}
	return value
}

// Duration returns a time span between least and most.
func (fields *Fields) Duration(key string, fallback, least, most time.Duration) time.Duration {
	text := fields.Text(key, fallback.String())
	value, err := time.ParseDuration(text)
	if err != nil || value < least || value > most {
		fields.Add(key, "%q is not a duration from %s to %s, such as 250ms or 2m", text, least, most)
		return fallback
	}
	return value
}

// List returns the members of a comma-separated list.
func (fields *Fields) List(key string) []string {
	var members []string
	for member := range strings.SplitSeq(fields.Text(key, ""), ",") {
		member = strings.TrimSpace(member)
		if member != "" {
			members = append(members, member)
		}
	}
	return members
}

// Address returns an IP number with a port.
func (fields *Fields) Address(key, fallback string) string {
	text := fields.Text(key, fallback)
	if text == "" {
		fields.add(key, "missing: set it to an IP number and port, such as 127.0.0.1:7001")
		return ""
	}
	fields.checkAddress(key, text)
	return text
}

// Addresses returns a list of IP numbers with ports.
func (fields *Fields) Addresses(key string) []string {
	list := fields.List(key)
	for _, text := range list {
		fields.checkAddress(key, text)
	}
	return list
}

func (fields *Fields) checkAddress(key, text string) {
	if _, err := netip.ParseAddrPort(text); err != nil {
		fields.Add(key, "%q is not an IP number and port, such as 127.0.0.1:7001", text)
	}
}

// Digest returns the SHA-256 of a key in hexadecimal.
func (fields *Fields) Digest(key string) string {
	text := strings.ToLower(fields.Required(key, "the SHA-256 of the key, 64 hexadecimal digits"))
	raw, err := hex.DecodeString(text)
	if text != "" && (err != nil || len(raw) != digestBytes) {
		fields.Add(key, "%q is not 64 hexadecimal digits", text)
	}
	return text
}

const digestBytes = 32

// Size returns an amount such as cores:1.5 memory:512MB accelerators:1.
func (fields *Fields) Size(key string) sizer.Size {
	text := fields.Text(key, "")
	size, err := ParseSize(text)
	if err != nil {
		fields.Add(key, "%v: write it like cores:1.5 memory:512MB accelerators:1", err)
	}
	return size
}

// Finish adds a mistake for each key that was never asked for, and returns all mistakes.
func (fields *Fields) Finish() Mistakes {
	for _, key := range fields.values.KeyStrings() {
		if !slices.Contains(fields.known, key) {
			fields.Add(key, "unknown key: use one of %s", strings.Join(fields.known, ", "))
		}
	}
	return fields.Mistakes
}

// ParseSize reads an amount such as cores:1.5 memory:512MB accelerators:1; an empty text is the zero size.
func ParseSize(text string) (sizer.Size, error) {
	var size sizer.Size
	for part := range strings.FieldsSeq(text) {
		name, value, _ := strings.Cut(part, ":")
		if err := setMember(&size, name, value); err != nil {
			return sizer.Size{}, err
		}
	}
	return size, nil
}

func setMember(size *sizer.Size, name, value string) error {
	scale, target := 1.0, &size.Accelerators
	switch name {
	case "cores":
		scale, target = 1000, &size.MilliCores
	case "memory":
		value, scale = memoryUnit(value)
		target = &size.MemoryMB
	case "accelerators":
	default:
		return Error.New("unknown resource %q", name)
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0 && number <= maxAmount) {
		return Error.New("%q is no amount of %s", value, name)
	}
	*target = int64(number * scale)
	return nil
}

const maxAmount = 1e9

func memoryUnit(value string) (string, float64) {
	if number, found := strings.CutSuffix(value, "GB"); found {
		return number, 1024
	}
	number, _ := strings.CutSuffix(value, "MB")
	return number, 1
}

// FormatSize writes a size as ParseSize reads it.
func FormatSize(size sizer.Size) string {
	text := fmt.Sprintf("cores:%g memory:%dMB", float64(size.MilliCores)/1000, size.MemoryMB)
	if size.Accelerators != 0 {
		text += fmt.Sprintf(" accelerators:%d", size.Accelerators)
	}
	return text
}
