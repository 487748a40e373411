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
// dictionary, so that unchanged parts cost next to nothing wherever they move. The change
// from an empty body is the compressed body.
func Delta(before, after []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithWindowSize(deltaWindow), zstd.WithLowerEncoderMem(true),
	}
	if len(before) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseDictionary, before))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode configuration delta")
	}
	return encoder.EncodeAll(after, nil), nil
}

// Patch applies deltas in order to a body. The caller must verify the digest of the
// result.
func Patch(body []byte, deltas ...[]byte) ([]byte, error) {
	for _, delta := range deltas {
		options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBodyBytes)}
		if len(body) > 0 {
			options = append(options, zstd.WithDecoderDictRaw(baseDictionary, body))
		}
		decoder, err := zstd.NewReader(nil, options...)
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
