package mesh

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/mustardwing/mustardwing/internal/h1"
)

// maxHealthBytes bounds the body of the response to a health check, which says nothing that is used.
const maxHealthBytes = 4 << 10

// CheckHealth asks the instance of an announcement whether it still accepts calls, until ctx ends.
// It returns an error if the instance does not, another one has its address, or none responds.
func (u *Upstream) CheckHealth(ctx context.Context, a Announcement, path string) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(upstreamDialTimeout)
	}
	// The check uses a connection of its own: it may be given up in the middle of a response.
	pool := h1.NewPool(h1.PoolConfig{Address: a.Address, DialTimeout: upstreamDialTimeout, MaxResponseBytes: maxHealthBytes})
	defer pool.Close()
	response, err := pool.Do(ctx, &h1.Request{Method: http.MethodGet, Target: path, Host: a.Address, Header: http.Header{}}, deadline)
	if err != nil {
		return errors.Wrapf(err, "health check of instance %q", a.ID)
	}
	if id := u.config.Protocol.DecodeHealth(response); id != a.ID {
		return errors.Errorf("health check of instance %q: status %d from instance %q: want a success from the same instance", a.ID, response.Status, id)
	}
	return nil
}
