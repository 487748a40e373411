package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"hash/crc32"
	"time"

	"github.com/lacewingpier/lacewingpier/core/errkind"
	"github.com/lacewingpier/lacewingpier/core/ident"
)

const (
	// MaxRowBytes is the largest encoded record. Larger answers go to the object
	// store, so that claims do not use up the table's write rate.
	MaxRowBytes = 4 << 10
	// MaxInlineBodyBytes is the largest body kept in the row. The rest of
	// MaxRowBytes is for the other fields.
	MaxInlineBodyBytes = 3 << 10
	// maxTextBytes bounds each text field, so that four of them fit beside the
	// body.
	maxTextBytes = 200
	// maxValidity bounds the validity of a claim.
	maxValidity = 24 * time.Hour

	recordMagic   = 0x4c
	recordVersion = 1
	checksumBytes = 4
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Digest identifies the content of a request.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a request. Two requests with the same key are
// the same request when their method, path, service, content type and body
// are equal.
func DigestOf(service ident.Service, method, path, contentType string, body []byte) Digest {
	h := sha256.New()
	for _, part := range [...]string{string(service), method, path, contentType} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(body)
	var d Digest
	h.Sum(d[:0])
	return d
}

// Key returns the table key of a claim. The caller's key is hashed, because it
// may hold any characters.
func Key(ws ident.Workspace, key string) string {
	sum := sha256.Sum256([]byte(key))
	const hex = "0123456789abcdef"
	out := make([]byte, 0, 2*len(sum))
	for _, b := range sum {
		out = append(out, hex[b>>4], hex[b&15])
	}
	return "claim/" + string(ws) + "/" + string(out)
}

// Encode returns the row value of a record. It returns an error of kind
// InvalidArgument when a field is too long for a row.
func Encode(r Record) ([]byte, error) {
	if err := check(r); err != nil {
		return nil, err
	}
	out := make([]byte, 0, 128+len(r.Answer.Body))
	out = append(out, recordMagic, recordVersion, byte(r.State))
	out = append(out, r.Digest[:]...)
	out = appendText(out, string(r.Request))
	out = appendText(out, string(r.Entry))
	out = binary.AppendUvarint(out, uint64(r.Validity/time.Millisecond))
	if r.State == Finished {
		out = append(out, byte(r.Answer.Storage))
		out = binary.AppendUvarint(out, uint64(r.Answer.Status))
		out = appendText(out, r.Answer.ContentType)
		out = appendText(out, r.Answer.Object)
		out = appendText(out, string(r.Answer.Body))
	}
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(out, checksumTable)), nil
}

func check(r Record) error {
	switch {
	case r.State < Claimed || r.State > Released || r.State == Dispatched:
		return errkind.New(errkind.InvalidArgument, "state %s is not stored", r.State)
	case len(r.Request) > maxTextBytes || len(r.Entry) > maxTextBytes:
		return errkind.New(errkind.InvalidArgument, "an id is longer than %d bytes", maxTextBytes)
	case r.Validity < 0 || r.Validity > maxValidity:
		return errkind.New(errkind.InvalidArgument, "validity %s is out of range", r.Validity)
	case r.State != Finished:
		return nil
	}
	return checkAnswer(r.Answer)
}

func checkAnswer(a Answer) error {
	switch {
	case a.Storage < StoredInRow || a.Storage > NotStored:
		return errkind.New(errkind.InvalidArgument, "answer storage %d is not valid", a.Storage)
	case a.Status < 100 || a.Status > 999:
		return errkind.New(errkind.InvalidArgument, "status %d is out of range", a.Status)
	case len(a.ContentType) > maxTextBytes || len(a.Object) > maxTextBytes:
		return errkind.New(errkind.InvalidArgument, "a field is longer than %d bytes", maxTextBytes)
	case len(a.Body) > MaxInlineBodyBytes:
		return errkind.New(errkind.InvalidArgument, "body of %d bytes does not fit in a row", len(a.Body))
	case a.Storage != StoredInRow && len(a.Body) > 0:
		return errkind.New(errkind.InvalidArgument, "a body is allowed only in the row")
	case (a.Storage == StoredInObject) != (a.Object != ""):
		return errkind.New(errkind.InvalidArgument, "the object key does not match the answer storage")
	}
	return nil
}

func appendText(out []byte, text string) []byte {
	out = binary.AppendUvarint(out, uint64(len(text)))
	return append(out, text...)
}

// Decode reads a row value. It returns an error of kind Corrupt when the value
// is not one that Encode wrote.
func Decode(raw []byte) (Record, error) {
	if len(raw) > MaxRowBytes || len(raw) < 3+checksumBytes {
		return Record{}, corrupt("length")
	}
	body := raw[:len(raw)-checksumBytes]
	if crc32.Checksum(body, checksumTable) != binary.BigEndian.Uint32(raw[len(body):]) {
		return Record{}, corrupt("checksum")
	}
	if body[0] != recordMagic || body[1] != recordVersion {
		return Record{}, corrupt("format version")
	}
	d := decoder{remaining: body[2:]}
	r := d.record()
	if d.malformed || len(d.remaining) != 0 {
		return Record{}, corrupt("fields")
	}
	if err := check(r); err != nil {
		return Record{}, errkind.Wrap(errkind.Corrupt, err, "decode claim")
	}
	return r, nil
}

func corrupt(field string) error {
	return errkind.New(errkind.Corrupt, "decode claim: wrong %s", field)
}

// decoder reads fields and records whether any was malformed.
type decoder struct {
	remaining []byte
	malformed bool
}

func (d *decoder) record() Record {
	var r Record
	r.State = State(d.byte())
	copy(r.Digest[:], d.take(len(r.Digest)))
	r.Request = ident.Request(d.text())
	r.Entry = ident.Entry(d.text())
	validityMs := d.number()
	if validityMs > uint64(maxValidity/time.Millisecond) {
		d.malformed = true
		return r
	}
	r.Validity = time.Duration(validityMs) * time.Millisecond
	if r.State == Finished {
		r.Answer = d.answer()
	}
	return r
}

func (d *decoder) answer() Answer {
	a := Answer{Storage: AnswerStorage(d.byte())}
	status := d.number()
	if status > 999 {
		d.malformed = true
		return a
	}
	a.Status = int(status)
	a.ContentType = d.text()
	a.Object = d.text()
	a.Body = []byte(d.text())
	return a
}

func (d *decoder) byte() byte {
	b := d.take(1)
	if len(b) == 0 {
		return 0
	}
	return b[0]
}

func (d *decoder) take(n int) []byte {
	if d.malformed || n > len(d.remaining) {
		d.malformed = true
		return nil
	}
	out := d.remaining[:n]
	d.remaining = d.remaining[n:]
	return out
}

func (d *decoder) number() uint64 {
	value, n := binary.Uvarint(d.remaining)
	if d.malformed || n <= 0 {
		d.malformed = true
		return 0
	}
	d.remaining = d.remaining[n:]
	return value
}

func (d *decoder) text() string {
	n := d.number()
	if n > MaxRowBytes {
		d.malformed = true
		return ""
	}
	return string(d.take(int(n)))
}
