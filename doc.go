// Package plantainrail holds the domain types and the narrow interfaces of the
// scheduler: kinds of work and the published table, result codes, log records,
// resources, and what the platform offers (log service, worker runtime,
// target). Implementations live in the packages below the module's root.
package plantainrail
