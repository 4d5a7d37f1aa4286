package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"gopkg.in/yaml.v3"

	"github.com/indigoyoke/indigoyoke/pkg/caller"
	"github.com/indigoyoke/indigoyoke/pkg/errcode"
	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// opTimeout is the timeout of one call of an operator command.
const opTimeout = 5 * time.Second

// opClient returns the HTTP client of the operator commands.
func opClient() (*service.Client, error) { return service.NewClient(2, time.Second) }

// PatchCmd submits a patch file, which applies to one version of the configuration.
func PatchCmd() *cobra.Command {
	var addr, path string
	cmd := &cobra.Command{
		Use:   "patch",
		Short: "Submit a configuration patch (YAML: base_version, ops) to the configuration service",
		RunE: func(cmd *cobra.Command, _ []string) error {
			raw, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			var p topology.Patch
			dec := yaml.NewDecoder(bytes.NewReader(raw))
			dec.KnownFields(true)
			if err := dec.Decode(&p); err != nil {
				return fmt.Errorf("%s: %w", path, err)
			}
			c, err := opClient()
			if err != nil {
				return err
			}
			return submitPatch(cmd, c, addr, p)
		},
	}
	// --platform is the host:port of the configuration service; --file is the patch.
	cmd.Flags().StringVar(&addr, "platform", "127.0.0.1:17100", "configuration service host:port")
	cmd.Flags().StringVar(&path, "file", "patch.yaml", "patch file (YAML)")
	return cmd
}

// submitPatch sends a patch to the configuration service and prints the result. A refused patch is
// an error.
func submitPatch(cmd *cobra.Command, c *service.Client, addr string, p topology.Patch) error {
	var res wire.PatchResult
	_, err := c.Do(context.Background(), "POST", "http://"+addr+wire.PathConfigPatch, nil, p, &res, time.Now().Add(opTimeout))
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "%s version=%d %s\n", res.Code, res.Version, res.Message)
	if res.Code != errcode.OK {
		return fmt.Errorf("patch refused: %s", res.Code)
	}
	return nil
}

// EvacuateCmd evacuates an availability zone, whose backend servers then receive no new requests, or
// readmits it.
func EvacuateCmd() *cobra.Command {
	var addr string
	var readmit bool
	cmd := &cobra.Command{
		Use:   "evacuate ZONE",
		Short: "Stop new requests to the backend servers of an availability zone until it is readmitted",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := opClient()
			if err != nil {
				return err
			}
			var current wire.ConfigReply
			if _, err := c.Do(context.Background(), "GET", "http://"+addr+wire.PathConfig, nil, nil, &current, time.Now().Add(opTimeout)); err != nil {
				return err
			}
			op := topology.Op{Kind: topology.OpEvacuate, Zone: args[0]}
			if readmit {
				op.Kind = topology.OpReadmit
			}
			return submitPatch(cmd, c, addr, topology.Patch{BaseVersion: current.Version, Ops: []topology.Op{op}})
		},
	}
	// --platform is the host:port of the configuration service; --readmit ends the evacuation.
	cmd.Flags().StringVar(&addr, "platform", "127.0.0.1:17100", "configuration service host:port")
	cmd.Flags().BoolVar(&readmit, "readmit", false, "end the evacuation of the zone")
	return cmd
}

// DumpCmd prints the state dump of any process.
func DumpCmd() *cobra.Command {
	var addr string
	cmd := &cobra.Command{
		Use:   "dump",
		Short: "Print a process's state (GET /debug/state)",
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := opClient()
			if err != nil {
				return err
			}
			var state json.RawMessage
			if _, err := c.Do(context.Background(), "GET", "http://"+addr+service.PathState, nil, nil, &state, time.Now().Add(opTimeout)); err != nil {
				return err
			}
			var pretty bytes.Buffer
			_ = json.Indent(&pretty, state, "", "  ")
			fmt.Fprintln(cmd.OutOrStdout(), pretty.String())
			return nil
		},
	}
	// --addr is the host:port of the process.
	cmd.Flags().StringVar(&addr, "addr", "127.0.0.1:17100", "process host:port")
	return cmd
}

