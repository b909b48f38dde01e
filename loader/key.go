package loader

import (
	"encoding/json"
	"net/url"
	"regexp"
	"slices"
	"strconv"
)

// Key describes one settings key.
type Key struct {
	// Name is the path of the key in the settings, such as "capacity.processors": the
	// names of the objects that contain it and its own, separated by dots.
	Name string
	// Roles lists the kinds of process that have the key.
	Roles    []Role
	Required bool
	// Default is the value of an optional key that is missing, as the JSON decoder
	// would return it.
	Default any
	// Allowed and Meaning describe the key in error messages and documentation.
	Allowed string
	Meaning string
	// set stores a value, or returns false if it is not allowed.
	set func(*Settings, any) bool
}

func (k Key) appliesTo(role Role) bool { return slices.Contains(k.Roles, role) }

// Keys returns every settings key, in the order of the documentation.
func Keys() []Key { return slices.Clone(keys) }

var (
	allRoles    = []Role{RoleEntry, RoleAgent}
	entryOnly   = []Role{RoleEntry}
	agentOnly   = []Role{RoleAgent}
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

const (
	allowedNames     = "a name of up to 63 letters, digits, dots, hyphens and underscores that begins with a letter or digit"
	allowedAddresses = "an IP address and a port, for example 127.0.0.1:7400"
	allowedURLs      = "an http or https URL with an IP address and a port, without a path or trailing slash"
	// The following are the highest allowed values of the keys max_sessions,
	// capacity.memory_mb, capacity.processors and capacity.accelerators. The texts of
	// the keys repeat them. capacity.processors is in thousandths of a core, whereas
	// the table's column processors is in cores.
	maxSessions        = 64
	maxMemoryMB        = 1 << 24
	maxMillicores      = 1 << 20
	maxAccelerators    = 64
	defaultMaxSessions = 8
	// The following are the bounds and defaults of the keys of limits. Those of headers and times are the bounds of package
	// limiter.
	minLimitMemoryMB, maxLimitMemoryMB, defaultLimitMemoryMB = 64, 1 << 20, 256
	maxDescriptors                                           = 1 << 20
	minHeaderBytes, maxHeaderBytes                           = 1 << 10, 64 << 10
	minTimeoutMS, maxHeaderTimeoutMS, maxIdleTimeoutMS       = 1000, 30_000, 120_000
	defaultHeaderTimeoutMS                                   = 10_000
)

// keys lists the fields of each Key in the order of the type: name, roles, required,
// default, allowed, meaning, set.
var keys = []Key{
	// The setter of the role does nothing, since validate has set it.
	{"role", allRoles, true, nil, "entry or agent", "the kind of process", func(*Settings, any) bool { return true }},
	{"name", allRoles, true, nil, allowedNames, "the name of the process, unique among all VMs that run at the same time", setString(func(s *Settings) *string { return &s.Name }, namePattern.MatchString)},
	{"zone", allRoles, true, nil, allowedNames, "the availability zone", setString(func(s *Settings) *string { return &s.Zone }, namePattern.MatchString)},
	{"rack", agentOnly, false, "", "a name, or empty", "the rack that the VM is in", setString(func(s *Settings) *string { return &s.Rack }, anyString)},
	{"listen", allRoles, true, nil, allowedAddresses, "the address that the process listens on", setString(func(s *Settings) *string { return &s.Listen }, isIPAndPort)},
	{"address", entryOnly, false, "", allowedAddresses + ", or empty to use the listen address", "the address that agents connect to", setString(func(s *Settings) *string { return &s.Address }, orEmpty(isIPAndPort))},
	{"log_service", entryOnly, true, nil, allowedURLs, "the URL of the platform's log service", setString(func(s *Settings) *string { return &s.LogService }, isURL)},
	{"operator_token", entryOnly, false, "", "at least 16 characters, or empty to accept operators' calls from loopback only", "the bearer token that operators' calls must send", setString(func(s *Settings) *string { return &s.OperatorToken }, isOperatorToken)},
	{"log_level", allRoles, false, "info", "debug, info, warn or error", "the lowest level that is logged", setString(func(s *Settings) *string { return &s.LogLevel }, isLogLevel)},
	{"entries", agentOnly, true, nil, "a list of at least one IP address and port", "the entries to connect to first; the agent learns of the others from them", setEntries},
	{"max_sessions", agentOnly, false, number(defaultMaxSessions), "a whole number from 1 to 64", "the maximum number of concurrent sessions with entries", setInt(func(s *Settings) *int { return &s.MaxSessions }, 1, maxSessions)},
	{"capacity.processors", agentOnly, false, json.Number("0"), "a whole number from 0 to 1048576", "thousandths of a core that tasks may reserve", setInt(func(s *Settings) *int { return &s.Capacity.Processors }, 0, maxMillicores)},
	{"capacity.memory_mb", agentOnly, false, json.Number("0"), "a whole number from 0 to 16777216", "mebibytes that tasks may reserve", setInt(func(s *Settings) *int { return &s.Capacity.Memory }, 0, maxMemoryMB)},
	{"capacity.accelerators", agentOnly, false, json.Number("0"), "a whole number from 0 to 64", "accelerators that tasks may reserve", setInt(func(s *Settings) *int { return &s.Capacity.Accelerators }, 0, maxAccelerators)},
	{"runtime", agentOnly, false, "", allowedURLs + ", or empty for a VM that runs no tasks", "the URL of the platform's worker runtime on the VM", setString(func(s *Settings) *string { return &s.Runtime }, orEmpty(isURL))},
	{"tls.certificate", allRoles, false, "", "a PEM file, or empty", "the certificate of the process", setString(func(s *Settings) *string { return &s.TLS.Certificate }, anyString)},
	{"tls.key", allRoles, false, "", "a PEM file, or empty", "the private key of the certificate", setString(func(s *Settings) *string { return &s.TLS.Key }, anyString)},
	{"tls.authority", allRoles, false, "", "a PEM file, or empty", "the trusted certificate authorities; if set, an entry also requires certificates from agents", setString(func(s *Settings) *string { return &s.TLS.Authority }, anyString)},
	{"limits.memory_mb", allRoles, false, number(defaultLimitMemoryMB), "a whole number from 64 to 1048576", "mebibytes of memory that the process may take; a quarter is for requests in flight and two fifths are for connections", setInt(func(s *Settings) *int { return &s.Limits.MemoryMB }, minLimitMemoryMB, maxLimitMemoryMB)},
	{"limits.descriptors", allRoles, false, number(0), "a whole number from 0 to 1048576; 0 stands for the limit of the operating system", "file descriptors of the process; 200 are for files, a quarter of the rest (64 at least) for the process's own connections, 16 for its own use, the others for clients", setInt(func(s *Settings) *int { return &s.Limits.Descriptors }, 0, maxDescriptors)},
	{"limits.header_bytes", allRoles, false, number(maxHeaderBytes), "a whole number from 1024 to 65536", "bytes of the header of a request; beyond it the response is 431", setInt(func(s *Settings) *int { return &s.Limits.HeaderBytes }, minHeaderBytes, maxHeaderBytes)},
	{"limits.header_timeout_ms", allRoles, false, number(defaultHeaderTimeoutMS), "a whole number from 1000 to 30000", "milliseconds for the header of a request; beyond it the response is 408", setInt(func(s *Settings) *int { return &s.Limits.HeaderTimeoutMS }, minTimeoutMS, maxHeaderTimeoutMS)},
	{"limits.idle_timeout_ms", allRoles, false, number(maxIdleTimeoutMS), "a whole number from 1000 to 120000", "milliseconds without a request after which a connection is closed", setInt(func(s *Settings) *int { return &s.Limits.IdleTimeoutMS }, minTimeoutMS, maxIdleTimeoutMS)},
}

// number returns a number as the JSON decoder would.
func number(n int) json.Number { return json.Number(strconv.Itoa(n)) }

// setString returns a setter for a text field.
func setString(field func(*Settings) *string, allowed func(string) bool) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		given, ok := value.(string)
		if !ok || !allowed(given) {
			return false
		}
		*field(s) = given
		return true
	}
}

