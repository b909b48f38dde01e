package parser

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/plantainrail/plantainrail"
)

// TestInvalidCells checks the first error of each invalid table. Rows count from 1
// below the header.
func TestInvalidCells(t *testing.T) {
	cases := []struct {
		name, csv string
		want      CellError
	}{
		{"weight out of range", "kind,weight\na,1001\n", CellError{1, "weight", "1001", "a whole number from 1 to 1000"}},
		{"unknown class", "kind,class\na,fast\n", CellError{1, "class", "fast", "latency-critical or batch"}},
		{"duplicate name", "kind\na\na\n", CellError{2, "kind", "a", "a name that no other row has"}},
		{"no name", "kind,weight\n,4\n", CellError{1, "kind", "", columnByName("kind").allowed}},
		{"bad hours", "kind,quiet_hours\na,8-12\n", CellError{1, "quiet_hours", "8-12", "hours in UTC as HH:MM-HH:MM"}},
		{"bad quota", "kind,quotas\na,parks\n", CellError{1, "quotas", "parks", columnByName("quotas").allowed}},
		{"cells beyond the header", "kind\na,b\n", CellError{1, "row", "b", "as many cells as the header has columns"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse([]byte(c.csv))
			var cells CellErrors
			assert.Assert(t, errors.As(err, &cells), "%v", err)
			assert.DeepEqual(t, *cells[0], c.want)
		})
	}
}

// TestSpreadsheetFormats checks that the variants of CSV that spreadsheets save are
// parsed as the same single row.
func TestSpreadsheetFormats(t *testing.T) {
	for name, csv := range map[string]string{
		"byte order mark": "\xef\xbb\xbfkind,weight\na,4\n", "semicolons": "kind;weight\na;4\n",
		"blank rows": "kind,weight\n,\na,4\n\n", "short row": "kind,weight,queue\na,4\n", "windows line endings": "kind,weight\r\na,4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			table, err := Parse([]byte(csv))
			assert.NilError(t, err)
			assert.Equal(t, len(table.Kinds), 1)
			assert.Equal(t, table.Kinds[0].Weight, 4)
		})
	}
}

// FuzzParse checks that Parse does not panic, and that a table that it accepts is
// the same after Format and another Parse.
func FuzzParse(f *testing.F) {
	f.Add([]byte("kind,path,quiet_hours,quiet_tasks,quotas\nrota,/r,22:00-06:30,3,a=1 b=2\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		table, err := Parse(raw)
		if err != nil {
			return
		}
		again, err := Parse(Format(table))
		assert.NilError(t, err)
		assert.Equal(t, len(Diff(table, again)), 0)
	})
}

func ExampleDiff() {
	older, _ := Parse([]byte("kind,weight\nvisit-match,5\n"))
	newer, _ := Parse([]byte("kind,weight\nvisit-match,8\nrota-rebuild,1\n"))
	for _, c := range Diff(older, newer) {
		fmt.Printf("%s %s: %q to %q\n", c.Kind, c.Column, c.Old, c.New)
	}
	// Output:
	// visit-match weight: "5" to "8"
	// rota-rebuild kind: "" to "rota-rebuild"
}

func ExampleParse() {
	_, err := Parse([]byte("kind,weight\nvisit-match,heavy\n"))
	fmt.Println(err)
	table, _ := Parse([]byte("kind,weight\nvisit-match,5\n"))
	fmt.Println(table.Kinds[0].Weight, table.Kinds[0].Class == plantainrail.ClassLatencyCritical)
	// Output:
	// row 1, column weight: "heavy" is not allowed; allowed is a whole number from 1 to 1000
	// 5 true
}
