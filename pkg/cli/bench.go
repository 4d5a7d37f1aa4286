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

// mix is one deployment's measured workload: what it asks, its deadline,
// and the stragglers the backend servers produce.
type mix struct {
	user      demo.User
	app, key  string
	index     string
	text      string
	timeoutMs int
	slowPct   int
	slowMs    int
	// slowUnitMs slows every request to the first backend server of the
	// callers' own zone; 0: none.
	slowUnitMs int
}

// The two deployments' mixes. Lipovec Vizija's suggestions run on a tight
// deadline with short stragglers; Lakeshore Haven's bed search has a longer
// deadline and stragglers that outlast it.
var mixes = map[demo.User]mix{
	demo.Lipovec:   {user: demo.Lipovec, app: "cad-viewer", key: "cad-viewer-key", index: "viewer-api", text: "bracket", timeoutMs: 100, slowPct: 2, slowMs: 40},
	demo.Lakeshore: {user: demo.Lakeshore, app: "crisis-line", key: "crisis-line-key", index: "shelter-console", text: "open", timeoutMs: 250, slowPct: 3, slowMs: 400},
}

// BenchRun is one measured run of one policy.
type BenchRun struct {
	Load      LoadReport
	ExtraLoad float64
}

// BenchCmd measures the naive fan-out against the hedged policy, side by
// side in one process, for each deployment's mix.
func BenchCmd() *cobra.Command {
	var runs, requests, concurrency, slowPct, slowMs, slowUnitMs int
	var qps float64
	var users string
	cmd := &cobra.Command{
		Use:   "bench",
		Short: "Measure tail latency, coverage and extra load: naive fan-out vs hedged policy",
		RunE: func(cmd *cobra.Command, _ []string) error {
			for _, u := range strings.Split(users, ",") {
				m, ok := mixes[demo.User(u)]
				if !ok {
					return fmt.Errorf("unknown user %q", u)
				}
				if slowPct >= 0 {
					m.slowPct = slowPct
				}
				if slowMs >= 0 {
					m.slowMs = slowMs
				}
				m.slowUnitMs = slowUnitMs
				if err := benchMix(cmd.OutOrStdout(), m, runs, requests, concurrency, qps); err != nil {
					return err
				}
			}
			return nil
		},
	}
	// --runs repeats each policy (alternating); --requests and
	// --concurrency shape each run; --users picks the mixes.
	cmd.Flags().IntVar(&runs, "runs", 5, "runs of each policy, alternating")
	cmd.Flags().IntVar(&requests, "requests", 600, "searches per run")
	cmd.Flags().IntVar(&concurrency, "concurrency", 16, "concurrent callers")
	cmd.Flags().Float64Var(&qps, "rate", 100, "searches a second in all, below the stand-ins' slot capacity")
	cmd.Flags().StringVar(&users, "users", "lipovec,lakeshore", "mixes to run")
	// --slow-percent and --slow-ms override the mix's stragglers (-1: keep).
	cmd.Flags().IntVar(&slowPct, "slow-percent", -1, "percent of leaf requests slowed (-1: the mix's)")
	cmd.Flags().IntVar(&slowMs, "slow-ms", -1, "delay of a slowed leaf request in ms (-1: the mix's)")
	// --slow-unit-ms adds a backend server of the callers' own zone that is
	// slow on every request.
	cmd.Flags().IntVar(&slowUnitMs, "slow-unit-ms", 0, "delay of every request to one backend server in the callers' zone (0: none)")
	return cmd
}

func benchMix(w io.Writer, m mix, runs, requests, concurrency int, qps float64) error {
	results := map[string][]BenchRun{}
	for r := 0; r < runs; r++ {
		for _, policy := range []string{settings.PolicyNaive, settings.PolicyHedged} {
			run, err := benchOnce(m, policy, requests, concurrency, qps)
			if err != nil {
				return err
			}
			results[policy] = append(results[policy], run)
			fmt.Fprintf(w, "%s %s run=%d p50_ms=%.2f p99_ms=%.2f p999_ms=%.2f coverage=%.4f extra_load=%.4f errors=%d\n",
				m.user, policy, r+1, run.Load.P50Ms, run.Load.P99Ms, run.Load.P999Ms, run.Load.Coverage, run.ExtraLoad, run.Load.Errors)
		}
	}
	summarize(w, m.user, results)
	return nil
}

func benchOnce(m mix, policy string, requests, concurrency int, qps float64) (BenchRun, error) {
	c, err := demo.StartCluster(m.user, io.Discard, func(l *demo.Layout) {
		for i := range l.Entries {
			l.Entries[i].Policy = policy
		}
	})
	if err != nil {
		return BenchRun{}, err
	}
	defer c.Stop()
	if err := m.slowDown(c); err != nil {
		return BenchRun{}, err
	}
	cl, err := caller.New(m.app, m.key)
	if err != nil {
		return BenchRun{}, err
	}
	req := wire.SearchRequest{Deployment: demo.DeploymentName(m.user), Index: m.index, Text: m.text, TimeoutMs: m.timeoutMs}
	addr := c.Entries[c.EntryNames()[0]].Addr()
	RunLoad(cl, addr, req, requests/10, concurrency, qps)
	before := received(c)
	rep := RunLoad(cl, addr, req, requests, concurrency, qps)
	run := BenchRun{Load: rep}
	if rep.ShardsAsk > 0 {
		run.ExtraLoad = float64(received(c)-before)/float64(rep.ShardsAsk) - 1
	}
	return run, nil
}

// slowDown puts the mix's stragglers, and its slow unit, on the backend
// servers.
func (m mix) slowDown(c *demo.Cluster) error {
	slowUnit := c.Layout.Backends[0].Name
	for name, b := range c.Backends {
		ctl := backend.Control{Action: backend.ActSlow, DelayMs: m.slowMs, Percent: m.slowPct}
		if m.slowUnitMs > 0 && name == slowUnit {
			ctl.DelayMs, ctl.Percent = m.slowUnitMs, 0
		}
		if err := b.Apply(ctl); err != nil {
			return err
		}
	}
	return nil
}

func received(c *demo.Cluster) uint64 {
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
		n, h := values(results[settings.PolicyNaive], f.get), values(results[settings.PolicyHedged], f.get)
		var ratios []float64
		for i := range n {
			if n[i] != 0 {
				ratios = append(ratios, h[i]/n[i])
			}
		}
		fmt.Fprintf(w, "| %s | %s | %s | %s |\n", f.name, spread(n), spread(h), ratioText(ratios))
	}
	fmt.Fprintln(w)
}

func values(runs []BenchRun, get func(BenchRun) float64) []float64 {
	out := make([]float64, len(runs))
	for i, r := range runs {
		out[i] = get(r)
	}
	return out
}

func spread(v []float64) string {
	s := append([]float64(nil), v...)
	sort.Float64s(s)
	if len(s) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f [%.3f, %.3f]", s[len(s)/2], s[0], s[len(s)-1])
}

func ratioText(r []float64) string {
	if len(r) == 0 {
		return "-"
	}
	sort.Float64s(r)
	return fmt.Sprintf("%.3f", r[len(r)/2])
}
