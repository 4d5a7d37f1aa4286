package peers

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// protocolVersion is the version of the frame protocol. Peers of another version are not used:
// their leafs are called directly until the peer is upgraded.
const protocolVersion = 6

// maxFrameBytes is the maximum size of the content of a frame. It fits the largest request body and
// the parts of a few hundred shards.
const maxFrameBytes = 8 << 20

const (
	// maxHelloBytes is the maximum size of the content of the first frame on a connection: whoever
	// connects can send one, and it holds two names.
	maxHelloBytes = 1 << 10
	// frameChunkBytes is the memory that is allocated for a frame before its content arrives.
	frameChunkBytes = 16 << 10
)

// Protocol errors.
var (
	errProtocolVersion = errors.New("peer uses another protocol version")
	errFrameKind       = errors.New("unexpected frame kind")
	errFrameSize       = errors.New("frame exceeds the size limit")
	errUnknownRef      = errors.New("frame refers to an unknown text number")
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	// kindHello opens a connection. kindBatch and kindQuery send work to the server.
	kindHello frameKind = iota + 1
	kindBatch
	kindQuery
	// kindCancel cancels the batch or query with the given number (client to server).
	kindCancel
	// kindBatchReplies holds replies of a batch (server to client).
	kindBatchReplies
	// kindAccepted says that the server will run a query once it is granted, kindDeclined that it
	// will not run it, and kindAnswer returns its outcome (server to client).
	kindAccepted
	kindDeclined
	kindAnswer
	// kindHeartbeat shows that the server is alive while queries are open (server to client).
	kindHeartbeat
	// kindSubscribe asks for changes of the store (client to server). kindFeedStatus describes
	// how current the server is, and kindUpdate holds changes (server to client).
	kindSubscribe
	kindFeedStatus
	kindUpdate
	// kindGrant allows the server to run an accepted query (client to server).
	kindGrant
	// kindSingle asks the server to run a request that goes to a single leaf (client to server).
	// It is accepted and granted like a query; kindSingleAnswer returns its outcome (server to
	// client).
	kindSingle
	kindSingleAnswer
)

// numbered is the content of frames that only name a batch or query.
type numbered struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// hello is the first frame on a connection and identifies the client.
type hello struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Name    string
	Zone    string
}

// textRef is a text that is sent in full once per connection and then by its number. Number 0 marks
// a text that is not stored.
//
// Leaf names and headers make up most of a leaf request and are the same in each.
type textRef struct {
	_      struct{} `cbor:",toarray"`
	Number uint16
	Text   string
}

// maxTexts is the maximum number of texts that each end stores for a connection.
const maxTexts = 4096

// textEncoder assigns numbers to texts.
type textEncoder struct{ numbers map[string]uint16 }

// ref returns the reference for text, which includes the text if it is new or cannot be stored.
func (w *textEncoder) ref(text string) textRef {
	if n, ok := w.numbers[text]; ok {
		return textRef{Number: n}
	}
	if text == "" || len(w.numbers) >= maxTexts {
		return textRef{Text: text}
	}
	n := uint16(len(w.numbers) + 1)
	w.numbers[text] = n
	return textRef{Number: n, Text: text}
}

// textDecoder stores the texts that a textEncoder has numbered.
type textDecoder struct{ texts map[uint16]string }

// resolve returns the text of a reference, and stores it if it is new.
func (r *textDecoder) resolve(f textRef) (string, error) {
	switch {
	case f.Number == 0:
		return f.Text, nil
	case f.Text != "" && len(r.texts) < maxTexts:
		r.texts[f.Number] = f.Text
		return f.Text, nil
	}
	text, ok := r.texts[f.Number]
	if !ok {
		return "", errUnknownRef
	}
	return text, nil
}

// batch asks a peer to send one request to several leafs.
type batch struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Request requestFrame
	// TimeoutMs is the time that the leafs have. FlushAfterUs is when the first replies are
	// returned at the latest, and FlushIntervalUs how long further replies are collected.
	TimeoutMs       uint32
	FlushAfterUs    uint32
	FlushIntervalUs uint32
	TopK            uint32
	// Leafs are IDs and addresses, since the peer may not know a leaf yet.
	Leafs []textRef
}

