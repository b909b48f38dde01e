// Package parser reads the operators' table from CSV as a spreadsheet saves it,
// writes it back, and compares two tables.
package parser

import (
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"strings"

	"github.com/plantainrail/plantainrail"
)

const (
	maxRows  = 2000
	maxBytes = 1 << 20
	// byteOrderMark is what spreadsheets put in front of UTF-8 CSV.
	byteOrderMark = "\xef\xbb\xbf"
)

// CellError is a cell that is not allowed.
type CellError struct {
	// Row counts from 1 for the first row below the header; 0 is the header.
	Row     int    `json:"row"`
	Column  string `json:"column"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error names the row, the column, the value and what is allowed.
func (e *CellError) Error() string {
	return fmt.Sprintf("row %d, column %s: %q is not allowed; allowed is %s", e.Row, e.Column, e.Value, e.Allowed)
}

// CellErrors is every cell of a table that is not allowed.
type CellErrors []*CellError

// Error lists the errors, one a line.
func (e CellErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, c := range e {
		lines = append(lines, c.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse reads a table. It returns CellErrors when any cell is not allowed;
// nothing is accepted in part.
func Parse(raw []byte) (plantainrail.Table, error) {
	if len(raw) > maxBytes {
		return plantainrail.Table{}, CellErrors{{0, "file", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", maxBytes)}}
	}
	p, err := newReader(raw)
	if err != nil {
		return plantainrail.Table{}, err
	}
	return p.rows()
}

type reader struct {
	csv    *csv.Reader
	header []string
	errs   CellErrors
}

func newReader(raw []byte) (*reader, error) {
	raw = bytes.TrimPrefix(raw, []byte(byteOrderMark))
	r := csv.NewReader(bytes.NewReader(raw))
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	if line, _, _ := bytes.Cut(raw, []byte("\n")); bytes.Count(line, []byte(";")) > bytes.Count(line, []byte(",")) {
		r.Comma = ';'
	}
	header, err := r.Read()
	if err != nil {
		return nil, CellErrors{{0, "header", "", "a first row with the names of the columns"}}
	}
	p := &reader{csv: r}
	seen := map[string]bool{}
	for _, name := range header {
		name = strings.ToLower(strings.TrimSpace(name))
		if _, ok := findColumn(name); !ok {
			p.errs = append(p.errs, &CellError{0, name, name, "one of " + strings.Join(ColumnNames(), ", ")})
		}
		if seen[name] {
			p.errs = append(p.errs, &CellError{0, name, name, "each column once"})
		}
		seen[name] = true
		p.header = append(p.header, name)
	}
	if !seen["kind"] {
		p.errs = append(p.errs, &CellError{0, "kind", "", "a column named kind"})
	}
	if len(p.errs) > 0 {
		return nil, p.errs
	}
	return p, nil
}

func (p *reader) rows() (plantainrail.Table, error) {
	var t plantainrail.Table
	names := map[string]bool{}
	for row := 1; ; row++ {
		cells, err := p.csv.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			p.fail(row, "row", err.Error(), "a row of CSV")
			break
		}
		if blank(cells) {
			continue
		}
		k := p.kind(row, cells)
		if names[k.Name] {
			p.fail(row, "kind", k.Name, "a name that no other row has")
		}
		names[k.Name] = true
		t.Kinds = append(t.Kinds, k)
		if len(t.Kinds) > maxRows {
			p.fail(row, "row", "", fmt.Sprintf("at most %d rows", maxRows))
			break
		}
	}
	if len(p.errs) > 0 {
		return plantainrail.Table{}, p.errs
	}
	return t, nil
}

func blank(cells []string) bool {
	return strings.TrimSpace(strings.Join(cells, "")) == ""
}

func (p *reader) fail(row int, column, value, allowed string) {
	p.errs = append(p.errs, &CellError{row, column, value, allowed})
}

func (p *reader) kind(row int, cells []string) plantainrail.Kind {
	k := defaultKind()
	if len(cells) > len(p.header) {
		p.fail(row, "row", strings.Join(cells[len(p.header):], ","), "as many cells as the header has columns")
		return k
	}
	for i, cell := range cells {
		cell = strings.TrimSpace(cell)
		c, _ := findColumn(p.header[i])
		if cell == "" && c.name != "kind" {
			continue
		}
		if !c.set(&k, cell) {
			p.fail(row, c.name, cell, c.allowed)
		}
	}
	if k.Name == "" {
		p.fail(row, "kind", "", findMust("kind").allowed)
	}
	return k
}

func defaultKind() plantainrail.Kind {
	return plantainrail.Kind{
		Class: plantainrail.ClassLatencyCritical, Weight: 1, Queue: 16, DeadlineMS: 10_000, QuietNoise: -1, QuietPower: -1, QuietTasks: -1,
		Resources: plantainrail.Resources{Processors: 1000, Memory: 256},
	}
}

// Format writes a table as CSV with every column.
func Format(t plantainrail.Table) []byte {
	var out bytes.Buffer
	w := csv.NewWriter(&out)
	_ = w.Write(ColumnNames())
	for _, k := range t.Kinds {
		_ = w.Write(row(k))
	}
	w.Flush()
	return out.Bytes()
}

func row(k plantainrail.Kind) []string {
	cells := make([]string, 0, len(columns))
	for _, c := range columns {
		cells = append(cells, c.get(k))
	}
	return cells
}

// Change is one difference between two tables.
type Change struct {
	Kind   string `json:"kind"`
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Diff lists what changes from old to new, in the order of the tables' rows.
func Diff(older, newer plantainrail.Table) []Change {
	var changes []Change
	for _, k := range older.Kinds {
		if _, ok := newer.Kind(k.Name); !ok {
			changes = append(changes, Change{k.Name, "kind", k.Name, ""})
		}
	}
	for _, k := range newer.Kinds {
		old, ok := older.Kind(k.Name)
		if !ok {
			changes = append(changes, Change{k.Name, "kind", "", k.Name})
			continue
		}
		changes = append(changes, diffRow(old, k)...)
	}
	return changes
}

func diffRow(older, newer plantainrail.Kind) []Change {
	var changes []Change
	for _, c := range columns {
		if was, is := c.get(older), c.get(newer); was != is {
			changes = append(changes, Change{newer.Name, c.name, was, is})
		}
	}
	return changes
}
