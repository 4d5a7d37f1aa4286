package errcode

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrorsTableMatchesDocs checks that the published table in docs/ERRORS.md equals the codes in
// this package, row for row.
func TestErrorsTableMatchesDocs(t *testing.T) {
	raw, err := os.ReadFile("../../docs/ERRORS.md")
	require.NoError(t, err)
	var rows []string
	for _, line := range strings.Split(string(raw), "\n") {
		if strings.HasPrefix(line, "| IY") {
			rows = append(rows, line)
		}
	}
	var want []string
	for _, c := range All() {
		notRun := "no"
		if c.NotRun() {
			notRun = "yes"
		}
		want = append(want, fmt.Sprintf("| %s | %s | %s | %d |", c, c.Name(), notRun, c.HTTPStatus()))
	}
	require.Equal(t, want, rows)
}

func TestCodeTextRoundTrip(t *testing.T) {
	for _, c := range All() {
		text, err := c.MarshalText()
		require.NoError(t, err)
		var decoded Code
		require.NoError(t, decoded.UnmarshalText(text))
		require.Equal(t, c, decoded)
	}
	require.Error(t, new(Code).UnmarshalText([]byte("E42")))
}
