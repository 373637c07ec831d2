package fleet

import (
	"context"
	"time"
)

// Poll calls check at the given interval until it returns nil. If ctx is done
// first, Poll returns the last error of check.
func Poll(ctx context.Context, interval time.Duration, check func() error) error {
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return err
		}
	}
}
