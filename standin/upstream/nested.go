package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// callChildren calls the configured services through the node, one after the
// other, and returns the path taken. A failed child makes the call fail with 502.
func (s *Server) callChildren(r *http.Request, testID string) ([]string, int) {
	var path []string
	for _, child := range s.config.NestedCalls {
		answer, ok := s.callChild(r, child, testID)
		if !ok {
			s.recordChildFailure()
			return nil, http.StatusBadGateway
		}
		path = append(path, answer.Path...)
	}
	return path, http.StatusOK
}

// callChild sends one outgoing call. A child is written as service or
// service/kind.
func (s *Server) callChild(r *http.Request, child, testID string) (Response, bool) {
	service, kind, _ := strings.Cut(child, "/")
	method := http.MethodGet
	if r.Method == http.MethodPost {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(r.Context(), method, s.config.Node+"/"+kind, nil)
	if err != nil {
		return Response{}, false
	}
	for _, name := range propagatedHeaders {
		if v := r.Header.Get(name); v != "" {
			req.Header.Set(name, v)
		}
	}
	req.Header.Set("Mustardwing-Service", service)
	if kind != "" {
		req.Header.Set("Mustardwing-Kind", kind)
	}
	req.Header.Set(HeaderTestID, testID)
	resp, err := s.client.Do(req)
	if err != nil {
		return Response{}, false
	}
	defer resp.Body.Close()
	var answer Response
	decodeErr := json.NewDecoder(resp.Body).Decode(&answer)
	_, _ = io.Copy(io.Discard, resp.Body)
	return answer, resp.StatusCode == http.StatusOK && decodeErr == nil && answer.TestID == testID
}
