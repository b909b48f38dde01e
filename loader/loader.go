// Package loader reads and checks the settings of a process. Each key is
// described once, in a table that also gives the documentation its rows.
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

// Role is the kind of process that settings are for.
type Role string

// Roles.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// TLS names the files of a process's keys. Empty means plain connections.
type TLS struct {
	// Certificate and Key are PEM files of this process.
	Certificate string
	Key         string
	// Authority is a PEM file of the certificates that are trusted.
	Authority string
}

// Settings are the checked settings of an entry or an agent.
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
}

// Problem is one key that is not allowed.
type Problem struct {
	Key     string `json:"key"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error names the key, the value and what is allowed.
func (p Problem) Error() string {
	return fmt.Sprintf("%s: %s is not allowed; allowed is %s", p.Key, p.Value, p.Allowed)
}

// Problems is every key that is not allowed.
type Problems []Problem

// Error lists the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.Error())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks the settings in a file.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "settings")
	}
	return Parse(raw)
}

// Parse reads and checks settings. It returns Problems when any key is not
// allowed.
func Parse(raw []byte) (Settings, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var given map[string]any
	if err := decoder.Decode(&given); err != nil {
		return Settings{}, errors.Wrap(err, "settings are not a JSON object")
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Settings{}, errors.New("settings hold more than one JSON object")
	}
	flat := map[string]any{}
	flatten("", given, flat)
	return check(flat)
}

func flatten(prefix string, from map[string]any, into map[string]any) {
	for key, value := range from {
		if inner, ok := value.(map[string]any); ok {
			flatten(prefix+key+".", inner, into)
			continue
		}
		into[prefix+key] = value
	}
}

func check(flat map[string]any) (Settings, error) {
	var problems Problems
	role, _ := flat["role"].(string)
	s := Settings{Role: Role(role)}
	if s.Role != RoleEntry && s.Role != RoleAgent {
		return s, Problems{{"role", show(flat["role"]), "entry or agent"}}
	}
	for key, value := range flat {
		i := slices.IndexFunc(keys, func(k Key) bool { return k.Name == key && k.of(s.Role) })
		if i < 0 {
			problems = append(problems, Problem{key, show(value), "one of " + strings.Join(names(s.Role), ", ")})
		}
	}
	for _, k := range keys {
		if !k.of(s.Role) {
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
			problems = append(problems, Problem{k.Name, show(value), k.Allowed})
		}
	}
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		problems = append(problems, Problem{"tls.key", show(s.TLS.Key), "a key together with tls.certificate"})
	}
	slices.SortFunc(problems, func(a, b Problem) int { return strings.Compare(a.Key, b.Key) })
	if len(problems) > 0 {
		return s, problems
	}
	return s, nil
}

func show(value any) string {
	raw, err := json.Marshal(value)
	if err != nil {
		return "?"
	}
	return string(raw)
}

func names(role Role) []string {
	var list []string
	for _, k := range keys {
		if k.of(role) {
			list = append(list, k.Name)
		}
	}
	return list
}

func ipAndPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
