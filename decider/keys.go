package decider

import (
	"cmp"
	"slices"

	"github.com/plantainrail/plantainrail"
)

// topicKeys holds the keys of a topic that exist, with their newest records.
type topicKeys map[string]newestRecord

// newestRecord is the newest record of a key. Its bytes are those of the key and the value.
type newestRecord struct {
	offset plantainrail.Offset
	bytes  int
}

// bytes returns the size of the newest records.
func (k topicKeys) bytes() int64 {
	sum := int64(0)
	for _, r := range k {
		sum += int64(r.bytes)
	}
	return sum
}

// update applies records of the topic.
func (k topicKeys) update(records []plantainrail.KeyedRecord) {
	for _, r := range records {
		if len(r.Value) == 0 {
			delete(k, r.Key)
			continue
		}
		k[r.Key] = newestRecord{r.Offset, len(r.Key) + len(r.Value)}
	}
}

// deleted returns a deletion for each key that a list of the newest record of every key lacks:
// its deletion has expired. Next is the topic's end at the time of the list, which does not
// cover records from there on.
func (k topicKeys) deleted(newest []plantainrail.KeyedRecord, next plantainrail.Offset) []plantainrail.KeyedRecord {
	listed := make(map[string]bool, len(newest))
	for _, r := range newest {
		listed[r.Key] = true
	}
	var out []plantainrail.KeyedRecord
	for key, known := range k {
		if !listed[key] && known.offset < next {
			out = append(out, plantainrail.KeyedRecord{Key: key, Offset: next - 1})
		}
	}
	slices.SortFunc(out, func(a, b plantainrail.KeyedRecord) int { return cmp.Compare(a.Key, b.Key) })
	return out
}
