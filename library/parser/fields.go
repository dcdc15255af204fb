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

// Fields decodes the keys of one section and collects the mistakes. Each decoding method marks its key as known;
// Finish reports the keys that no method has decoded.
type Fields struct {
	Mistakes Mistakes

	file      string
	section   Section
	values    *ini.Section
	knownKeys []string
}

// NewFields returns the fields of a section. If the text is not valid INI, the fields have one mistake and no keys.
func NewFields(file string, section Section) *Fields {
	fields := &Fields{file: file, section: section}
	values, err := loadKeys(section)
	if err != nil {
		fields.add("", err.Error()+": write key = value")
		values = ini.Empty().Section(ini.DefaultSection)
	}
	fields.values = values
	return fields
}

// Add adds a mistake of the given key, or of the whole section if key is empty.
func (fields *Fields) Add(key, format string, args ...any) {
	fields.add(key, fmt.Sprintf(format, args...))
}

func (fields *Fields) add(key, reason string) {
	fields.Mistakes = append(fields.Mistakes, Mistake{
		File:    fields.file,
		Line:    fields.lineOf(key),
		Section: fields.section.Name,
		Key:     key,
		Reason:  reason,
	})
}

// lineOf returns the line number of a key, or that of the section's header if the key is empty or absent.
func (fields *Fields) lineOf(key string) int {
	for i, text := range strings.Split(fields.section.Text, "\n") {
		end := strings.IndexAny(text, "=:") // both separate a key from its value
		if end >= 0 && key != "" && strings.TrimSpace(text[:end]) == key {
			return fields.section.Line + 1 + i
		}
	}
	return fields.section.Line
}

// Text returns the value of a key, or fallback if the key is absent. It adds a mistake for a duplicate key.
func (fields *Fields) Text(key, fallback string) string {
	fields.knownKeys = append(fields.knownKeys, key)
	if !fields.values.HasKey(key) {
		return fallback
	}
	allValues := fields.values.Key(key).ValueWithShadows()
	if len(allValues) > 1 {
		fields.add(key, fmt.Sprintf("duplicate key, set %d times: keep one", len(allValues)))
	}
	return strings.TrimSpace(fields.values.Key(key).String())
}

// Required returns the value of a key, and adds a mistake if it is absent or empty. The mistake names the allowed
// values.
func (fields *Fields) Required(key, allowed string) string {
	value := fields.Text(key, "")
	if value == "" {
		fields.add(key, "missing: set it to "+allowed)
	}
	return value
}

// Choice returns the value of a key, and adds a mistake if it is not one of the allowed values.
func (fields *Fields) Choice(key, fallback string, allowed ...string) string {
	value := fields.Text(key, fallback)
	if !slices.Contains(allowed, value) {
		fields.Add(key, "%q is unknown: use one of %s", value, strings.Join(allowed, ", "))
	}
	return value
}

// Integer returns an integer from lowest to highest. For any other value it adds a mistake and returns fallback.
func (fields *Fields) Integer(key string, fallback, lowest, highest int64) int64 {
	text := fields.Text(key, strconv.FormatInt(fallback, 10))
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil || value < lowest || value > highest {
		fields.Add(key, "%q is not a whole number from %d to %d", text, lowest, highest)
		return fallback
	}
	return value
}

// Number returns a decimal number above 0 and up to highest. For any other value it adds a mistake and returns
// fallback.
func (fields *Fields) Number(key string, fallback, highest float64) float64 {
	text := fields.Text(key, strconv.FormatFloat(fallback, 'g', -1, 64))
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value > 0 && value <= highest) {
		fields.Add(key, "%q is not a number above 0 and up to %g", text, highest)
		return fallback
	}
	return value
}

// Bool returns a boolean value. For any other value it adds a mistake and returns fallback.
func (fields *Fields) Bool(key string, fallback bool) bool {
	text := fields.Text(key, strconv.FormatBool(fallback))
	value, err := strconv.ParseBool(text)
	if err != nil {
		fields.Add(key, "%q is neither true nor false", text)
		return fallback
	}
	return value
}

