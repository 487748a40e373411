package exchange

import (
	"github.com/klauspost/compress/zstd"

	"github.com/lacewingpier/lacewingpier/core/errkind"
)

const (
	// baseDictionary identifies the base body as the dictionary of a delta.
	baseDictionary = 1
	// deltaWindow is how far back a delta refers: the largest base and body.
	deltaWindow = 2 << 20
	// maxBodyBytes bounds the body that a delta may produce.
	maxBodyBytes = 8 << 20
)

// Delta returns the change from one body to another, for bodies without a structure
// that the product knows. It is the new body, compressed with the old one as the
// dictionary, so that unchanged parts cost next to nothing wherever they move.
func Delta(before, after []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(baseDictionary, before), zstd.WithEncoderConcurrency(1),
		zstd.WithEncoderLevel(zstd.SpeedDefault), zstd.WithWindowSize(deltaWindow), zstd.WithLowerEncoderMem(true))
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode configuration delta")
	}
	return encoder.EncodeAll(after, nil), nil
}

// Patch applies deltas in order to a body. The caller must verify the digest of the
// result.
func Patch(body []byte, deltas ...[]byte) ([]byte, error) {
	for _, delta := range deltas {
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(baseDictionary, body), zstd.WithDecoderConcurrency(1),
			zstd.WithDecoderMaxMemory(maxBodyBytes))
		if err != nil {
			return nil, errkind.Wrap(errkind.Internal, err, "decode configuration delta")
		}
		body, err = decoder.DecodeAll(delta, nil)
		decoder.Close()
		if err != nil {
			return nil, errkind.Wrap(errkind.Corrupt, err, "decode configuration delta")
		}
	}
	return body, nil
}
