package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
)

// makeNestedCalls calls the configured services through the node, one after the other.
// It returns the path, which lists the instances that ran the nested calls, and the
// status of the parent call: 502 when a nested call failed, 200 otherwise.
func (s *Server) makeNestedCalls(r *http.Request, testID string) ([]string, int) {
	var path []string
	for _, call := range s.config.NestedCalls {
		response, ok := s.makeNestedCall(r, call, testID)
		if !ok {
			s.recordNestedFailure()
			return nil, http.StatusBadGateway
		}
		path = append(path, response.Path...)
	}
	return path, http.StatusOK
}

// makeNestedCall sends one nested call, written as service or service/kind, and reports
// whether it succeeded with a response to this test id.
func (s *Server) makeNestedCall(r *http.Request, call, testID string) (Response, bool) {
	service, kind, _ := strings.Cut(call, "/")
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
	var response Response
	decodeErr := json.NewDecoder(resp.Body).Decode(&response)
	_, _ = io.Copy(io.Discard, resp.Body)
	return response, resp.StatusCode == http.StatusOK && decodeErr == nil && response.TestID == testID
}
