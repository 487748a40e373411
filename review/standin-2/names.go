package main

import (
	_ "embed"
	"encoding/json"
)

//go:embed names.json
var rawNames []byte

// names holds the platform's names, which stand in no Go file outside of platform/.
var names = func() (n struct {
	Transaction, Read, Watch, Start, Stop, Hold, Heartbeat    string
	Conditions, Cursor, Token, Instance, Prefix, Keys, Target string
}) {
	if err := json.Unmarshal(rawNames, &n); err != nil {
		panic(err)
	}
	return n
}()

// field decodes a field of an object, if it is there.
func field[T any](object map[string]json.RawMessage, name string, into *T) error {
	raw, ok := object[name]
	if !ok {
		return nil
	}
	return json.Unmarshal(raw, into)
}
