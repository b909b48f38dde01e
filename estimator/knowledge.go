package estimator

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// maxKnowledgeImages bounds the images of services in the result of Marshal, so that it stays below the
// store's limit of a record.
const maxKnowledgeImages = 100

// knowledge is what an Estimator has learned that stays true for long: the lowest tail latencies and
// the interference of pairs of images. Own loads change within seconds and are left out.
type knowledge struct {
	Images []imageKnowledge `cbor:"0,keyasint"`
}

type imageKnowledge struct {
	_          struct{} `cbor:",toarray"`
	Image      string
	LowestTail float32
	Pairs      []pairKnowledge
}

type pairKnowledge struct {
	_              struct{} `cbor:",toarray"`
	Filler         string
	Mean, Variance float32
}

// Marshal returns what the Estimator has learned, for the next owner of the jobs.
func (e *Estimator) Marshal() ([]byte, error) {
	var k knowledge
	for _, image := range slices.Sorted(maps.Keys(e.filters)) {
		if len(k.Images) == maxKnowledgeImages {
			break
		}
		f := e.filters[image]
		i := imageKnowledge{Image: image, LowestTail: float32(e.lowestTails[image])}
		for _, filler := range slices.Sorted(maps.Keys(f.pairs)) {
			at := f.pairs[filler]
			i.Pairs = append(i.Pairs, pairKnowledge{Filler: filler, Mean: float32(f.mean[at]), Variance: float32(f.covariance[at][at])})
		}
		k.Images = append(k.Images, i)
	}
	raw, err := cbor.Marshal(k)
	return raw, errors.Wrap(err, "encode the learned interference")
}

// Unmarshal adopts what an earlier owner has learned, but for images that this Estimator has measured
// itself. It returns an error, and adopts nothing, if the text cannot be decoded.
func (e *Estimator) Unmarshal(raw []byte, now time.Time) error {
	var k knowledge
	if err := cbor.Unmarshal(raw, &k); err != nil {
		return errors.Wrap(err, "decode the learned interference")
	}
	for _, i := range k.Images {
		if i.LowestTail > 0 && len(e.lowestTails) < maxImages {
			if own, known := e.lowestTails[i.Image]; !known || float64(i.LowestTail) < own {
				e.lowestTails[i.Image] = float64(i.LowestTail)
			}
		}
		f := e.filter(i.Image, now)
		for _, p := range i.Pairs {
			mean, variance := float64(p.Mean), float64(p.Variance)
			if _, known := f.pairs[p.Filler]; known || !(mean >= 0 && mean < 1 && variance > 0) || len(f.pairs) == maxFilterPairs {
				continue
			}
			at := f.pair(p.Filler, now)
			f.mean[at], f.covariance[at][at] = mean, math.Min(variance, initialInterferenceDeviation*initialInterferenceDeviation)
		}
	}
	return nil
}
