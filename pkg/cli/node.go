package cli

import (
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"github.com/indigoyoke/indigoyoke/pkg/discovery"
	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/gateway"
	"github.com/indigoyoke/indigoyoke/pkg/leafconn"
	"github.com/indigoyoke/indigoyoke/pkg/node"
	"github.com/indigoyoke/indigoyoke/pkg/oplog"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/platform"
)

// nodeFileEnv is the environment variable that holds the path of the settings
// file on the users' platform.
const nodeFileEnv = "INDIGOYOKE_NODE_FILE"

// platformAdapter returns the protocols of the users' platform.
func platformAdapter() node.Adapter {
	return node.Adapter{
		ReadyPath:     platform.PathReady,
		Source:        func(address string, log *oplog.Log) discovery.Source { return platform.NewStoreClient(address, log) },
		Leafs:         func(pool *leafconn.Pool) gateway.LeafClient { return platform.NewLeafClient(pool) },
		CallerHandler: func(g *gateway.Gateway, log *oplog.Log) http.Handler { return platform.NewCallerHandler(g, log) },
		PeerCodec:     platform.PeerCodec{},
	}
}

// NodeCmd runs an entry instance on the users' platform.
func NodeCmd() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Serve callers of the users' platform (settings: $" + nodeFileEnv + ")",
		RunE: func(_ *cobra.Command, _ []string) error {
			signals := node.Signals()
			n, err := node.New(nodeSettingsPath(path), platformAdapter())
			if err != nil {
				return err
			}
			n.Run(signals)
			return nil
		},
	}
	// --config overrides the environment variable.
	cmd.Flags().StringVar(&path, "config", "", "settings file (YAML)")
	return cmd
}

func nodeSettingsPath(path string) string {
	if path != "" {
		return path
	}
	return os.Getenv(nodeFileEnv)
}

// CheckConfigCmd checks the settings file of a node without starting the node.
func CheckConfigCmd() *cobra.Command {
	return &cobra.Command{
		Use:   "check-config FILE",
		Short: "Check a node's settings file; an invalid field is named and the exit code is 1",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := settings.LoadNode(args[0]); err != nil {
				return err
			}
			cmd.Println(errcode.OK.String() + " " + args[0])
			return nil
		},
	}
}
