package errcode

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestErrorsTableMatchesDocs keeps the published table in docs/ERRORS.md
// equal, row for row, to the codes in this package.
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
		nr := "no"
		if c.NotRun() {
			nr = "yes"
		}
		want = append(want, fmt.Sprintf("| %s | %s | %s | %d |", c, c.Name(), nr, c.HTTPStatus()))
	}
	require.Equal(t, want, rows)
}

func TestCodeTextRoundTrip(t *testing.T) {
	for _, c := range All() {
		text, err := c.MarshalText()
		require.NoError(t, err)
		var back Code
		require.NoError(t, back.UnmarshalText(text))
		require.Equal(t, c, back)
	}
	require.Error(t, new(Code).UnmarshalText([]byte("E42")))
}
