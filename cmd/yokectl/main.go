// Command yokectl is the operator and benchmark tool of indigoyoke. It submits
// configuration patches, prints the state of any process, explains a request
// from the logs, sends queries and load, runs the backend server and platform
// stand-ins, and writes the settings of the demo layout.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/indigoyoke/indigoyoke/pkg/cli"
)

func main() {
	root := &cobra.Command{Use: "yokectl", Short: "indigoyoke operator and benchmark tool", SilenceUsage: true, Version: cli.Version()}
	root.AddCommand(
		cli.BackendCmd(),
		cli.PlatformCmd(),
		cli.PatchCmd(),
		cli.EvacuateCmd(),
		cli.DumpCmd(),
		cli.ControlCmd(),
		cli.SearchCmd(),
		cli.HoldCmd(),
		cli.DemoCmd(),
		cli.LoadCmd(),
		cli.BenchCmd(),
		cli.ExplainCmd(),
	)
	if err := root.Execute(); err != nil {
		os.Exit(1)
	}
}
