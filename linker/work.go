package linker

import "github.com/plantainrail/plantainrail"

// WorkReport is an agent's report on its worker to the owner.
type WorkReport struct {
	// Sequence is set if the report requests a renewal of the lease.
	Sequence uint64          `cbor:"0,keyasint,omitempty"`
	VM       plantainrail.VM `cbor:"1,keyasint"`
	// Running lists the runs whose checkpoint has changed since the previous report.
	Running []plantainrail.RunStatus `cbor:"2,keyasint,omitempty"`
	// Ends lists runs that have ended.
	Ends []plantainrail.RunEnd `cbor:"3,keyasint,omitempty"`
	// Refused lists runs that were rejected.
	Refused []RunRefusal `cbor:"4,keyasint,omitempty"`
	// Gone means that the worker has left permanently.
	Gone bool `cbor:"5,keyasint,omitempty"`
	// Figures holds measurements of services and the fillers beside them; nil if
	// there are none.
	Figures *WorkFigures `cbor:"6,keyasint,omitempty"`
}

// WorkFigures holds a worker's measurements of the services with a tail latency
// target and of the fillers beside them.
type WorkFigures struct {
	_ struct{} `cbor:",toarray"`
	// Tails are the services' tail latencies.
	Tails []RunTail
	// Used is the processor use of the fillers by image, in thousandths of a core.
	// It is an exponential moving average that follows changes as slowly as the tail
	// latencies do.
	Used map[string]int
}

// RunTail is the tail latency of a service in milliseconds.
type RunTail struct {
	_    struct{} `cbor:",toarray"`
	Ref  plantainrail.RunRef
	Tail int
}

// RunRefusal reports that a run was not started and never will be.
type RunRefusal struct {
	_      struct{} `cbor:",toarray"`
	Ref    plantainrail.RunRef
	Reason plantainrail.RefusalReason
}

// WorkOrders holds the owner's orders to the agent of a worker.
type WorkOrders struct {
	// Epoch is the owner's epoch. Agents reject orders with a lower epoch than they
	// have seen.
	Epoch int64 `cbor:"0,keyasint"`
	// Incarnation is the worker incarnation that the orders are meant for.
	Incarnation plantainrail.WorkerIncarnation `cbor:"1,keyasint"`
	// Whole means that Starts lists all runs that the worker should have.
	Whole  bool                    `cbor:"2,keyasint,omitempty"`
	Starts []plantainrail.RunOrder `cbor:"3,keyasint,omitempty"`
	Stops  []plantainrail.RunRef   `cbor:"4,keyasint,omitempty"`
	// Noted is the number up to which the worker's ended runs are acknowledged as
	// stored.
	Noted int64 `cbor:"5,keyasint,omitempty"`
	// Renewed is the sequence of the report whose lease renewal is granted.
	Renewed uint64 `cbor:"6,keyasint,omitempty"`
	// Departed acknowledges a report that the worker has left permanently.
	Departed bool `cbor:"7,keyasint,omitempty"`
}
