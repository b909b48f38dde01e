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
	Name     string
	Roles    []Role
	Required bool
	Default  any
	Allowed  string
	Meaning  string
	set      func(*Settings, any) bool
}

func (k Key) of(role Role) bool { return slices.Contains(k.Roles, role) }

// Keys lists every settings key.
func Keys() []Key { return slices.Clone(keys) }

var (
	both        = []Role{RoleEntry, RoleAgent}
	onlyEntry   = []Role{RoleEntry}
	onlyAgent   = []Role{RoleAgent}
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

const (
	nameAllowed  = "a name of letters, digits, dots, hyphens and underscores"
	addrAllowed  = "an IP number and a port, for example 127.0.0.1:7400"
	urlAllowed   = "an http or https URL with an IP number, without a final slash"
	maxSessions  = 64
	maxMemory    = 1 << 24
	maxCores     = 1 << 20
	maxDevices   = 64
	defaultLinks = 8
)

var keys = []Key{
	{"role", both, true, nil, "entry or agent", "the kind of process", func(*Settings, any) bool { return true }},
	{"name", both, true, nil, nameAllowed, "the process's name, unique among all VMs that may run at once", text(func(s *Settings) *string { return &s.Name }, namePattern.MatchString)},
	{"zone", both, true, nil, nameAllowed, "the availability zone", text(func(s *Settings) *string { return &s.Zone }, namePattern.MatchString)},
	{"rack", onlyAgent, false, "", "a name, or nothing", "the rack that the VM is in", text(func(s *Settings) *string { return &s.Rack }, anything)},
	{"listen", both, true, nil, addrAllowed, "where the process listens", text(func(s *Settings) *string { return &s.Listen }, ipAndPort)},
	{"address", onlyEntry, false, "", addrAllowed + ", or nothing for the listen address", "what agents dial", text(func(s *Settings) *string { return &s.Address }, orNothing(ipAndPort))},
	{"log_service", onlyEntry, true, nil, urlAllowed, "the platform's log service", text(func(s *Settings) *string { return &s.LogService }, isURL)},
	{"operator_token", onlyEntry, false, "", "at least 16 characters, or nothing for loopback alone", "what operators' calls must carry", text(func(s *Settings) *string { return &s.OperatorToken }, longEnough)},
	{"log_level", both, false, "info", "debug, info, warn or error", "the least level that is logged", text(func(s *Settings) *string { return &s.LogLevel }, isLevel)},
	{"entries", onlyAgent, true, nil, "a list of at least one IP number and port", "the entries to dial first; the others are learned", setEntries},
	{"max_sessions", onlyAgent, false, json.Number(strconv.Itoa(defaultLinks)), "a whole number from 1 to 64", "how many sessions with entries are held at once", whole(func(s *Settings) *int { return &s.MaxSessions }, 1, maxSessions)},
	{"capacity.processors", onlyAgent, false, json.Number("0"), "a whole number from 0 to 1048576", "thousandths of a core that tasks may reserve", whole(func(s *Settings) *int { return &s.Capacity.Processors }, 0, maxCores)},
	{"capacity.memory_mb", onlyAgent, false, json.Number("0"), "a whole number from 0 to 16777216", "mebibytes that tasks may reserve", whole(func(s *Settings) *int { return &s.Capacity.Memory }, 0, maxMemory)},
	{"capacity.accelerators", onlyAgent, false, json.Number("0"), "a whole number from 0 to 64", "devices that tasks may reserve", whole(func(s *Settings) *int { return &s.Capacity.Accelerators }, 0, maxDevices)},
	{"runtime", onlyAgent, false, "", urlAllowed + ", or nothing for a VM without tasks", "the platform's worker runtime on the VM", text(func(s *Settings) *string { return &s.Runtime }, orNothing(isURL))},
	{"tls.certificate", both, false, "", "a PEM file, or nothing", "the process's certificate", text(func(s *Settings) *string { return &s.TLS.Certificate }, anything)},
	{"tls.key", both, false, "", "a PEM file, or nothing", "the key of the certificate", text(func(s *Settings) *string { return &s.TLS.Key }, anything)},
	{"tls.authority", both, false, "", "a PEM file, or nothing", "the certificates that are trusted; an entry then asks agents for theirs", text(func(s *Settings) *string { return &s.TLS.Authority }, anything)},
}

func text(field func(*Settings) *string, allowed func(string) bool) func(*Settings, any) bool {
	return func(s *Settings, value any) bool {
		given, ok := value.(string)
		if !ok || !allowed(given) {
			return false
		}
		*field(s) = given
		return true
	}
}

func whole(field func(*Settings) *int, low, high int) func(*Settings, any) bool {
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

func setEntries(s *Settings, value any) bool {
	list, ok := value.([]any)
	if !ok || len(list) == 0 {
		return false
	}
	for _, item := range list {
		address, ok := item.(string)
		if !ok || !ipAndPort(address) {
			return false
		}
		s.Entries = append(s.Entries, address)
	}
	return true
}

func anything(string) bool { return true }

func orNothing(allowed func(string) bool) func(string) bool {
	return func(text string) bool { return text == "" || allowed(text) }
}

func isURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && ipAndPort(u.Host) && u.Path == ""
}

// minToken is the least length of an operator's token.
const minToken = 16

func longEnough(text string) bool { return text == "" || len(text) >= minToken }

func isLevel(text string) bool {
	return slices.Contains([]string{"debug", "info", "warn", "error"}, text)
}
