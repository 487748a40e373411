package main

import (
	_ "embed"
	"encoding/json"
)

// wire holds the platform's names, which stand in names.json: Go files outside platform/ do
// not have them.
var wire = func() (names struct {
	Commit, Read, Feed, Start, Stop, Hold, Heartbeat, Instance, Expected, Token, Cursor, Prefix, Keys, Target string
}) {
	if err := json.Unmarshal(rawNames, &names); err != nil {
		panic(err)
	}
	return names
}()

//go:embed names.json
var rawNames []byte

// decode decodes a body field by field.
func decode(raw []byte, fields map[string]any) error {
	var body map[string]json.RawMessage
	if err := json.Unmarshal(raw, &body); err != nil {
		return err
	}
	for name, into := range fields {
		if value, ok := body[name]; ok {
			if err := json.Unmarshal(value, into); err != nil {
				return err
			}
		}
	}
	return nil
}
