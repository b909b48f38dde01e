// Package loader reads and validates the settings of an entry or an agent from a
// JSON file. A single table describes the keys; the command "settings keys" prints
// them from it. Reading the file is its only I/O. Processes on the platform take
// their settings from package platform instead.
package loader

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/plantainrail/plantainrail"
)

// Role is the kind of process that the settings belong to.
type Role string

// The roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// TLS names the TLS files of a process. Without any, connections are not encrypted.
type TLS struct {
	// Certificate and Key are the PEM files of the process's certificate and its
	// private key.
	Certificate string
	Key         string
	// Authority is the PEM file of the trusted certificate authorities.
	Authority string
}

// Settings holds the validated settings of an entry or an agent. Keys describes
// each of them.
type Settings struct {
	Role          Role
	Name          string
	Zone          string
	Rack          string
	Listen        string
	Address       string
	LogService    string
	OperatorToken string
	LogLevel      string
	Entries       []string
	MaxSessions   int
	Capacity      plantainrail.Resources
	Runtime       string
	TLS           TLS
	Limits        Limits
}

// Limits bounds what clients outside our control may take of the process.
type Limits struct {
	// MemoryMB is the memory that the process may take, in mebibytes, and Descriptors the number of its file descriptors; 0
	// stands for the limit of the operating system.
	MemoryMB, Descriptors int
	// HeaderBytes, HeaderTimeoutMS and IdleTimeoutMS are the longest header of a request in bytes, and the times for it and
	// for the next request in milliseconds.
	HeaderBytes, HeaderTimeoutMS, IdleTimeoutMS int
}

// Problem describes one key that is unknown or missing, or whose value is invalid.
type Problem struct {
	Key string `json:"key"`
	// Value is the value as JSON, or "nothing" for a missing key.
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error returns the key, its value and the allowed values.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed is %s", p.Key, p.Value, p.Allowed)
}

// Problems lists every problem of a settings file.
type Problems []Problem

// Error returns the problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates a settings file. It returns the errors of Parse, or one
// if the file cannot be read.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	return Parse(raw)
}

// Parse parses and validates settings in JSON. It returns Problems if any key is
// unknown or missing, or has an invalid value.
func Parse(raw []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var object map[string]any
	if err := decoder.Decode(&object); err != nil {
		return Settings{}, errors.Wrap(err, "settings are not a JSON object")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Settings{}, errors.New("settings contain more than one JSON object")
	}
	flat := map[string]any{}
	flatten("", object, flat)
	return validate(flat)
}

// flatten adds the values of an object to flat. The key of a value in a nested
// object is its path, joined by dots, as in "capacity.processors".
func flatten(prefix string, object map[string]any, flat map[string]any) {
	for key, value := range object {
		if inner, ok := value.(map[string]any); ok {
			flatten(prefix+key+".", inner, flat)
			continue
		}
		flat[prefix+key] = value
	}
}

// validate returns the settings in flat, with the defaults of missing keys, or
// Problems sorted by key. It checks no other key if the role is invalid, since the role
// decides which keys are allowed.
func validate(flat map[string]any) (Settings, error) {
	var problems Problems
	// A missing role or one of another type becomes empty, which is rejected below.
	role, _ := flat["role"].(string)
	s := Settings{Role: Role(role)}
	if s.Role != RoleEntry && s.Role != RoleAgent {
		return s, Problems{{"role", formatValue(flat["role"]), "entry or agent"}}
	}
	for key, value := range flat {
		i := slices.IndexFunc(keys, func(k Key) bool { return k.Name == key && k.appliesTo(s.Role) })
		if i < 0 {
			problems = append(problems, Problem{key, formatValue(value), "one of " + strings.Join(keyNames(s.Role), ", ")})
		}
	}
	for _, k := range keys {
		if !k.appliesTo(s.Role) {
			continue
		}
		value, given := flat[k.Name]
		if !given {
			if k.Required {
				problems = append(problems, Problem{k.Name, "nothing", k.Allowed})
				continue
			}
			value = k.Default
		}
		if !k.set(&s, value) {
			problems = append(problems, Problem{k.Name, formatValue(value), k.Allowed})
		}
	}
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		problems = append(problems, Problem{"tls.key", formatValue(s.TLS.Key), "a PEM file if tls.certificate is set, otherwise empty"})
	}
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
	if len(problems) > 0 {
		return s, problems
	}
	return s, nil
}

// formatValue formats a value as JSON.
func formatValue(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	return string(raw)
}

// keyNames returns the names of the keys that a role has.
func keyNames(role Role) []string {
	var list []string
	for _, k := range keys {
		if k.appliesTo(role) {
			list = append(list, k.Name)
		}
	}
	return list
}

// isIPAndPort reports whether text is an IP address and a port. Host names are not
// allowed. The port is not checked beyond being present.
func isIPAndPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