// formatLeaf returns the ID and address of a leaf as one text.
func formatLeaf(l replica.Leaf) string { return l.ID + " " + l.Addr }

// parseLeaf is the inverse of formatLeaf.
func parseLeaf(text string) replica.Leaf {
	id, addr, _ := strings.Cut(text, " ")
	return replica.Leaf{ID: id, Addr: addr}
}

// batchReplies returns replies of a batch. Body holds the merged records of all parts.
type batchReplies struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// ElapsedUs is the time since the peer has received the batch.
	ElapsedUs uint32
	Parts     []leafPart
	Body      []byte
}

// leafPart is the reply of one leaf. Leaf is its index in the batch.
type leafPart struct {
	_       struct{} `cbor:",toarray"`
	Leaf    uint16
	Outcome uint8
	Status  uint16
	TookUs  uint32
	Proof   string
	// Load is the load that the leaf reported: running and waiting requests, slots, and
	// slowdown in percent (0 if unknown). It is empty if the leaf reported none.
	Load []uint32
}

// loadFieldCount is the number of values in leafPart.Load.
const loadFieldCount = 4

// encodeLoad encodes the reported load of a leaf.
func encodeLoad(l *replica.Load) []uint32 {
	if l == nil {
		return nil
	}
	return []uint32{uint32(l.Running), uint32(l.Waiting), uint32(l.Slots), uint32(100 * l.Slowdown)}
}

// decodeLoad is the inverse of encodeLoad.
func decodeLoad(f []uint32) (*replica.Load, error) {
	if len(f) == 0 {
		return nil, nil
	}
	if len(f) != loadFieldCount {
		return nil, fmt.Errorf("load has %d values", len(f))
	}
	l := &replica.Load{Running: int(f[0]), Waiting: int(f[1]), Slots: int(f[2]), Slowdown: float64(f[3]) / 100}
	return l, l.Validate()
}

// writeFrame writes one frame: its size as a varint, its kind, and its content in CBOR.
func writeFrame(w *bufio.Writer, k frameKind, v any) error {
	raw, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	head := binary.AppendUvarint(nil, uint64(len(raw)))
	if _, err := w.Write(append(head, byte(k))); err != nil {
		return err
	}
	if _, err := w.Write(raw); err != nil {
		return err
	}
	return w.Flush()
}

// readFrame reads one frame whose content has at most maxBytes.
func readFrame(r *bufio.Reader, maxBytes uint64) (frameKind, []byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, nil, err
	}
	if size > maxBytes {
		return 0, nil, fmt.Errorf("%w: %d bytes", errFrameSize, size)
	}
	k, err := r.ReadByte()
	if err != nil {
		return 0, nil, err
	}
	raw, err := readContent(r, int(size))
	return frameKind(k), raw, err
}

// readContent reads size bytes. The memory that it allocates grows with the bytes that have arrived:
// the size is only what the sender has declared.
func readContent(r io.Reader, size int) ([]byte, error) {
	raw := make([]byte, min(size, frameChunkBytes))
	for read := 0; ; {
		if _, err := io.ReadFull(r, raw[read:]); err != nil {
			return nil, err
		}
		if read = len(raw); read == size {
			return raw, nil
		}
		longer := make([]byte, min(2*read, size))
		copy(longer, raw)
		raw = longer
	}
}

// frameDecoding accepts texts that are not UTF-8: HTTP allows other bytes in header values and
// targets, and they are passed on unchanged.
var frameDecoding = mustDecMode(cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid})

// mustDecMode returns the decoding mode for constant options.
func mustDecMode(o cbor.DecOptions) cbor.DecMode {
	mode, err := o.DecMode()
	if err != nil {
		panic(err) // The options are constants.
	}
	return mode
}

// decode decodes the content of a frame.
func decode[T any](raw []byte) (T, error) {
	var v T
	err := frameDecoding.Unmarshal(raw, &v)
	return v, err
}
