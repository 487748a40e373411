package adminapi

import (
	"crypto/tls"
	"net/http"
	"strings"

	"github.com/lacewingpier/lacewingpier/control/config/apikey"
	"github.com/lacewingpier/lacewingpier/control/config/sheet"
	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/core/settings"
)

// OperatorKey is the hash of an operator's key in the settings. It works before
// the first sheet is applied and while no configuration can be loaded.
type OperatorKey struct {
	Name    ident.Caller `json:"name"`
	KeyHash string       `json:"key_hash"`
}

// Settings is the part of an entry's settings for the HTTP interface.
type Settings struct {
	// TLSCert and TLSKey are PEM files. Without them the interface is served
	// without TLS and must be bound to a loopback address or run behind the
	// platform's load balancer.
	TLSCert   string        `json:"tls_cert,omitempty"`
	TLSKey    string        `json:"tls_key,omitempty"`
	Operators []OperatorKey `json:"operators"`
}

// Check records problems with the settings under the given field name.
func (s Settings) Check(p *settings.Problems, field string) {
	if (s.TLSCert == "") != (s.TLSKey == "") {
		p.Add(field+".tls_key", "tls_cert and tls_key must be given together")
	}
	names := make(map[ident.Caller]bool)
	for _, o := range s.Operators {
		p.RequireText(field+".operators.name", string(o.Name))
		if names[o.Name] {
			p.Add(field+".operators.name", "appears twice")
		}
		names[o.Name] = true
		if _, err := apikey.ParseHash(o.KeyHash); err != nil {
			p.Add(field+".operators.key_hash", "must be a hash as printed by lacewingctl key new")
		}
	}
}

// TLS returns the TLS configuration, or nil when TLS is not set up.
func (s Settings) TLS() (*tls.Config, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.TLSCert, s.TLSKey)
	if err != nil {
		return nil, errkind.Wrap(errkind.InvalidArgument, err, "load tls_cert and tls_key")
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}, nil
}

// Authenticator identifies the sender of a request by its bearer key.
type Authenticator struct {
	operators map[ident.Caller]apikey.Hash
	current   func() *sheet.Sheet
	// dummyHash is compared when the named caller does not exist, so that the
	// response time does not reveal which callers exist.
	dummyHash apikey.Hash
}

// NewAuthenticator returns an Authenticator that accepts the keys of the
// settings and of the sheet in force.
func NewAuthenticator(s Settings, current func() *sheet.Sheet) (*Authenticator, error) {
	a := &Authenticator{operators: make(map[ident.Caller]apikey.Hash), current: current}
	_, a.dummyHash = apikey.New("-", "-")
	for _, o := range s.Operators {
		hash, err := apikey.ParseHash(o.KeyHash)
		if err != nil {
			return nil, errkind.Wrap(errkind.InvalidArgument, err, "key of operator "+string(o.Name))
		}
		a.operators[o.Name] = hash
	}
	return a, nil
}

// Authenticate returns the sender of a request with a valid bearer key.
func (a *Authenticator) Authenticate(r *http.Request) (Actor, error) {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") || token == "" {
		return Actor{}, errkind.New(errkind.Unauthenticated, "a header \"Authorization: Bearer <key>\" is required")
	}
	key, err := apikey.Parse(token)
	if err != nil {
		return Actor{}, err
	}
	hash, role := a.lookup(key)
	if !hash.Matches(key) || role == "" {
		return Actor{}, errkind.New(errkind.Unauthenticated, "the bearer key is not valid")
	}
	return Actor{Workspace: key.Workspace, Caller: key.Caller, Role: role}, nil
}

func (a *Authenticator) lookup(key apikey.Key) (apikey.Hash, sheet.Role) {
	if key.Workspace == sheet.OperatorWorkspace {
		if hash, ok := a.operators[key.Caller]; ok {
			return hash, sheet.RoleOperator
		}
	}
	caller, ok := a.current().Caller(key.Workspace, key.Caller)
	if !ok || caller.KeyHash.IsZero() {
		return a.dummyHash, ""
	}
	return caller.KeyHash, caller.Role
}

// Access says which roles may use a route.
type Access uint8

// The access classes, from the widest to the narrowest.
const (
	// Anyone admits every valid key; a caller or owner sees only its workspace.
	Anyone Access = iota
	// OperatorOnly admits operators.
	OperatorOnly
)

func (a Access) admits(role sheet.Role) bool {
	return a == Anyone || role == sheet.RoleOperator
}

// maySee reports whether the actor may see a workspace.
func (a Actor) maySee(workspace ident.Workspace) bool {
	return a.Role == sheet.RoleOperator || a.Workspace == workspace
}

// mayChange reports whether the actor may change a job: its own, any of the
// workspace for an owner, and all for an operator.
func (a Actor) mayChange(j Job) bool {
	switch a.Role {
	case sheet.RoleOperator:
		return true
	case sheet.RoleOwner:
		return a.Workspace == j.Workspace
	default:
		return a.Workspace == j.Workspace && a.Caller == j.Caller
	}
}
