package settings

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/errcode"
)

// TestInvalidEntrySettingIsRefusedByFieldName guards against a process that starts with an invalid
// settings file: loading must fail with IY5001 and the name of the field.
func TestInvalidEntrySettingIsRefusedByFieldName(t *testing.T) {
	cases := []struct {
		name, yaml, field string
	}{
		{"missing zone", "name: e1\nlisten: 127.0.0.1:1\nplatform: 127.0.0.1:2\n", "setting zone"},
		{"bad listen", "name: e1\nzone: z\nlisten: nowhere\nplatform: 127.0.0.1:2\n", "setting listen"},
		{"negative workers", "name: e1\nzone: z\nlisten: 127.0.0.1:1\nplatform: 127.0.0.1:2\nworkers: -1\n", "setting workers"},
		{"unknown field", "name: e1\nzone: z\nlisten: 127.0.0.1:1\nplatform: 127.0.0.1:2\nworkerz: 3\n", "workerz"},
		{"max below default", "name: e1\nzone: z\nlisten: 127.0.0.1:1\nplatform: 127.0.0.1:2\nmax_timeout_ms: 10\n", "setting max_timeout_ms"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "entry.yaml")
			require.NoError(t, os.WriteFile(path, []byte(tc.yaml), 0o644))
			_, err := LoadEntry(path)
			require.Error(t, err)
			require.Equal(t, errcode.SettingsInvalid, errcode.Of(err))
			require.Contains(t, err.Error(), tc.field)
		})
	}
}

func TestUnknownBackendLeafDatasetIsRefused(t *testing.T) {
	s := Backend{Name: "b", Zone: "z", Listen: "127.0.0.1:0", Leafs: []BackendLeafSpec{{Index: "i", Shards: []string{"s01"}, Snapshots: []int64{1}, Dataset: "cats"}}}
	err := s.Check()
	require.Equal(t, errcode.SettingsInvalid, errcode.Of(err))
	require.Contains(t, err.Error(), "leafs[0].dataset")
}