// setInt returns a setter for a whole number from low to high.
func setInt(field func(*Settings) *int, low, high int) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		number, ok := value.(json.Number)
		if !ok {
			return false
		}
		n, err := number.Int64()
		if err != nil || n < int64(low) || n > int64(high) {
			return false
		}
		*field(s) = int(n)
		return true
	}
}

// setEntries stores a list of at least one address.
func setEntries(s *Settings, value any) bool {
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		return false
	}
	for _, item := range list {
		address, ok := item.(string)
		if !ok || !isIPAndPort(address) {
			return false
		}
		s.Entries = append(s.Entries, address)
	}
	return true
}

func anyString(string) bool { return true }

// orEmpty returns a check that also allows an empty text.
func orEmpty(allowed func(string) bool) func(string) bool {
	return func(text string) bool { return text == "" || allowed(text) }
}

// isURL reports whether text is an http or https URL with an IP address and a port
// and without a path.
func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && isIPAndPort(u.Host) && u.Path == ""
}

// minTokenLength is the minimum length of an operator's token, in bytes.
const minTokenLength = 16

func isOperatorToken(text string) bool { return text == "" || len(text) >= minTokenLength }

func isLogLevel(text string) bool {
	return slices.Contains([]string{"debug", "info", "warn", "error"}, text)
}
