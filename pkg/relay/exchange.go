package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/sirupsen/logrus"

	"github.com/indigoyoke/indigoyoke/pkg/quarantine"
	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// query holds the version of the configuration that the sender has in force, 0 without one, and
// its quarantine reports.
type query struct {
	Version int64               `json:"version"`
	Reports []quarantine.Report `json:"requests,omitempty"`
}

// response answers a query. It holds the version of the configuration that the peer has in force
// and, if that is newer than the version in the query, the configuration as gzipped JSON. The rest
// of the response is not compressed: nearly all responses are without a configuration, and for
// these setting up a compressor would cost more than the rest of the exchange.
type response struct {
	Version  int64               `json:"version"`
	ConfigGz []byte              `json:"config_gz,omitempty"`
	Reports  []quarantine.Report `json:"requests,omitempty"`
	// HistoryMs is how far back the peer's knowledge of such requests reaches, if Reports hold
	// all of it, and 0 otherwise.
	HistoryMs int64 `json:"history_ms,omitempty"`
}

// exchange sends a query on a connection to the peer at addr, merges the reports of its response,
// and returns its configuration, or nil if that is not newer.
func (r *Relay) exchange(ctx context.Context, conn *quic.Conn, addr string, reports []quarantine.Report) (*topology.Config, error) {
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	if deadline, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(deadline)
	}
	q := query{Version: versionOf(r.store.Current()), Reports: reports}
	if err := json.NewEncoder(stream).Encode(q); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	resp, cfg, err := readResponse(stream)
	r.mergeReports(resp.Reports, addr)
	if resp.HistoryMs > 0 {
		history := time.Duration(min(resp.HistoryMs, time.Hour.Milliseconds())) * time.Millisecond
		r.quarantine.MergeHistory(history, time.Now())
	}
	return cfg, err
}

// readResponse decodes a response and its configuration, which is nil if there is none.
func readResponse(r io.Reader) (response, *topology.Config, error) {
	var resp response
	if err := json.NewDecoder(io.LimitReader(r, maxResponseBytes)).Decode(&resp); err != nil {
		return response{}, nil, err
	}
	if len(resp.ConfigGz) == 0 {
		return resp, nil, nil
	}
	gz, err := gzip.NewReader(bytes.NewReader(resp.ConfigGz))
	if err != nil {
		return resp, nil, err
	}
	var cfg topology.Config
	if err := json.NewDecoder(io.LimitReader(gz, maxResponseBytes)).Decode(&cfg); err != nil {
		return resp, nil, err
	}
	return resp, &cfg, nil
}

// gzipConfig encodes a configuration as gzipped JSON.
func gzipConfig(cfg *topology.Config) ([]byte, error) {
	var out bytes.Buffer
	gz := gzip.NewWriter(&out)
	if err := json.NewEncoder(gz).Encode(cfg); err != nil {
		return nil, err
	}
	err := gz.Close()
	return out.Bytes(), err
}

// versionOf returns the version of a configuration, 0 for nil.
func versionOf(c *topology.Config) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// quarantineReports returns the reports for a regular query or response: some of the suspected and
// quarantined requests, a different selection each time.
func (r *Relay) quarantineReports() []quarantine.Report {
	return r.quarantine.AntiEntropyReports(maxReports, time.Now())
}

// mergeReports merges the quarantine reports of a peer and logs the changes.
func (r *Relay) mergeReports(reports []quarantine.Report, peer string) {
	now := time.Now()
	for _, report := range reports[:min(len(reports), maxReports)] {
		if change := r.quarantine.Merge(report, now); change.Changed() {
			r.log.WithField("peer", peer).WithFields(logrus.Fields(change.Fields())).Warn(change.Event())
		}
	}
}

// handleQuery reads a query, merges its reports and sends the response, with the configuration in
// force if it is newer than the sender's.
func (r *Relay) handleQuery(stream *quic.Stream, peer string) error {
	var q query
	if err := json.NewDecoder(io.LimitReader(stream, maxQueryBytes)).Decode(&q); err != nil {
		return err
	}
	r.mergeReports(q.Reports, peer)
	resp := response{Reports: r.quarantineReports()}
	resp.HistoryMs = r.quarantine.History(len(resp.Reports), time.Now()).Milliseconds()
	if cfg := r.store.Current(); cfg != nil {
		resp.Version = cfg.Version
		if cfg.Version > q.Version {
			packed, err := gzipConfig(cfg)
			if err != nil {
				return err
			}
			resp.ConfigGz = packed
			r.configsServed.Inc()
		}
	}
	if err := json.NewEncoder(stream).Encode(resp); err != nil {
		return err
	}
	return stream.Close()
}
