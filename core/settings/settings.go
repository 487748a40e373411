// Package settings loads the JSON settings files of the daemons with strict
// decoding.
package settings

import (
	"bytes"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

// Validator is implemented by settings that check their own fields.
type Validator interface {
	// Validate returns an error that names each invalid field.
	Validate() error
}

// Load reads the settings file at path into target and validates it.
func Load(path string, target Validator) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "read settings")
	}
	return Decode(raw, target)
}

// Decode decodes raw into target and validates it. Unknown fields and trailing
// data are errors.
func Decode(raw []byte, target Validator) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(target); err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "decode settings")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errkind.New(errkind.InvalidArgument, "decode settings: data after the top-level object")
	}
	return target.Validate()
}

// Duration is a time span written with a unit, such as "250ms" or "3s".
type Duration time.Duration

// Std converts d to a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes d with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string with a unit. A bare number is rejected because
// its unit would be ambiguous.
func (d *Duration) UnmarshalJSON(raw []byte) error {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return errors.Newf("duration %s must be a string with a unit, such as \"3s\"", raw)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Newf("duration %q must have a unit, such as \"3s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// Problems collects field errors so that all of them are reported at once.
type Problems struct{ list []string }

// Add records a problem with the named field.
func (p *Problems) Add(field, message string) {
	p.list = append(p.list, field+": "+message)
}

// RequireText records a problem when value is empty.
func (p *Problems) RequireText(field, value string) {
	if value == "" {
		p.Add(field, "is missing")
	}
}

// RequireAddr records a problem when value is not an IP address with a port.
func (p *Problems) RequireAddr(field, value string) {
	if value == "" {
		p.Add(field, "is missing")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		p.Add(field, "must be an IP address with a port, such as 127.0.0.1:7000")
	}
}

// RequirePositive records a problem when d is not greater than zero.
func (p *Problems) RequirePositive(field string, d Duration) {
	if d <= 0 {
		p.Add(field, "must be above zero")
	}
}

// Err returns nil or one error that lists every problem.
func (p *Problems) Err() error {
	if len(p.list) == 0 {
		return nil
	}
	return errkind.New(errkind.InvalidArgument, "settings: %s", strings.Join(p.list, "; "))
}
