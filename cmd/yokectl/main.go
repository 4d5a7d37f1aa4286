// Command yokectl is the operator and bench tool of indigoyoke: it submits
// configuration patches, dumps any process's state, sends queries, runs the
// backend server and platform stand-ins, writes the demo layout and drives
// load.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/indigoyoke/indigoyoke/pkg/cli"
)

func main() {
	root := &cobra.Command{Use: "yokectl", Short: "indigoyoke operator and bench tool", SilenceUsage: true, Version: cli.Version()}
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