// Duration returns a duration from shortest to longest. For any other value it adds a mistake and returns fallback.
func (fields *Fields) Duration(key string, fallback, shortest, longest time.Duration) time.Duration {
	text := fields.Text(key, fallback.String())
	value, err := time.ParseDuration(text)
	if err != nil || value < shortest || value > longest {
		fields.Add(key, "%q is not a duration from %s to %s, such as 250ms or 2m", text, shortest, longest)
		return fallback
	}
	return value
}

// List returns the members of a comma-separated list, without surrounding spaces and empty members.
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

// Address returns an IP address with a port, and adds a mistake if it is absent or invalid.
func (fields *Fields) Address(key, fallback string) string {
	text := fields.Text(key, fallback)
	if text == "" {
		fields.add(key, "missing: set it to an IP number and port, such as 127.0.0.1:7001")
		return ""
	}
	fields.checkAddress(key, text)
	return text
}

// Addresses returns a list of IP addresses with ports, and adds a mistake for each invalid one.
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

// Digest returns the SHA-256 digest of a key in lower-case hexadecimal, and adds a mistake if it is absent or
// invalid.
func (fields *Fields) Digest(key string) string {
	text := strings.ToLower(fields.Required(key, "the SHA-256 of the key, 64 hexadecimal digits"))
	digest, err := hex.DecodeString(text)
	if text != "" && (err != nil || len(digest) != digestBytes) {
		fields.Add(key, "%q is not 64 hexadecimal digits", text)
	}
	return text
}

const digestBytes = 32 // length of a SHA-256 digest

// Size returns a size in the format of ParseSize. For an invalid value it adds a mistake and returns the zero size.
func (fields *Fields) Size(key string) sizer.Size {
	text := fields.Text(key, "")
	size, err := ParseSize(text)
	if err != nil {
		fields.Add(key, "%v: write it like cores:1.5 memory:512MB accelerators:1", err)
	}
	return size
}

// Finish adds a mistake for each key that no method has decoded, and returns all mistakes. It has to be called after
// all keys are decoded.
func (fields *Fields) Finish() Mistakes {
	for _, key := range fields.values.KeyStrings() {
		if !slices.Contains(fields.knownKeys, key) {
			fields.Add(key, "unknown key: use one of %s", strings.Join(fields.knownKeys, ", "))
		}
	}
	return fields.Mistakes
}

// ParseSize parses a size such as "cores:1.5 memory:512MB accelerators:1". Memory is in MB, or in GB (1024 MB) with
// the suffix GB. Absent resources are 0. Fractions of a thousandth of a core, of a MB or of an accelerator are
// truncated. ParseSize returns an error for an unknown resource or an amount that is negative, not a number or too
// large.
func ParseSize(text string) (sizer.Size, error) {
	var size sizer.Size
	for part := range strings.FieldsSeq(text) {
		name, value, _ := strings.Cut(part, ":")
		if err := setResource(&size, name, value); err != nil {
			return sizer.Size{}, err
		}
	}
	return size, nil
}

// setResource parses an amount and sets the member of size that belongs to the named resource.
func setResource(size *sizer.Size, name, value string) error {
	scale, target := 1.0, &size.Accelerators
	switch name {
	case "cores":
		scale, target = 1000, &size.MilliCores
	case "memory":
		value, scale = cutMemoryUnit(value)
		target = &size.MemoryMB
	case "accelerators":
	default:
		return Error.New("unknown resource %q", name)
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || !(number >= 0 && number <= maxResourceAmount) {
		return Error.New("%q is not a valid amount of %s", value, name)
	}
	*target = int64(number * scale)
	return nil
}

const maxResourceAmount = 1e9 // before conversion to milliCores or MB

// cutMemoryUnit returns an amount of memory without its unit, and the factor that converts it to MB.
func cutMemoryUnit(value string) (string, float64) {
	if number, found := strings.CutSuffix(value, "GB"); found {
		return number, 1024
	}
	number, _ := strings.CutSuffix(value, "MB")
	return number, 1
}
