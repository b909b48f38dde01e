package decider

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// Guards against a key that counts as present for ever after its deletion has expired unread,
// and against the opposite: an old list must not delete a key that was written after it.
func TestExpiredDeletionsAreFound(t *testing.T) {
	keys := topicKeys{}
	keys.update([]plantainrail.KeyedRecord{
		{Key: "config", Value: []byte("1"), Offset: 0},
		{Key: "evacuate/a", Value: []byte("{}"), Offset: 1},
		{Key: "evacuate/b", Value: []byte("{}"), Offset: 2},
		{Key: "evacuate/c", Value: []byte("{}"), Offset: 3},
		{Key: "evacuate/b", Offset: 4},
	})
	newest := []plantainrail.KeyedRecord{{Key: "config", Value: []byte("2"), Offset: 6}}
	assert.DeepEqual(t, keys.deleted(newest, 7), []plantainrail.KeyedRecord{{Key: "evacuate/a", Offset: 6}, {Key: "evacuate/c", Offset: 6}})
	assert.DeepEqual(t, keys.deleted(newest, 3), []plantainrail.KeyedRecord{{Key: "evacuate/a", Offset: 2}})
}
