package main

import (
	_ "embed"
	"encoding/json"
	"fmt"
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

// decodeField decodes a field of an object, if it is there.
func decodeField(raw []byte, name string, into any) error {
	var object map[string]json.RawMessage
	if err := json.Unmarshal(raw, &object); err != nil {
		return fmt.Errorf("decode object: %w", err)
	}
	field, ok := object[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(field, into); err != nil {
		return fmt.Errorf("decode field: %w", err)
	}
	return nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (o *order) UnmarshalJSON(raw []byte) error {
	type plain order
	if err := json.Unmarshal(raw, (*plain)(o)); err != nil {
		return err
	}
	if err := decodeField(raw, names.Token, &o.Fence); err != nil {
		return err
	}
	return decodeField(raw, names.Cursor, &o.Cursor)
}

// transaction is the body of a transaction.
type transaction struct {
	Expected []row `json:"-"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (t *transaction) UnmarshalJSON(raw []byte) error {
	type plain transaction
	if err := json.Unmarshal(raw, (*plain)(t)); err != nil {
		return err
	}
	return decodeField(raw, names.Conditions, &t.Expected)
}
