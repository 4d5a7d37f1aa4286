// Command yoke runs an indigoyoke entry instance.
//
//	yoke serve --config entry.yaml   run in an installation of the project itself
//	yoke node                        run on the users' platform
//	yoke check-config FILE           check a settings file of yoke node
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/indigoyoke/indigoyoke/pkg/cli"
	"github.com/indigoyoke/indigoyoke/pkg/entry"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
)

func main() {
	root := &cobra.Command{Use: "yoke", Short: "indigoyoke entry instance", SilenceUsage: true, Version: cli.Version()}
	root.AddCommand(serveCmd(), cli.NodeCmd(), cli.CheckConfigCmd())
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}

func serveCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve callers: authenticate them, fan out to every shard, answer with the coverage",
		RunE: func(_ *cobra.Command, _ []string) error {
			s, err := settings.LoadEntry(path)
			if err != nil {
				return err
			}
			log := service.Logger("entry", s.Name, s.Zone)
			e, err := entry.New(s, log)
			if err != nil {
				return fmt.Errorf("start entry instance: %w", err)
			}
			e.Start()
			return cli.RunUntilSignal(log, e, nil)
		},
	}
	// --config is the YAML settings file of the entry instance (docs/OPERATIONS.md).
	cmd.Flags().StringVar(&path, "config", "entry.yaml", "entry instance settings file (YAML)")
	return cmd
}
