// Package plantainrail defines the domain types of the scheduler (kinds of work,
// the published table, result codes, log records, jobs, runs and resources) and
// the interfaces of its dependencies (log service, store, worker runtime, worker
// and target). The module's other packages implement them.
package plantainrail
