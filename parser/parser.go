// Package parser parses and formats the operators' table of kinds as CSV, in the
// variants that spreadsheets save, and compares two tables. The entries, the agents
// and the table commands use it. It performs no I/O.
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
	maxRows = 2000
	// maxTableBytes bounds the CSV text of a table.
	maxTableBytes = 1 << 20
	// byteOrderMark is written by some spreadsheets in front of UTF-8 CSV.
	byteOrderMark = "\xef\xbb\xbf"
)

// CellError describes an invalid cell, row, header or file.
type CellError struct {
	// Row is 1 for the first row below the header and 0 for the header or the file.
	// Empty lines are not counted.
	Row int `json:"row"`
	// Column is the name of the column, or "row", "header" or "file" if the error is
	// not about a single cell.
	Column  string `json:"column"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error returns the row, the column, the value and the allowed values.
func (e *CellError) Error() string {
	return fmt.Sprintf("row %d, column %s: %q is not allowed; allowed is %s", e.Row, e.Column, e.Value, e.Allowed)
}

// CellErrors lists every error of a table.
type CellErrors []*CellError

// Error returns the errors, one per line.
func (e CellErrors) Error() string {
	lines := make([]string, 0, len(e))
	for _, c := range e {
		lines = append(lines, c.Error())
	}
	return strings.Join(lines, "\n")
}

// Parse parses a table, whose revision is then 0. It returns CellErrors and no table if
// any cell is invalid. Cells are separated by semicolons if the header has more of them
// than commas.
func Parse(raw []byte) (plantainrail.Table, error) {
	if len(raw) > maxTableBytes {
		return plantainrail.Table{}, CellErrors{{0, "file", fmt.Sprintf("%d bytes", len(raw)), fmt.Sprintf("at most %d bytes", maxTableBytes)}}
	}
	p, err := newTableReader(raw)
	if err != nil {
		return plantainrail.Table{}, err
	}
	return p.readTable()
}

// tableReader reads one table and collects its errors.
type tableReader struct {
	csv *csv.Reader
	// header holds the column names in lower case.
	header []string
	errs   CellErrors
}

// newTableReader reads the header. It returns CellErrors if a column is unknown or
// duplicate, or the column "kind" is missing.
func newTableReader(raw []byte) (*tableReader, error) {
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
	p := &tableReader{csv: r}
	seen := map[string]bool{}
	for _, name := range header {
		name = strings.ToLower(strings.TrimSpace(name))
		if _, ok := lookUpColumn(name); !ok {
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

// readTable reads the rows below the header. Rows with only empty cells are skipped but
// counted, whereas the CSV reader omits empty lines, which are not counted.
func (p *tableReader) readTable() (plantainrail.Table, error) {
	var t plantainrail.Table
	names := map[string]bool{}
	for row := 1; ; row++ {
		cells, err := p.csv.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			p.addError(row, "row", err.Error(), "a row of CSV")
			break
		}
		if isBlank(cells) {
			continue
		}
		k := p.parseRow(row, cells)
		if names[k.Name] {
			p.addError(row, "kind", k.Name, "a name that no other row has")
		}
		names[k.Name] = true
		t.Kinds = append(t.Kinds, k)
		if len(t.Kinds) > maxRows {
			p.addError(row, "row", "", fmt.Sprintf("at most %d rows", maxRows))
			break
		}
	}
	if len(p.errs) > 0 {
		return plantainrail.Table{}, p.errs
	}
	return t, nil
}

func isBlank(cells []string) bool {
	return strings.TrimSpace(strings.Join(cells, "")) == ""
}

func (p *tableReader) addError(row int, column, value, allowed string) {
	p.errs = append(p.errs, &CellError{row, column, value, allowed})
}

// parseRow parses one row and adds its errors to p.errs. Empty and missing cells
// keep their default; a row without a name is an error.
func (p *tableReader) parseRow(row int, cells []string) plantainrail.Kind {
	k := defaultKind()
	if len(cells) > len(p.header) {
		p.addError(row, "row", strings.Join(cells[len(p.header):], ","), "as many cells as the header has columns")
		return k
	}
	for i, cell := range cells {
		cell = strings.TrimSpace(cell)
		// The column exists, since newTableReader has checked the header.
		c, _ := lookUpColumn(p.header[i])
		if cell == "" && c.name != "kind" {
			continue
		}
		if !c.set(&k, cell) {
			p.addError(row, c.name, cell, c.allowed)
		}
	}
	if k.Name == "" {
		p.addError(row, "kind", "", columnByName("kind").allowed)
	}
	return k
}

// defaultKind returns the values that empty cells stand for.
func defaultKind() plantainrail.Kind {
	return plantainrail.Kind{
		Class: plantainrail.ClassLatencyCritical, Weight: 1, MaxQueued: 16, DeadlineMS: 10_000, QuietNoise: -1, QuietPower: -1, QuietTasks: -1,
		Resources: plantainrail.Resources{Processors: 1000, Memory: 256},
	}
}

// Format returns a table as CSV with every column.
func Format(t plantainrail.Table) []byte {
	var out bytes.Buffer
	// Writing to a buffer does not fail.
	w := csv.NewWriter(&out)
	_ = w.Write(ColumnNames())
	for _, k := range t.Kinds {
		_ = w.Write(formatRow(k))
	}
	w.Flush()
	return out.Bytes()
}

func formatRow(k plantainrail.Kind) []string {
	cells := make([]string, 0, len(columns))
	for _, c := range columns {
		cells = append(cells, c.get(k))
	}
	return cells
}

// Change is one cell that differs between two tables. An added or removed kind is
// one change of its column "kind", with an empty Old or New.
type Change struct {
	Kind   string `json:"kind"`
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Diff lists the changes from the older to the newer table: first the removed
// kinds, then the added and changed ones, each in the order of their rows.
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

// diffRow lists the cells that differ between two rows of the same kind.
func diffRow(older, newer plantainrail.Kind) []Change {
	var changes []Change
	for _, c := range columns {
		if before, after := c.get(older), c.get(newer); before != after {
			changes = append(changes, Change{newer.Name, c.name, before, after})
		}
	}
	return changes
}
