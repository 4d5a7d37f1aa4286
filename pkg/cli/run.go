// Package cli owns what the two binaries share: running a process until a
// stop signal and then stopping it gracefully, and the commands that start
// each kind of process from a settings file.
package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// stopBudget bounds a graceful stop; requests in flight are bounded by their
// own deadlines, which are shorter.
const stopBudget = 40 * time.Second

// Stopper is a process part with a graceful stop.
type Stopper interface {
	Stop(ctx context.Context) error
}

// RunUntilSignal waits for SIGINT or SIGTERM, or for done to close, and then
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
	ctx, cancel := context.WithTimeout(context.Background(), stopBudget)
	defer cancel()
	return s.Stop(ctx)
}
