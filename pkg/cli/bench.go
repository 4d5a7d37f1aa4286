package cli

import (
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/spf13/cobra"

	"github.com/indigoyoke/indigoyoke/pkg/caller"
	"github.com/indigoyoke/indigoyoke/pkg/demo"
	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/standin/backend"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// workload is the benchmark of one deployment: the queries, their deadline, and
// the slow requests that the backend servers simulate.
type workload struct {
	user      demo.User
	app, key  string
	index     string
	text      string
	timeoutMs int
	// slowPct is the percentage of leaf requests that are delayed by slowMs.
	slowPct int
	slowMs  int
	// slowServerMs is the delay of every request to the first backend server
	// in the callers' own zone; zero means no such delay.
	slowServerMs int
}

// workloads holds the workloads of the two deployments. The suggestions of
// Lipovec Vizija have a tight deadline and short stragglers. The bed search of
// Lakeshore Haven has a longer deadline, and its stragglers exceed that
// deadline.
var workloads = map[demo.User]workload{
	demo.Lipovec:   {user: demo.Lipovec, app: "cad-viewer", key: "cad-viewer-key", index: "viewer-api", text: "bracket", timeoutMs: 100, slowPct: 2, slowMs: 40},
	demo.Lakeshore: {user: demo.Lakeshore, app: "crisis-line", key: "crisis-line-key", index: "shelter-console", text: "open", timeoutMs: 250, slowPct: 3, slowMs: 400},
}

// BenchRun holds the measurements of one run of one policy.
type BenchRun struct {
	Load LoadReport
	// ExtraLoad is the number of additional leaf requests per requested shard.
	ExtraLoad float64
}

// BenchCmd compares the naive fan-out with the hedged policy, in one process,
// for the workload of each deployment.
func BenchCmd() *cobra.Command {
	var runs, requests, concurrency, slowPct, slowMs, slowServerMs int
	var qps float64
	var users string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure tail latency, coverage and extra load: naive fan-out vs hedged policy",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, u := range strings.Split(users, ",") {
				wl, ok := workloads[demo.User(u)]
				if !ok {
					return fmt.Errorf("unknown user %q", u)
				}
				if slowPct >= 0 {
					wl.slowPct = slowPct
				}
				if slowMs >= 0 {
					wl.slowMs = slowMs
				}
				wl.slowServerMs = slowServerMs
				if err := benchWorkload(cmd.OutOrStdout(), wl, runs, requests, concurrency, qps); err != nil {
					return err
				}
			}
			return nil
		},
	}
	// --runs is the number of runs of each policy, which alternate; --requests and
	// --concurrency define each run; --users selects the workloads.
	cmd.Flags().IntVar(&runs, "runs", 5, "runs of each policy, alternating")
	cmd.Flags().IntVar(&requests, "requests", 600, "searches per run")
	cmd.Flags().IntVar(&concurrency, "concurrency", 16, "concurrent callers")
	cmd.Flags().Float64Var(&qps, "rate", 100, "total searches per second, below the stand-ins' slot capacity")
	cmd.Flags().StringVar(&users, "users", "lipovec,lakeshore", "workloads to run")
	// --slow-percent and --slow-ms override the workload's stragglers; -1 keeps them.
	cmd.Flags().IntVar(&slowPct, "slow-percent", -1, "percentage of leaf requests that are delayed (-1: as the workload defines)")
	cmd.Flags().IntVar(&slowMs, "slow-ms", -1, "delay of a slow leaf request in ms (-1: as the workload defines)")
	// --slow-unit-ms makes one backend server in the callers' own zone slow on
	// every request.
	cmd.Flags().IntVar(&slowServerMs, "slow-unit-ms", 0, "delay in ms of every request to one backend server in the callers' zone (0: none)")
	return cmd
}

func benchWorkload(w io.Writer, wl workload, runs, requests, concurrency int, qps float64) error {
	results := map[string][]BenchRun{}
	for r := 0; r < runs; r++ {
		for _, policy := range []string{settings.PolicyNaive, settings.PolicyHedged} {
			run, err := runOnce(wl, policy, requests, concurrency, qps)
			if err != nil {
				return err
			}
			results[policy] = append(results[policy], run)
			fmt.Fprintf(w, "%s %s run=%d p50_ms=%.2f p99_ms=%.2f p999_ms=%.2f coverage=%.4f extra_load=%.4f errors=%d\n",
				wl.user, policy, r+1, run.Load.P50Ms, run.Load.P99Ms, run.Load.P999Ms, run.Load.Coverage, run.ExtraLoad, run.Load.Errors)
		}
	}
	summarize(w, wl.user, results)
	return nil
}

