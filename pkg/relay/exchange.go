package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"

	"github.com/quic-go/quic-go"

	"github.com/indigoyoke/indigoyoke/pkg/topology"
)

// ask is one question: the version the asker has in force, 0 for none.
type ask struct {
	Version int64 `json:"version"`
}

// reply is the answer: the version the peer has in force and, if that is
// newer, the configuration as gzipped JSON. The short answer, which nearly
// all are, is not gzipped: setting up a compressor costs more than the rest
// of the exchange.
type reply struct {
	Version  int64  `json:"version"`
	ConfigGz []byte `json:"config_gz,omitempty"`
}

// exchange asks the peer at addr; nil means it has nothing newer.
func (r *Relay) exchange(ctx context.Context, addr string) (*topology.Config, error) {
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
	if err := json.NewEncoder(stream).Encode(ask{Version: version(r.source.Current())}); err != nil {
		return nil, err
	}
	if err := stream.Close(); err != nil {
		return nil, err
	}
	return readReply(stream)
}

// readReply decodes an answer; nil means nothing newer.
func readReply(from io.Reader) (*topology.Config, error) {
	var r reply
	if err := json.NewDecoder(io.LimitReader(from, maxReplyBytes)).Decode(&r); err != nil {
		return nil, err
	}
	if len(r.ConfigGz) == 0 {
		return nil, nil
	}
	unzip, err := gzip.NewReader(bytes.NewReader(r.ConfigGz))
	if err != nil {
		return nil, err
	}
	var cfg topology.Config
	if err := json.NewDecoder(io.LimitReader(unzip, maxReplyBytes)).Decode(&cfg); err != nil {
		return nil, err
	}
	return &cfg, nil
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

// answer replies to one question with the configuration in force if it is
// newer than the asker's.
func (r *Relay) answer(stream *quic.Stream) error {
	var q ask
	if err := json.NewDecoder(io.LimitReader(stream, maxAskBytes)).Decode(&q); err != nil {
		return err
	}
	var out reply
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
