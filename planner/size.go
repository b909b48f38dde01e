package planner

import (
	"math"

	"github.com/plantainrail/plantainrail"
	"github.com/plantainrail/plantainrail/ranker"
)

// Bounds of the values in a job's stored progress that depend on the fleet, not on the job.
const (
	// maxPlacedWorkers is the number of incarnations that may hold tasks of one job: the
	// 660 workers of the largest fleet, and some that are being replaced.
	maxPlacedWorkers = 700
	// maxNameBytes bounds the name of a node and of a worker.
	maxNameBytes = 32
	// checkpointBytes is the length of a checkpoint.
	checkpointBytes = 16
	// maxRun bounds the number of a run: one each second for a century.
	maxRun = math.MaxUint32
	// maxCountedCrashes bounds the crashes that count against one task.
	maxCountedCrashes = math.MaxUint8
	// progressHeaderBytes bounds what precedes the elements of progress: the state, and
	// the field numbers and lengths of the lists.
	progressHeaderBytes = 64
	// preemptedBytes bounds a list of maxPreempted tasks, each of four numbers in up to five bytes.
	preemptedBytes = 4 + maxPreempted*(1+4*5)
)

// uintBytes returns the encoded size of a whole number that is not negative, which is also
// that of the length of a string or list.
func uintBytes(n int) int {
	switch {
	case n < 24:
		return 1
	case n <= math.MaxUint8:
		return 2
	case n <= math.MaxUint16:
		return 3
	case n <= math.MaxUint32:
		return 5
	}
	return 9
}

// MaxProgressBytes returns an upper bound of the size, in bytes, of the record of the job's
// progress (see plantainrail.KeyedRecord.Size). All occurrences are taken to be open at the
// same time, with all tasks placed on as many workers as there can be, started often, with
// a checkpoint if their step has them, and suspected of a crash. It returns math.MaxInt if
// the bound is beyond that. Only values above the constants in this file can exceed it:
// longer checkpoints or names, or tasks on more workers at a time.
func MaxProgressBytes(w plantainrail.Workflow) int {
	// Placed tasks hold a position among the incarnations.
	taskBytes := 1 + uintBytes(int(Done)) + uintBytes(maxRun) + uintBytes(maxPlacedWorkers) + uintBytes(max(w.Queue.MaxAttempts, 1)) + uintBytes(0)
	occurrences, lastOccurrence := w.Occurrences(), uintBytes(w.Occurrences()-1)
	tasks, occurrenceBytes := 0, lastOccurrence+uintBytes(len(w.Steps))
	for s, step := range w.Steps {
		crashBytes := 1 + lastOccurrence + uintBytes(s) + uintBytes(step.Count) + uintBytes(maxCountedCrashes)
		perTask := taskBytes + crashBytes
		if step.Checkpoints {
			perTask += checkpointBytes
		}
		tasks += step.Count
		occurrenceBytes += uintBytes(step.Count) + step.Count*perTask
	}
	const incarnationBytes = 1 + 2*(2+maxNameBytes) + 9
	// Occurrences above maxPlacedWorkers do not change the minimum, and are left out so that
	// the product does not overflow.
	workers := min(tasks*min(occurrences, maxPlacedWorkers), maxPlacedWorkers)
	fixed := plantainrail.KeyedRecord{Key: w.ID}.Size() + progressHeaderBytes + workers*incarnationBytes
	if w.Queue.Priority > ranker.PreemptingPriority {
		fixed += preemptedBytes
	}
	if occurrences > (math.MaxInt-fixed)/occurrenceBytes {
		return math.MaxInt
	}
	return fixed + occurrences*occurrenceBytes
}
