package peers

import (
	"net/http"
	"slices"
)

// requestFrame is a request of a caller inside another frame.
type requestFrame struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Method textRef
	Host   textRef
	Target string
	// Header holds names and values alternately. IDHeader is the name of the header that holds
	// ID, which is not part of Header; "" if there is none.
	Header   []textRef
	IDHeader textRef
	Body     []byte
}

// encodeRequest encodes a request.
func (w *textEncoder) encodeRequest(id string, r Request) requestFrame {
	f := requestFrame{ID: id, Target: r.Target, Body: r.Body, Method: w.ref(r.Method), Host: w.ref(r.Host)}
	header, idName := headerPairs(r.Header, id)
	for _, text := range header {
		f.Header = append(f.Header, w.ref(text))
	}
	f.IDHeader = w.ref(idName)
	return f
}

// decodeRequest is the inverse of encodeRequest. It resolves the texts in the order in which they
// were encoded, so that both ends assign the same numbers.
func (r *textDecoder) decodeRequest(f requestFrame) (Request, error) {
	texts, err := r.resolveAll(slices.Concat([]textRef{f.Method, f.Host}, f.Header, []textRef{f.IDHeader}))
	if err != nil {
		return Request{}, err
	}
	header, idName := texts[2:len(texts)-1], texts[len(texts)-1]
	fields := headerFromPairs(header)
	if idName != "" {
		fields[idName] = []string{f.ID}
	}
	return Request{Method: texts[0], Host: texts[1], Target: f.Target, Header: fields, Body: f.Body}, nil
}

// resolveAll resolves several references.
func (r *textDecoder) resolveAll(refs []textRef) ([]string, error) {
	out := make([]string, 0, len(refs))
	for _, f := range refs {
		text, err := r.resolve(f)
		if err != nil {
			return nil, err
		}
		out = append(out, text)
	}
	return out, nil
}

// Request is a caller's request in the form in which leafs receive it.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
}

// headerPairs returns a header as alternating names and values, without the first header whose only
// value is id. idName is the name of that header.
func headerPairs(h http.Header, id string) (out []string, idName string) {
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

// headerFromPairs is the inverse of headerPairs.
func headerFromPairs(list []string) http.Header {
	h := make(http.Header, len(list)/2)
	for i := 0; i+1 < len(list); i += 2 {
		h[list[i]] = append(h[list[i]], list[i+1])
	}
	return h
}
