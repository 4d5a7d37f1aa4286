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

// ask is one question: the version the asker has in force, 0 for none, and the requests that
// it knows to end leafs.
type ask struct {
	Version  int64               `json:"version"`
	Requests []quarantine.Report `json:"requests,omitempty"`
}

// reply is the answer: the version the peer has in force and, if that is
// newer, the configuration as gzipped JSON. The short answer, which nearly
// all are, is not gzipped: setting up a compressor costs more than the rest
// of the exchange.
type reply struct {
	Version  int64               `json:"version"`
	ConfigGz []byte              `json:"config_gz,omitempty"`
	Requests []quarantine.Report `json:"requests,omitempty"`
}

// exchange asks the peer at addr; nil means it has nothing newer.
func (r *Relay) exchange(ctx context.Context, addr string, requests []quarantine.Report) (*topology.Config, error) {
	conn, err := r.dialer.conn(ctx, addr)
	if err != nil {
		return nil, err
	}
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	defer stream.CancelRead(0)
	if end, ok := ctx.Deadline(); ok {
		_ = stream.SetDeadline(end)
	}
	question := ask{Version: version(r.source.Current()), Requests: requests}
	if err := json.NewEncoder(stream).Encode(question); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	cfg, notes, err := readReply(stream)
	r.learn(notes, addr)
	return cfg, err
}

// readReply decodes an answer: a configuration, nil if there is nothing newer, and what the
// peer says of requests.
func readReply(from io.Reader) (*topology.Config, []quarantine.Report, error) {
	var a reply
	if err := json.NewDecoder(io.LimitReader(from, maxReplyBytes)).Decode(&a); err != nil {
		return nil, nil, err
	}
	if len(a.ConfigGz) == 0 {
		return nil, a.Requests, nil
	}
	unzip, err := gzip.NewReader(bytes.NewReader(a.ConfigGz))
	if err != nil {
		return nil, a.Requests, err
	}
	var cfg topology.Config
	if err := json.NewDecoder(io.LimitReader(unzip, maxReplyBytes)).Decode(&cfg); err != nil {
		return nil, a.Requests, err
	}
	return &cfg, a.Requests, nil
}

func pack(cfg *topology.Config) ([]byte, error) {
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(cfg); err != nil {
		return nil, err
	}
	err := zip.Close()
	return out.Bytes(), err
}

func version(c *topology.Config) int64 {
	if c == nil {
		return 0
	}
	return c.Version
}

// requests are those that end leafs, as a peer is told of them.
func (r *Relay) requests() []quarantine.Report {
	return r.quarantine.AntiEntropyReports(maxRequests, time.Now())
}

// learn takes over what a peer says of requests that end leafs.
func (r *Relay) learn(notes []quarantine.Report, peer string) {
	now := time.Now()
	for _, note := range notes[:min(len(notes), maxRequests)] {
		if turn := r.quarantine.Merge(note, now); turn.Changed() {
			r.log.WithField("peer", peer).WithFields(logrus.Fields(turn.Fields())).Warn(turn.Event())
		}
	}
}

// answer replies to one question with the configuration in force if it is
// newer than the asker's.
func (r *Relay) answer(stream *quic.Stream, peer string) error {
	var q ask
	if err := json.NewDecoder(io.LimitReader(stream, maxAskBytes)).Decode(&q); err != nil {
		return err
	}
	r.learn(q.Requests, peer)
	out := reply{Requests: r.requests()}
	if cfg := r.source.Current(); cfg != nil {
		out.Version = cfg.Version
		if cfg.Version > q.Version {
			packed, err := pack(cfg)
			if err != nil {
				return err
			}
			out.ConfigGz = packed
			r.served.Inc()
		}
	}
	if err := json.NewEncoder(stream).Encode(out); err != nil {
		return err
	}
	return stream.Close()
}
