package plantainrail_test

import (
	"fmt"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

func ExampleWriteTries() {
	var tries plantainrail.WriteTries
	tries = tries.With(errors.New("no answer")).With(plantainrail.ErrRejected)
	fmt.Println(tries.Err(), tries.MaybeDone())
	// Output: no answer true
}

// A write counts as rejected only if every one of its tries was.
func TestWriteTriesNeverHideAnUnknownOutcome(t *testing.T) {
	unknown, rejected := errors.New("no answer"), errors.Wrap(plantainrail.ErrRejected, "status 429")
	for _, c := range []struct {
		name          string
		errs          []error
		maybe, reject bool
	}{
		{name: "none"},
		{"rejected", []error{rejected, rejected}, false, true},
		{"unknown first", []error{unknown, rejected, rejected}, true, false},
		{"unknown last", []error{rejected, unknown}, true, false},
		{"unknown, then never acceptable", []error{unknown, plantainrail.ErrUnacceptable}, true, false},
		{"never acceptable", []error{plantainrail.ErrUnacceptable}, false, false},
	} {
		var tries plantainrail.WriteTries
		for _, err := range c.errs {
			tries = tries.With(err)
		}
		assert.Equal(t, tries.MaybeDone(), c.maybe, c.name)
		assert.Equal(t, errors.Is(tries.Err(), plantainrail.ErrRejected), c.reject, c.name)
	}
}
