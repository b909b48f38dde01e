package linker

import "github.com/plantainrail/plantainrail"

// Owner is what an entry tells an agent about the owner of the jobs when the agent opens a session.
type Owner struct {
	// Address is the host and port in the newest claim that the entry knows, if it does not own the jobs itself. It is
	// empty if the entry knows no owner.
	Address string
	// Epoch is that of the entry's own ownership; 0 from an entry of an earlier build or one that does not own the
	// jobs.
	Epoch int64
}

// WorkReport is an agent's report on its worker to the owner.
type WorkReport struct {
	// Sequence is set if the report requests a renewal of the lease. The owner grants
	// it by sending the number back as WorkOrders.Renewed.
	Sequence uint64          `cbor:"0,keyasint,omitempty"`
	VM       plantainrail.VM `cbor:"1,keyasint"`
	// Running lists the runs whose checkpoint has changed since the previous request
	// for a renewal.
	Running []plantainrail.RunStatus `cbor:"2,keyasint,omitempty"`
	// Ended lists runs that have ended, in ascending order of RunEnd.Number.
	Ended []plantainrail.RunEnd `cbor:"3,keyasint,omitempty"`
	// Refused lists runs that the worker or the agent has refused to start.
	Refused []RunRefusal `cbor:"4,keyasint,omitempty"`
	// Departed means that the worker has ended after it deregistered, and will not
	// return. The deregistration itself is reported as VM.Draining.
	Departed bool `cbor:"5,keyasint,omitempty"`
	// Measurements holds measurements of services and the fillers beside them; nil if
	// there are none.
	Measurements *Measurements `cbor:"6,keyasint,omitempty"`
	// LeaseLeftMS is how long the lease of a worker that does not reply still lasts, in
	// milliseconds; nil if its lease is renewed or the agent does not know.
	LeaseLeftMS *int64 `cbor:"7,keyasint,omitempty"`
	// Epoch is the highest epoch of an owner whose orders the agent has accepted. It accepts nothing from
	// owners of lower epochs any more, and no lease either. Agents of an earlier build leave it out.
	Epoch int64 `cbor:"8,keyasint,omitempty"`
	// AcceptsParts means that the agent understands WorkOrders.Listed. Agents of an earlier build leave it out.
	AcceptsParts bool `cbor:"9,keyasint,omitempty"`
}

// Measurements holds a worker's measurements of the services with a tail latency
// objective and of the fillers beside them.
type Measurements struct {
	_ struct{} `cbor:",toarray"`
	// TailLatencies are the tail latencies of the services that have been measured.
	TailLatencies []TailLatency
	// FillerCPU is the processor use of the fillers by image, in thousandths of a core.
	// It is an exponential moving average that follows changes as slowly as the tail
	// latencies do.
	FillerCPU map[string]int
}

// TailLatency is the tail latency of a service in milliseconds.
type TailLatency struct {
	_            struct{} `cbor:",toarray"`
	Ref          plantainrail.RunRef
	Milliseconds int
}

// RunRefusal reports that a run was not started and never will be.
type RunRefusal struct {
	_      struct{} `cbor:",toarray"`
	Ref    plantainrail.RunRef
	Reason plantainrail.RefusalReason
}

// WorkOrders holds the owner's orders to the agent of a worker.
type WorkOrders struct {
	// Epoch is the owner's epoch. Agents ignore orders with a lower epoch than they
	// have seen.
	Epoch int64 `cbor:"0,keyasint"`
	// Incarnation is the worker incarnation that the orders are meant for.
	Incarnation plantainrail.WorkerIncarnation `cbor:"1,keyasint"`
	// Complete means that Starts lists all runs that the worker should have, together with the parts in Listed that
	// have arrived before in the session.
	Complete bool                    `cbor:"2,keyasint,omitempty"`
	Starts   []plantainrail.RunOrder `cbor:"3,keyasint,omitempty"`
	Stops    []plantainrail.RunRef   `cbor:"4,keyasint,omitempty"`
	// AckedThrough is the number up to which the worker's ended runs are acknowledged as
	// stored.
	AckedThrough int64 `cbor:"5,keyasint,omitempty"`
	// Renewed is the sequence of the report whose lease renewal is granted.
	Renewed uint64 `cbor:"6,keyasint,omitempty"`
	// DepartureAcked acknowledges a report with Departed set.
	DepartureAcked bool `cbor:"7,keyasint,omitempty"`
	// StartLimit bounds when Starts may be carried out. Owners of an earlier build leave it out.
	StartLimit *StartLimit `cbor:"8,keyasint,omitempty"`
	// Listed is a part of the list of all runs that the worker should have. Nothing follows from it before the message
	// with Complete. It is sent only to agents that have set WorkReport.AcceptsParts.
	Listed []plantainrail.RunOrder `cbor:"9,keyasint,omitempty"`
	// Paces are the paces of fillers that have changed. Agents of an earlier build ignore them.
	Paces []plantainrail.RunPace `cbor:"10,keyasint,omitempty"`
}

// StartLimit is the time until which a worker may be told to start the runs of an order. After
// it, what the order rests on may have changed, so the agent only adopts runs that the worker runs
// already. Clocks of different VMs are not comparable, so the time is counted from a message that
// both sides know.
type StartLimit struct {
	_ struct{} `cbor:",toarray"`
	// Heard is the WorkReport.Sequence of the newest renewal request that the owner has received
	// in the session; 0 stands for the opening of the session.
	Heard uint64
	// WithinMS is how long after the agent sent that request the limit is, in milliseconds. It is
	// negative if the limit has passed by then.
	WithinMS int64
}
