package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// The announcement is sent at most announceAttempts times, announceInterval apart.
const (
	announcePath     = "/mustardwing/v1/upstream"
	announceAttempts = 50
	announceInterval = 100 * time.Millisecond
)

// announcement mirrors the JSON announcement that a node accepts.
type announcement struct {
	Service           string `json:"service"`
	Address           string `json:"address"`
	Slots             int    `json:"slots"`
	MaxConnections    int    `json:"max_connections"`
	Ready             bool   `json:"ready"`
	Draining          bool   `json:"draining"`
	RefusesBeforeWork bool   `json:"refuses_before_work"`
}

// announce announces this instance to the node. It retries, since the node may
// still be starting, and returns the error of the last attempt.
func (s *Server) announce(ctx context.Context) error {
	var err error
	for range announceAttempts {
		if err = s.announceOnce(ctx); err == nil {
			return nil
		}
		select {
		case <-time.After(announceInterval):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return err
}

func (s *Server) announceOnce(ctx context.Context) error {
	body, err := json.Marshal(announcement{
		Service:           s.config.Service,
		Address:           s.announcedAddr(),
		Slots:             s.config.Slots,
		MaxConnections:    s.config.MaxConnections,
		Ready:             true,
		Draining:          s.draining.Load(),
		RefusesBeforeWork: s.config.RefusesBeforeWork,
	})
	if err != nil {
		return errors.Wrap(err, "encode announcement")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, s.config.Node+announcePath, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return errors.Errorf("announce: the node responded with status %s", resp.Status)
	}
	return nil
}

// announcedAddr returns the address at which the node is to call the instance.
func (s *Server) announcedAddr() string {
	if s.config.Advertise != "" {
		return s.config.Advertise
	}
	return s.Addr()
}

// Drain announces to the node, once, that this instance is draining. The instance
// continues to run calls.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	return s.announceOnce(ctx)
}

func (s *Server) handleSlow(w http.ResponseWriter, r *http.Request) {
	factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
	if err != nil || factor <= 0 {
		http.Error(w, "factor: want a positive number", http.StatusBadRequest)
		return
	}
	s.SetSlow(factor)
}

func (s *Server) handleDrain(w http.ResponseWriter, r *http.Request) {
	if err := s.Drain(r.Context()); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
	}
}
