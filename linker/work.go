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
