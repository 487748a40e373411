// Package apikey creates and checks the bearer keys of the HTTP interface.
// Only salted hashes are stored. Secrets are 32 random bytes, so one SHA-256
// round is enough: a slow hash would only protect guessable passwords.
package apikey

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"strings"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	keyPrefix   = "lw1"
	hashPrefix  = "s256"
	secretBytes = 32
	saltBytes   = 16
	keyParts    = 4
	hashParts   = 3
)

// Key is a parsed bearer key.
type Key struct {
	Workspace ident.Workspace
	Caller    ident.Caller
	secret    string
}

// New returns a new random bearer key and the hash to store for it.
func New(workspace ident.Workspace, caller ident.Caller) (token string, hash Hash) {
	var secret [secretBytes]byte
	// crypto/rand.Read never returns an error; it aborts the process instead.
	_, _ = rand.Read(secret[:])
	_, _ = rand.Read(hash.salt[:])
	key := Key{workspace, caller, base64.RawURLEncoding.EncodeToString(secret[:])}
	hash.sum = sum(hash.salt, key.secret)
	return key.token(), hash
}

// Parse parses a bearer key. The error never contains the key.
func Parse(token string) (Key, error) {
	parts := strings.Split(token, ".")
	if len(parts) != keyParts || parts[0] != keyPrefix || parts[1] == "" || parts[2] == "" || parts[3] == "" {
		return Key{}, errkind.New(errkind.Unauthenticated, "the bearer key is malformed")
	}
	return Key{ident.Workspace(parts[1]), ident.Caller(parts[2]), parts[3]}, nil
}

func (k Key) token() string {
	return strings.Join([]string{keyPrefix, string(k.Workspace), string(k.Caller), k.secret}, ".")
}

// String omits the secret, so that logging a key does not leak it.
func (k Key) String() string { return string(k.Workspace) + "." + string(k.Caller) }

// Hash is the stored form of a key.
type Hash struct {
	salt [saltBytes]byte
	sum  [sha256.Size]byte
}

// ParseHash parses the text form of a hash.
func ParseHash(text string) (Hash, error) {
	var h Hash
	parts := strings.Split(text, ":")
	if len(parts) != hashParts || parts[0] != hashPrefix {
		return h, errkind.New(errkind.InvalidArgument, "must be a key hash of the form s256:<salt>:<sum>")
	}
	if !decodeInto(h.salt[:], parts[1]) || !decodeInto(h.sum[:], parts[2]) {
		return h, errkind.New(errkind.InvalidArgument, "key hash has a wrong length or is not hexadecimal")
	}
	return h, nil
}

func decodeInto(dst []byte, text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && copy(dst, raw) == len(dst) && len(raw) == len(dst)
}

// String returns the text form used in the sheet and the settings.
func (h Hash) String() string {
	return hashPrefix + ":" + hex.EncodeToString(h.salt[:]) + ":" + hex.EncodeToString(h.sum[:])
}

// IsZero reports whether no key is stored.
func (h Hash) IsZero() bool { return h == Hash{} }

// Matches reports whether the key has this hash. It compares in constant time.
func (h Hash) Matches(k Key) bool {
	got := sum(h.salt, k.secret)
	return subtle.ConstantTimeCompare(got[:], h.sum[:]) == 1
}

func sum(salt [saltBytes]byte, secret string) [sha256.Size]byte {
	return sha256.Sum256(append(salt[:], secret...))
}
