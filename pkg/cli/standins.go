package cli

import (
	"context"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/standin/configservice"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// killedExitCode is the exit status of a backend server stand-in that executes
// a kill action. Shells report it for a process that SIGKILL ended (128+9).
const killedExitCode = 137

// BackendCmd runs a backend server stand-in with its settings file.
func BackendCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Run a backend server stand-in (simulates leafs, slots and faults)",
		RunE: func(_ *cobra.Command, _ []string) error {
			s, err := settings.LoadBackend(path)
			if err != nil {
				return err
			}
			log := service.Logger("backend", s.Name, s.Zone)
			b, err := backend.New(s, log, newReporter(s.Platform))
			if err != nil {
				return err
			}
			b.OnKill(func() { os.Exit(killedExitCode) })
			b.Start()
			return RunUntilSignal(log, b, nil)
		},
	}
	// --config is the YAML settings file of the stand-in (docs/OPERATIONS.md).
	cmd.Flags().StringVar(&path, "config", "backend.yaml", "backend server stand-in settings file (YAML)")
	return cmd
}

// newReporter returns a function that reports a backend server's state to the
// platform stand-in, because the stand-in does not observe its servers as the
// platform does. It returns nil if there is no platform.
func newReporter(addr string) func(wire.Instance) {
	if addr == "" {
		return nil
	}
	c, err := service.NewClient(2, time.Second)
	if err != nil {
		return nil
	}
	return func(inst wire.Instance) {
		_, _ = c.Do(context.Background(), "POST", "http://"+addr+wire.PathInstanceReport, nil, inst, nil, time.Now().Add(time.Second))
	}
}

// PlatformCmd runs the platform stand-in with its settings file.
func PlatformCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run the platform stand-in (configuration service and instance list)",
		RunE: func(_ *cobra.Command, _ []string) error {
			s, err := settings.LoadPlatform(path)
			if err != nil {
				return err
			}
			log := service.Logger("platform", "platform", "")
			p, err := configservice.New(s)
			if err != nil {
				return err
			}
			p.Start()
			log.WithField("addr", p.Addr()).Info("serving")
			return RunUntilSignal(log, p, nil)
		},
	}
	// --config is the YAML settings file of the stand-in (docs/OPERATIONS.md).
	cmd.Flags().StringVar(&path, "config", "platform.yaml", "platform stand-in settings file (YAML)")
	return cmd
}
