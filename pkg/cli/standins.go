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

// killedExit is the exit status of a backend server stand-in told to die.
const killedExit = 137

// BackendCmd runs a backend server stand-in from its settings file.
func BackendCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Run a backend server stand-in (leafs, slots, faults)",
		RunE: func(_ *cobra.Command, _ []string) error {
			s, err := settings.LoadBackend(path)
			if err != nil {
				return err
			}
			log := service.Logger("backend", s.Name, s.Zone)
			b, err := backend.New(s, log, reporter(s.Platform))
			if err != nil {
				return err
			}
			b.OnKill(func() { os.Exit(killedExit) })
			b.Start()
			return RunUntilSignal(log, b, nil)
		},
	}
	// --config names the stand-in's YAML settings (docs/OPERATIONS.md).
	cmd.Flags().StringVar(&path, "config", "backend.yaml", "backend server stand-in settings file (YAML)")
	return cmd
}

// reporter tells the platform stand-in of a backend server's state, as the
// platform would learn it from its own machines. Nil without a platform.
func reporter(addr string) func(wire.Instance) {
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

// PlatformCmd runs the platform stand-in from its settings file.
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
	// --config names the stand-in's YAML settings (docs/OPERATIONS.md).
	cmd.Flags().StringVar(&path, "config", "platform.yaml", "platform stand-in settings file (YAML)")
	return cmd
}
