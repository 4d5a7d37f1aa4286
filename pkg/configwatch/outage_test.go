package configwatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/indigoyoke/indigoyoke/pkg/service"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// failing is a service that refuses its second and third call and notes how long each was to wait.
type failing struct {
	*httptest.Server
	mu    sync.Mutex
	waits []string
	// enough is closed with the fifth call.
	enough chan struct{}
}

func newFailing(t *testing.T) *failing {
	s := &failing{enough: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.waits = append(s.waits, r.URL.Query().Get("timeout_ms"))
		n := len(s.waits)
		s.mu.Unlock()
		if n == 5 {
			close(s.enough)
		}
		if n == 2 || n == 3 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("{}"))
	}))
	t.Cleanup(s.Close)
	return s
}

// addr is where the service listens.
func (s *failing) addr() string { return strings.TrimPrefix(s.URL, "http://") }

// Guards against: a return of the service that is noticed only when a call has waited for a change
// as long as any other.
func TestCallsAfterAFailureAreShort(t *testing.T) {
	for name, follow := range map[string]func(ctx context.Context, addr string) error{
		"configuration": func(ctx context.Context, addr string) error {
			w, err := NewWatcher(addr, "z", metrics.NewSet(), service.Logger("test", "w", "z"))
			if err == nil {
				go w.Run(ctx)
			}
			return err
		},
		"instances": func(ctx context.Context, addr string) error {
			c, err := service.NewClient(1, time.Second)
			if err == nil {
				go WatchInstances(ctx, c, addr, "z", service.Logger("test", "w", "z"), func(wire.Instance) {})
			}
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFailing(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			require.NoError(t, follow(ctx, s.addr()))
			<-s.enough
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Equal(t, []string{"5000", "5000", "1", "1", "5000"}, s.waits[:5])
		})
	}
}