func runOnce(wl workload, policy string, requests, concurrency int, qps float64) (BenchRun, error) {
	c, err := demo.StartCluster(wl.user, io.Discard, func(l *demo.Layout) {
		for i := range l.Entries {
			l.Entries[i].Policy = policy
		}
	})
	if err != nil {
		return BenchRun{}, err
	}
	defer c.Stop()
	if err := wl.injectDelays(c); err != nil {
		return BenchRun{}, err
	}
	cl, err := caller.New(wl.app, wl.key)
	if err != nil {
		return BenchRun{}, err
	}
	req := wire.SearchRequest{Deployment: demo.DeploymentName(wl.user), Index: wl.index, Text: wl.text, TimeoutMs: wl.timeoutMs}
	addr := c.Entries[c.EntryNames()[0]].Addr()
	RunLoad(cl, addr, req, requests/10, concurrency, qps)
	before := totalReceived(c)
	rep := RunLoad(cl, addr, req, requests, concurrency, qps)
	run := BenchRun{Load: rep}
	if rep.ShardsRequested > 0 {
		run.ExtraLoad = float64(totalReceived(c)-before)/float64(rep.ShardsRequested) - 1
	}
	return run, nil
}

// injectDelays configures the workload's stragglers, and its slow server if it
// has one, on the backend servers.
func (wl workload) injectDelays(c *demo.Cluster) error {
	slowServer := c.Layout.Backends[0].Name
	for name, b := range c.Backends {
		ctl := backend.Control{Action: backend.ActSlow, DelayMs: wl.slowMs, Percent: wl.slowPct}
		if wl.slowServerMs > 0 && name == slowServer {
			ctl.DelayMs, ctl.Percent = wl.slowServerMs, 0
		}
		if err := b.Apply(ctl); err != nil {
			return err
		}
	}
	return nil
}

// totalReceived returns the number of leaf requests that all backend servers
// have received.
func totalReceived(c *demo.Cluster) uint64 {
	var n uint64
	for _, b := range c.Backends {
		n += b.Received()
	}
	return n
}

func summarize(w io.Writer, u demo.User, results map[string][]BenchRun) {
	figures := []struct {
		name string
		get  func(BenchRun) float64
	}{
		{"p50_ms", func(r BenchRun) float64 { return r.Load.P50Ms }},
		{"p99_ms", func(r BenchRun) float64 { return r.Load.P99Ms }},
		{"p999_ms", func(r BenchRun) float64 { return r.Load.P999Ms }},
		{"coverage", func(r BenchRun) float64 { return r.Load.Coverage }},
		{"extra_load", func(r BenchRun) float64 { return r.ExtraLoad }},
	}
	fmt.Fprintf(w, "\n%s summary (median [min, max] over %d runs)\n", u, len(results[settings.PolicyNaive]))
	fmt.Fprintf(w, "| figure | naive | hedged | ratio hedged/naive (median of pairs) |\n|---|---|---|---|\n")
	for _, f := range figures {
		naive, hedged := figureValues(results[settings.PolicyNaive], f.get), figureValues(results[settings.PolicyHedged], f.get)
		var ratios []float64
		for i := range naive {
			if naive[i] != 0 {
				ratios = append(ratios, hedged[i]/naive[i])
			}
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", f.name, medianAndRange(naive), medianAndRange(hedged), medianRatio(ratios))
	}
	fmt.Fprintln(w)
}

func figureValues(runs []BenchRun, get func(BenchRun) float64) []float64 {
	out := make([]float64, len(runs))
	for i, r := range runs {
		out[i] = get(r)
	}
	return out
}

// medianAndRange formats the median, the minimum and the maximum of v.
func medianAndRange(v []float64) string {
	s := append([]float64(nil), v...)
	sort.Float64s(s)
	if len(s) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f [%.3f, %.3f]", s[len(s)/2], s[0], s[len(s)-1])
}

// medianRatio formats the median of r, which it sorts.
func medianRatio(r []float64) string {
	if len(r) == 0 {
		return "-"
	}
	sort.Float64s(r)
	return fmt.Sprintf("%.3f", r[len(r)/2])
}
