package linker

import "github.com/plantainrail/plantainrail"

// WorkReport is what an agent tells the owner of its worker.
type WorkReport struct {
	// Sequence is set on a report that asks for a renewal of the lease.
	Sequence uint64          `cbor:"0,keyasint,omitempty"`
	VM       plantainrail.VM `cbor:"1,keyasint"`
	// Running lists runs with what changed in them.
	Running []plantainrail.RunStatus `cbor:"2,keyasint,omitempty"`
	Ends    []plantainrail.RunEnd    `cbor:"3,keyasint,omitempty"`
	Refused []RunRefusal             `cbor:"4,keyasint,omitempty"`
	// Gone means that the worker has left for good.
	Gone bool `cbor:"5,keyasint,omitempty"`
	// Figures tells what was measured beside services; nil when nothing was.
	Figures *WorkFigures `cbor:"6,keyasint,omitempty"`
}

// WorkFigures is what a worker measured of services with a target and of the
// fillers beside them.
type WorkFigures struct {
	_ struct{} `cbor:",toarray"`
	// Tails are the services' tail latencies.
	Tails []RunTail
	// Used is what fillers used, by image, in thousandths of a core. It follows
	// what they use now as slowly as the tails do.
	Used map[string]int
}

// RunTail is the tail latency of a service in milliseconds.
type RunTail struct {
	_    struct{} `cbor:",toarray"`
	Ref  plantainrail.RunRef
	Tail int
}

// RunRefusal tells that a run was not started and never will be.
type RunRefusal struct {
	_      struct{} `cbor:",toarray"`
	Ref    plantainrail.RunRef
	Reason plantainrail.RefusalReason
}

// WorkOrders is what the owner tells an agent.
type WorkOrders struct {
	Epoch int64             `cbor:"0,keyasint"`
	Life  plantainrail.Life `cbor:"1,keyasint"`
	// Whole means that Starts lists every run that the worker should hold.
	Whole  bool                    `cbor:"2,keyasint,omitempty"`
	Starts []plantainrail.RunOrder `cbor:"3,keyasint,omitempty"`
	Stops  []plantainrail.RunRef   `cbor:"4,keyasint,omitempty"`
	// Noted is the number up to which the worker's ends are stored.
	Noted int64 `cbor:"5,keyasint,omitempty"`
	// Renewed repeats the sequence of a report whose renewal is granted.
	Renewed uint64 `cbor:"6,keyasint,omitempty"`
	// Departed answers a report that the worker has left for good.
	Departed bool `cbor:"7,keyasint,omitempty"`
}
