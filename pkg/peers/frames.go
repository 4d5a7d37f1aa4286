package peers

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/indigoyoke/indigoyoke/pkg/replica"
)

// version is the protocol's. A peer of another version is not spoken to; its leafs are
// asked directly until it is replaced.
const version = 5

// maxFrame bounds a frame in bytes: the largest request body and the parts of a few
// hundred shards.
const maxFrame = 8 << 20

// Errors of the protocol.
var (
	errVersion    = errors.New("peer speaks another version")
	errKind       = errors.New("frame of an unknown kind")
	errFrameSize  = errors.New("frame over the limit")
	errUnknownRef = errors.New("frame refers to a text that was not sent")
)

// kind says what a frame holds.
type kind uint8

const (
	// kindHello, kindBatch, kindQuery, kindCancel and kindGrant come from the caller.
	kindHello kind = iota + 1
	kindBatch
	kindQuery
	// kindCancel ends the batch or query of that number.
	kindCancel
	// kindFlush, kindTaken, kindDeclined, kindAnswer and kindBeat come from the peer.
	kindFlush
	// kindTaken says that a query was read and will be run once it is granted, kindDeclined
	// that it will not be.
	kindTaken
	kindDeclined
	kindAnswer
	// kindBeat says that the peer is well while queries are open.
	kindBeat
	// kindListen asks for what the store publishes, kindNews says how far the peer's
	// knowledge of it reaches, and kindPage brings changes.
	kindListen
	kindNews
	kindPage
	// kindGrant lets a query that was taken be run: its caller does not run it any more.
	kindGrant
)

// numbered is a frame that says no more than which batch or query it is about.
type numbered struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// hello is the first frame on a connection, from the caller.
type hello struct {
	_       struct{} `cbor:",toarray"`
	Version int
	Name    string
	Zone    string
}

// ref is a text that is sent whole once on a connection and then by its number; number
// 0 is a text that is not kept.
//
// Names of leafs and headers are most of a leaf request's bytes, and the same in each.
type ref struct {
	_      struct{} `cbor:",toarray"`
	Number uint16
	Text   string
}

// maxRefs bounds what both ends keep for a connection.
const maxRefs = 4096

// refWriter numbers texts.
type refWriter struct{ numbers map[string]uint16 }

func (w *refWriter) ref(text string) ref {
	if n, ok := w.numbers[text]; ok {
		return ref{Number: n}
	}
	if text == "" || len(w.numbers) >= maxRefs {
		return ref{Text: text}
	}
	n := uint16(len(w.numbers) + 1)
	w.numbers[text] = n
	return ref{Number: n, Text: text}
}

// refReader finds them again.
type refReader struct{ texts map[uint16]string }

func (r *refReader) text(f ref) (string, error) {
	switch {
	case f.Number == 0:
		return f.Text, nil
	case f.Text != "" && len(r.texts) < maxRefs:
		r.texts[f.Number] = f.Text
		return f.Text, nil
	}
	text, ok := r.texts[f.Number]
	if !ok {
		return "", errUnknownRef
	}
	return text, nil
}

// requestFrame is a caller's request inside another frame.
type requestFrame struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Method ref
	Host   ref
	Target string
	// Header holds the names and values in turn. IDHeader is the name of the one that
	// holds the request's ID, which is not among them; "" for none.
	Header   []ref
	IDHeader ref
	Body     []byte
}

// encode writes a request.
func (w *refWriter) encode(id string, r Request) requestFrame {
	f := requestFrame{ID: id, Target: r.Target, Body: r.Body, Method: w.ref(r.Method), Host: w.ref(r.Host)}
	header, idName := pairs(r.Header, id)
	for _, text := range header {
		f.Header = append(f.Header, w.ref(text))
	}
	f.IDHeader = w.ref(idName)
	return f
}

// decode is the inverse of encode. Texts are read in the order in which they were
// written, so that both ends number alike.
func (r *refReader) decode(f requestFrame) (Request, error) {
	texts, err := r.all(slices.Concat([]ref{f.Method, f.Host}, f.Header, []ref{f.IDHeader}))
	if err != nil {
		return Request{}, err
	}
	header, idName := texts[2:len(texts)-1], texts[len(texts)-1]
	fields := fromPairs(header)
	if idName != "" {
		fields[idName] = []string{f.ID}
	}
	return Request{Method: texts[0], Host: texts[1], Target: f.Target, Header: fields, Body: f.Body}, nil
}

