package loader

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// entrySettings are the required settings of an entry, without the closing brace.
const entrySettings = `{"role": "entry", "name": "e", "zone": "a", "listen": "127.0.0.1:1", "log_service": "http://127.0.0.1:2"`

// TestProblems checks which key and value the first problem of invalid settings
// names. Values are shown as JSON.
func TestProblems(t *testing.T) {
	cases := []struct {
		name, settings, key, value string
	}{
		{"unknown key", entrySettings + `, "colour": "red"}`, "colour", `"red"`},
		{"wrong type", entrySettings + `, "log_level": 3}`, "log_level", "3"},
		{"name instead of an IP address", entrySettings + `, "address": "localhost:1"}`, "address", `"localhost:1"`},
		{"nested key", entrySettings + `, "tls": {"certificate": "c.pem"}}`, "tls.key", `""`},
		{"short token", entrySettings + `, "operator_token": "short"}`, "operator_token", `"short"`},
		{"no role", `{}`, "role", "null"},
		{"key of the other role", entrySettings + `, "max_sessions": 3}`, "max_sessions", "3"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.settings))
			var problems Problems
			assert.Assert(t, errors.As(err, &problems), "%v", err)
			assert.Equal(t, problems[0].Key, c.key)
			assert.Equal(t, problems[0].Value, c.value)
		})
	}
}

func TestDefaults(t *testing.T) {
	s, err := Parse([]byte(`{"role": "agent", "name": "v", "zone": "a", "listen": "127.0.0.1:1", "entries": ["127.0.0.1:2"]}`))
	assert.NilError(t, err)
	assert.Equal(t, s.MaxSessions, defaultMaxSessions)
	assert.Equal(t, s.LogLevel, "info")
}
