package burn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail/receiver"
)

// Two entries report the kind "hot": 10 of 200 responses are bad, which is 5 % and so
// five times the 1 % that the objective allows. The kind with the higher rate comes
// first.
func TestMergeSumsEntriesAndKeepsTheLatestStart(t *testing.T) {
	early, late := time.Unix(100, 0), time.Unix(200, 0)
	report := func(kind string, good, bad int64, known time.Time) receiver.BurnRateReport {
		w := receiver.BurnRateWindow{Good: good, Bad: bad}
		return receiver.BurnRateReport{Kind: kind, Objective: 0.99, KnownSince: known, Short: w, Long: w}
	}
	got := Merge([]receiver.BurnRateReport{
		report("calm", 100, 0, early), report("hot", 90, 10, early), report("hot", 100, 0, late),
	}, nil)
	assert.Equal(t, got[0].Kind, "hot")
	assert.Equal(t, got[0].LongGood, int64(190))
	assert.Assert(t, got[0].ShortRate > 4.99 && got[0].ShortRate < 5.01, "%v", got[0].ShortRate)
	assert.Equal(t, got[0].KnownSince, late)
	assert.Equal(t, got[1].ShortRate, 0.0)
}
