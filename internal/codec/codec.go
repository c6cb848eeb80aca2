// Package codec encodes values in deterministic CBOR and decodes CBOR within
// limits, so that a message from the network cannot cause unbounded allocation.
package codec

import (
	"github.com/fxamacker/cbor/v2"
)

// Limits bounds the size of decoded values.
type Limits struct {
	// ArrayElements is the maximum number of elements of an array.
	ArrayElements int
	// MapPairs is the maximum number of key-value pairs of a map.
	MapPairs int
	// Nesting is the maximum nesting depth of arrays and maps.
	Nesting int
}

// Codec encodes and decodes values. It is safe for concurrent use.
type Codec struct {
	encode cbor.EncMode
	decode cbor.DecMode
}

// New returns a codec with the given limits. It panics if the CBOR library does
// not support them, since they are constants of the calling package.
func New(l Limits) *Codec {
	return &Codec{
		encode: must(cbor.CoreDetEncOptions().EncMode()),
		decode: must(cbor.DecOptions{
			MaxArrayElements: l.ArrayElements,
			MaxMapPairs:      l.MapPairs,
			MaxNestedLevels:  l.Nesting,
		}.DecMode()),
	}
}

func must[M any](mode M, err error) M {
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal encodes v. Equal values have equal encodings.
func (c *Codec) Marshal(v any) ([]byte, error) { return c.encode.Marshal(v) }

// Unmarshal decodes b into the value that v points to. It returns an error if b
// is malformed or exceeds the limits.
func (c *Codec) Unmarshal(b []byte, v any) error { return c.decode.Unmarshal(b, v) }
