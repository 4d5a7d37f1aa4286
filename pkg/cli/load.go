package cli

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
	"golang.org/x/time/rate"

	"github.com/indigoyoke/indigoyoke/pkg/caller"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Range, in microseconds, and significant digits of the latency histogram.
const (
	minLatencyUs    = 1
	maxLatencyUs    = 60_000_000
	histogramDigits = 3
)

// LoadReport holds the measurements of a load run.
type LoadReport struct {
	Requests int64
	Errors   int64
	P50Ms    float64
	P99Ms    float64
	P999Ms   float64
	// Coverage is the fraction (0 to 1) of requested shards that answered, over
	// all searches without an error.
	Coverage        float64
	ShardsRequested int64
}

// LoadCmd sends a bounded number of searches to an entry instance.
func LoadCmd() *cobra.Command {
	var f clientFlags
	var text string
	var requests, concurrency int
	var qps float64
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send a bounded number of searches and print p50/p99/p99.9 and coverage",
		RunE: func(cmd *cobra.Command, _ []string) error {
			cl, err := caller.NewWithConns(f.app, f.key, max(concurrency, 1))
			if err != nil {
				return err
			}
			req := wire.SearchRequest{Deployment: f.deployment, Index: f.index, Text: text, TimeoutMs: f.timeoutMs}
			r := RunLoad(cl, f.entry, req, requests, concurrency, qps)
			fmt.Fprintf(cmd.OutOrStdout(), "requests=%d errors=%d p50_ms=%.2f p99_ms=%.2f p999_ms=%.2f coverage=%.4f\n",
				r.Requests, r.Errors, r.P50Ms, r.P99Ms, r.P999Ms, r.Coverage)
			return nil
		},
	}
	f.add(cmd)
	// --requests is the number of searches; --concurrency is the number of callers.
	cmd.Flags().StringVar(&text, "text", "", "search text")
	cmd.Flags().IntVar(&requests, "requests", 1000, "searches to send")
	cmd.Flags().IntVar(&concurrency, "concurrency", 8, "concurrent callers")
	cmd.Flags().Float64Var(&qps, "rate", 0, "total searches per second (0: no limit)")
	return cmd
}

// RunLoad sends n searches from c concurrent callers, at most qps per second in
// total (0 means no limit), and measures them. A limit keeps the offered load
// constant, so that a policy that answers faster does not also receive more
// load than the other.
func RunLoad(cl *caller.Client, addr string, req wire.SearchRequest, n, c int, qps float64) LoadReport {
	h := hdrhistogram.New(minLatencyUs, maxLatencyUs, histogramDigits)
	limit := rate.NewLimiter(rate.Inf, 1)
	if qps > 0 {
		limit = rate.NewLimiter(rate.Limit(qps), 1)
	}
	var mu sync.Mutex
	var next, errs, covered, asked atomic.Int64
	var wg sync.WaitGroup
	for w := 0; w < c; w++ {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for next.Add(1) <= int64(n) {
				_ = limit.Wait(context.Background())
				start := time.Now()
				a, err := cl.Search(context.Background(), addr, req)
				took := time.Since(start)
				if err != nil {
					errs.Add(1)
					continue
				}
				covered.Add(int64(len(a.Covered)))
				asked.Add(int64(len(a.Covered) + len(a.Missing)))
				mu.Lock()
				_ = h.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	r := LoadReport{Requests: int64(n), Errors: errs.Load(), ShardsRequested: asked.Load()}
	r.P50Ms = float64(h.ValueAtQuantile(50)) / 1000
	r.P99Ms = float64(h.ValueAtQuantile(99)) / 1000
	r.P999Ms = float64(h.ValueAtQuantile(99.9)) / 1000
	if asked.Load() > 0 {
		r.Coverage = float64(covered.Load()) / float64(asked.Load())
	}
	return r
}
