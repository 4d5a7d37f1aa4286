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

// failingService answers its second and third call with an error, and records for each call the
// requested wait in milliseconds.
type failingService struct {
	*httptest.Server
	mu               sync.Mutex
	requestedWaitsMs []string
	// fifthCall is closed when the fifth call arrives.
	fifthCall chan struct{}
}

func newFailingService(t *testing.T) *failingService {
	s := &failingService{fifthCall: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.requestedWaitsMs = append(s.requestedWaitsMs, r.URL.Query().Get("timeout_ms"))
		n := len(s.requestedWaitsMs)
		s.mu.Unlock()
		if n == 5 {
			close(s.fifthCall)
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

// addr returns the address on which the service listens.
func (s *failingService) addr() string { return strings.TrimPrefix(s.URL, "http://") }

// Guards against noticing only after a full long poll that the service works again. This happens if
// a call after a failure waits for a change as long as any other call, since the service does not
// answer it before then.
func TestPollAfterFailureAsksForImmediateAnswer(t *testing.T) {
	for name, startWatch := range map[string]func(ctx context.Context, addr string) error{
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
			s := newFailingService(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			require.NoError(t, startWatch(ctx, s.addr()))
			<-s.fifthCall
			s.mu.Lock()
			defer s.mu.Unlock()
			require.Equal(t, []string{"5000", "5000", "1", "1", "5000"}, s.requestedWaitsMs[:5])
		})
	}
}
