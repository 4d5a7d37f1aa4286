// Package cli provides the commands of the two binaries: those that run a
// process with a settings file until a stop signal and then stop it gracefully,
// and those of operators and benchmarks.
package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// stopTimeout is the maximum duration of a graceful stop. Requests in flight
// have their own deadlines, which are shorter.
const stopTimeout = 40 * time.Second

// Stopper is a component that can be stopped gracefully.
type Stopper interface {
	Stop(ctx context.Context) error
}

// RunUntilSignal waits for SIGINT or SIGTERM, or until done is closed, and then
// stops s gracefully.
func RunUntilSignal(log *logrus.Entry, s Stopper, done <-chan struct{}) error {
	sig := make(chan os.Signal, 1)
	signal.Notify(sig, syscall.SIGINT, syscall.SIGTERM)
	defer signal.Stop(sig)
	select {
	case got := <-sig:
		log.WithField("signal", got.String()).Info("stopping")
	case <-done:
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return s.Stop(ctx)
}
