package cli

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"github.com/indigoyoke/indigoyoke/pkg/demo"
)

// DemoCmd writes the settings files of the embedded default layout.
func DemoCmd() *cobra.Command {
	var dir, user string
	var basePort, shards int
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Write the settings files of the embedded default installation for one user",
		RunE: func(cmd *cobra.Command, _ []string) error {
			port := basePort
			next := func() string { port++; return "127.0.0.1:" + strconv.Itoa(port-1) }
			l, err := demo.BuildLayout(demo.User(user), shards, next)
			if err != nil {
				return err
			}
			if err := os.MkdirAll(dir, 0o755); err != nil {
				return err
			}
			if err := writeYAML(dir, "platform.yaml", l.Platform); err != nil {
				return err
			}
			for _, b := range l.Backends {
				if err := writeYAML(dir, "backend-"+b.Name+".yaml", b); err != nil {
					return err
				}
			}
			var entries []string
			for _, e := range l.Entries {
				entries = append(entries, e.Listen)
				if err := writeYAML(dir, "entry-"+e.Name+".yaml", e); err != nil {
					return err
				}
			}
			fmt.Fprintf(cmd.OutOrStdout(), "platform=%s entries=%s\n", l.Platform.Listen, strings.Join(entries, ","))
			return nil
		},
	}
	// --dir is the output directory; --user is lipovec or lakeshore;
	// --base-port is the first of the consecutive loopback ports.
	cmd.Flags().StringVar(&dir, "dir", "demo", "directory for the settings files")
	cmd.Flags().StringVar(&user, "user", string(demo.Lipovec), "lipovec or lakeshore")
	// --shards sets the size of the first index, to measure the cost of fan-out.
	cmd.Flags().IntVar(&shards, "shards", 0, "number of shards of the first index (0: the default)")
	cmd.Flags().IntVar(&basePort, "base-port", 17100, "first loopback port")
	return cmd
}

// writeYAML writes v as a YAML file of dir.
func writeYAML(dir, name string, v any) error {
	raw, err := yaml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, name), raw, 0o644)
}
