// Package plantainrail defines the domain types of the scheduler (kinds of work,
// the published table, result codes, log records, jobs, runs and resources) and
// the interfaces of its dependencies (log service, store, worker runtime, worker
// and target). The module's other packages implement or use them. This package
// performs no I/O.
//
// The scheduler has two scheduling paths. They run as separate processes with
// separate state and share only types and some helper packages, such as linker.
// In both, an entry is a process that serves clients.
//
// Jobs of one step are placed through the product's own log. Such a job is a number
// of identical tasks of one kind. Every entry (package receiver) computes the same
// state from the log (package reducer) and may propose assignments (package placer).
// It appends them to the log as records, whose order decides between conflicting
// ones. The agent (package agent) is the process on each VM that serves requests or
// runs tasks. It decides which assigned attempts may start (package leaser) and
// starts them in the VM's worker runtime (Runtime). "Worker" in this path means a VM
// as a place for tasks: Worker in package placer and the Worker fields of log
// records hold the name of the VM's agent.
//
// Jobs of several steps (Workflow) run on the users' platform. One entry at a time
// owns all of them: package decider keeps the ownership and the progress of the jobs
// in the platform's store (Store) and carries out the decisions of package planner.
// "Worker" in this path means a process of the platform that runs tasks on one VM
// (the interface Worker). "Agent" means a process beside one worker (package
// minder). It passes the owner's orders on to the worker, renews the worker's lease
// and reports the ends of runs. Package pacer decides when the agent pauses the
// worker's best-effort tasks (fillers).
//
// One execution of a task is called an attempt in the first path and a run in the
// second.
package plantainrail
