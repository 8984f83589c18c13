package wire

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

// naiveFrame is the straightforward encoding of a frame, as a reference.
type naiveFrame struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	Body cbor.RawMessage
}

type message struct {
	Seq  uint64 `cbor:"1,keyasint"`
	Text string `cbor:"2,keyasint,omitempty"`
	Body []byte `cbor:"3,keyasint,omitempty"`
}

func TestFrameMatchesNaiveCodec(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		is := is.New(t)
		k := Kind(rapid.Uint8().Draw(t, "kind"))
		m := message{
			Seq:  rapid.Uint64().Draw(t, "seq"),
			Text: string(rapid.SliceOf(rapid.Byte()).Draw(t, "text")), // UTF-8 or not
			Body: rapid.SliceOf(rapid.Byte()).Draw(t, "body"),
		}
		body, err := Marshal(m)
		is.NoErr(err)
		want, err := Marshal(naiveFrame{Kind: k, Body: body})
		is.NoErr(err)

		data, err := Encode(k, m)
		is.NoErr(err)
		is.Equal(data, want)
		f, err := Decode(data)
		is.NoErr(err)
		is.Equal(f.Kind, k)
		is.Equal(f.Body, body)
		var got message
		is.NoErr(Unmarshal(f.Body, &got))
		is.Equal(got.Text, m.Text)
	})
}

// Arbitrary bytes from a peer cause no panic, and whatever is accepted as a
// message decodes as with the naive codec.
func TestArbitraryBytesMatchNaiveCodec(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		is := is.New(t)
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		if rapid.Bool().Draw(t, "begins like a frame") {
			data = append([]byte{frameHeader, byte(KindCall)}, data...)
		}
		var m, want message
		f, err := Decode(data)
		if err != nil || Unmarshal(f.Body, &m) != nil {
			return // the naive codec accepts more: null, long forms of the array
		}
		var naive naiveFrame
		is.NoErr(Unmarshal(data, &naive))
		is.NoErr(Unmarshal(naive.Body, &want))
		is.Equal(f.Kind, naive.Kind)
		is.Equal(m, want)
	})
}