// all resolves several texts.
func (r *refReader) all(refs []ref) ([]string, error) {
	out := make([]string, 0, len(refs))
	for _, f := range refs {
		text, err := r.text(f)
		if err != nil {
			return nil, err
		}
		out = append(out, text)
	}
	return out, nil
}

// batch asks a peer to send one request to several leafs.
type batch struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Request requestFrame
	// LeftMs is how long the leafs may work; FlushUs when the first replies are
	// sent back at the latest, StepUs how long further ones are collected.
	LeftMs  uint32
	FlushUs uint32
	StepUs  uint32
	TopK    uint32
	// Leafs are IDs and addresses: the peer may not have heard of a leaf yet.
	Leafs []ref
}

// leafText is a leaf's ID and address.
func leafText(l replica.Leaf) string { return l.ID + " " + l.Addr }

// leafOf is the inverse of leafText.
func leafOf(text string) replica.Leaf {
	id, addr, _ := strings.Cut(text, " ")
	return replica.Leaf{ID: id, Addr: addr}
}

// flush brings replies of a batch. The records of all its parts are merged into one
// body.
type flush struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	// HeldUs is how long the peer has had the batch.
	HeldUs uint32
	Parts  []part
	Body   []byte
}

// part is the reply of one leaf.
type part struct {
	_       struct{} `cbor:",toarray"`
	Leaf    uint16
	Outcome uint8
	Status  uint16
	TookUs  uint32
	Proof   string
	// Load is what the leaf said of itself: requests running and waiting, slots, and the pace in
	// percent (0: not said); empty: nothing.
	Load []uint32
}

// loadFigures is how many figures a load has in a frame.
const loadFigures = 4

// loadFrame encodes what a leaf said of itself.
func loadFrame(l *replica.Load) []uint32 {
	if l == nil {
		return nil
	}
	return []uint32{uint32(l.Running), uint32(l.Waiting), uint32(l.Slots), uint32(100 * l.Slowdown)}
}

// loadOf is the inverse of loadFrame.
func loadOf(f []uint32) (*replica.Load, error) {
	if len(f) == 0 {
		return nil, nil
	}
	if len(f) != loadFigures {
		return nil, fmt.Errorf("load of %d figures", len(f))
	}
	l := &replica.Load{Running: int(f[0]), Waiting: int(f[1]), Slots: int(f[2]), Slowdown: float64(f[3]) / 100}
	return l, l.Validate()
}

// Request is a caller's request as it goes to leafs.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// pairs lists a header as names and values in turn, without one that holds the request's
// ID, whose name it returns.
func pairs(h http.Header, id string) (out []string, idName string) {
	for name, values := range h {
		if idName == "" && len(values) == 1 && values[0] == id {
			idName = name
			continue
		}
		for _, v := range values {
			out = append(out, name, v)
		}
	}
	return out, idName
}

// fromPairs is the inverse of pairs.
func fromPairs(list []string) http.Header {
	h := make(http.Header, len(list)/2)
	for i := 0; i+1 < len(list); i += 2 {
		h[list[i]] = append(h[list[i]], list[i+1])
	}
	return h
}

// writeFrame writes one frame: its size, its kind, and its content in CBOR.
func writeFrame(w *bufio.Writer, k kind, v any) error {
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

// readFrame reads one frame.
func readFrame(r *bufio.Reader) (kind, []byte, error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return 0, nil, err
	}
	if size > maxFrame {
		return 0, nil, fmt.Errorf("%w: %d bytes", errFrameSize, size)
	}
	k, err := r.ReadByte()
	if err != nil {
		return 0, nil, err
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(r, raw); err != nil {
		return 0, nil, err
	}
	return kind(k), raw, nil
}

// decode decodes the content of a frame.
func decode[T any](raw []byte) (T, error) {
	var v T
	err := cbor.Unmarshal(raw, &v)
	return v, err
}
