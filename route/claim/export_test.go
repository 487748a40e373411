package claim

import (
	"encoding/binary"
	"hash/crc32"
)

// WithChecksum returns raw with a valid checksum appended, so that fuzzing
// reaches the field decoder.
func WithChecksum(raw []byte) []byte {
	out := append([]byte{}, raw...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(raw, checksumTable))
}
