package linker

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Encoding and decoding must preserve the number of frames, a deadline, the body bytes and
// an Ack. The other fields are not compared.
func TestFramesRoundTrip(t *testing.T) {
	deadline := time.UnixMicro(1_790_000_000_000_000).UTC()
	frames := []Frame{
		{Stream: 7, Open: &Open{ID: "r.1", Kind: "match", Deadline: deadline, Length: -1}, Data: []byte("slot"), End: true},
		{Heartbeat: &Heartbeat{Sequence: 3, Changed: true}},
		{Ack: &Ack{Sequence: 3, Renewed: true, Permit: true}},
	}
	var buffer bytes.Buffer
	assert.NilError(t, Encode(&buffer, frames))
	got, err := Decode(buffer.Bytes())
	assert.NilError(t, err)
	assert.Equal(t, len(got), len(frames))
	assert.Assert(t, got[0].Open.Deadline.Equal(deadline))
	assert.DeepEqual(t, got[0].Data, frames[0].Data)
	assert.DeepEqual(t, got[2].Ack, frames[2].Ack)
}

// Any message that Decode accepts must survive encoding and decoding with the same
// number of frames. Other messages must give an error, not a panic.
func FuzzDecode(f *testing.F) {
	var buffer bytes.Buffer
	_ = Encode(&buffer, []Frame{{Stream: 1, Head: &Head{Status: 200}, Data: []byte("x")}})
	f.Add(buffer.Bytes())
	f.Add([]byte{0xa1, 0x00, 0x9f, 0xff})
	f.Fuzz(func(t *testing.T, message []byte) {
		frames, err := Decode(message)
		if err != nil {
			return
		}
		var encoded bytes.Buffer
		assert.NilError(t, Encode(&encoded, frames))
		got, err := Decode(encoded.Bytes())
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(frames))
	})
}