// ControlCmd sends a fault injection or another control action to a stand-in.
func ControlCmd() *cobra.Command {
	var addr, body string
	cmd := &cobra.Command{
		Use:   "control",
		Short: `Send a control action to a stand-in, e.g. --body '{"action":"slow","delay_ms":300}'`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := opClient()
			if err != nil {
				return err
			}
			var out json.RawMessage
			if _, err := c.Do(context.Background(), "POST", "http://"+addr+"/control", nil, json.RawMessage(body), &out, time.Now().Add(opTimeout)); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), string(out))
			return nil
		},
	}
	// --addr is the host:port of the stand-in; --body is the control action in JSON.
	cmd.Flags().StringVar(&addr, "addr", "", "stand-in host:port")
	cmd.Flags().StringVar(&body, "body", `{"action":"heal"}`, "control action (JSON)")
	return cmd
}

// clientFlags holds the flags of the commands that send requests as a client
// application.
type clientFlags struct {
	entry, app, key, deployment, index string
	timeoutMs                          int
}

func (f *clientFlags) add(cmd *cobra.Command) {
	// --entry is the host:port of the entry instance; --app and --key are the
	// credentials of the client application; --deployment and --index select
	// what is queried.
	cmd.Flags().StringVar(&f.entry, "entry", "127.0.0.1:17131", "entry instance host:port")
	cmd.Flags().StringVar(&f.app, "app", "", "client application ID")
	cmd.Flags().StringVar(&f.key, "key", "", "client application key")
	cmd.Flags().StringVar(&f.deployment, "deployment", "", "brand deployment")
	cmd.Flags().StringVar(&f.index, "index", "", "index")
	cmd.Flags().IntVar(&f.timeoutMs, "timeout-ms", 0, "caller's timeout in ms (0: the default of the entry instance)")
}

// SearchCmd sends one search and prints the answer.
func SearchCmd() *cobra.Command {
	var f clientFlags
	var text string
	var limit int
	cmd := &cobra.Command{
		Use:   "search",
		Short: "Send one search to an entry instance and print the answer with its coverage",
		RunE: func(cmd *cobra.Command, _ []string) error {
			cl, err := caller.New(f.app, f.key)
			if err != nil {
				return err
			}
			req := wire.SearchRequest{Deployment: f.deployment, Index: f.index, Text: text, Limit: limit, TimeoutMs: f.timeoutMs}
			a, err := cl.Search(context.Background(), f.entry, req)
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), caller.Render(a))
			return nil
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&text, "text", "", "search text")
	cmd.Flags().IntVar(&limit, "limit", 0, "maximum number of hits per shard (0: all)")
	return cmd
}

// HoldCmd sends one hold, a request that is not repeatable, and prints the answer.
func HoldCmd() *cobra.Command {
	var f clientFlags
	var shard, item, key string
	cmd := &cobra.Command{
		Use:   "hold",
		Short: "Send one hold, which is not repeatable (runs at most once per --idempotency-key)",
		RunE: func(cmd *cobra.Command, _ []string) error {
			cl, err := caller.New(f.app, f.key)
			if err != nil {
				return err
			}
			req := wire.HoldRequest{Deployment: f.deployment, Index: f.index, Shard: shard, Item: item, IdempotencyKey: key, TimeoutMs: f.timeoutMs}
			a, err := cl.Hold(context.Background(), f.entry, req)
			if err != nil {
				return err
			}
			fmt.Fprint(cmd.OutOrStdout(), caller.Render(a))
			return nil
		},
	}
	f.add(cmd)
	cmd.Flags().StringVar(&shard, "shard", "", "shard that owns the item")
	cmd.Flags().StringVar(&item, "item", "", "item to hold")
	cmd.Flags().StringVar(&key, "idempotency-key", "", "idempotency key (required)")
	return cmd
}
