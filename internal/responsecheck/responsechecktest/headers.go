// Package responsechecktest provides responses to the tests of all that reads responses.
package responsechecktest

import "strings"

// Response is a response with the body "body", as its bytes.
type Response struct {
	Name, Bytes string
}

// respond returns a response with the given status line and lines of its header, in which extra replaces
// the line that states the length if it contains "length".
func respond(name, statusLine, extra string) Response {
	lines := statusLine + "\r\n" + Identity + extra
	if !strings.Contains(strings.ToLower(extra), "length") {
		lines += "Content-Length: 4\r\n"
	}
	return Response{Name: name, Bytes: lines + "\r\nbody"}
}

// Identity stands for the lines by which a response names its request. Tests replace it.
const Identity = "X-Identity: {id}\r\n"

const statusLine200 = "HTTP/1.1 200 OK"

// InvalidFields returns responses with a header that is not valid because of a field.
func InvalidFields() []Response {
	responses := []Response{
		respond("fold", statusLine200, "X-A: a\r\n b\r\n"),
		respond("fold of the length", statusLine200, "Content-Length:\r\n 4\r\n"),
		respond("fold behind the status line", "HTTP/1.1 200 OK\r\n X-A: a", ""),
		respond("no name", statusLine200, ": a\r\n"),
		respond("no colon", statusLine200, "X-A\r\n"),
		respond("LF alone", statusLine200, "X-A: a\nX-B: b\r\n"),
		respond("empty line of LF alone", statusLine200, "X-A: a\r\n\nX-B: b\r\n"),
		respond("CR alone", statusLine200, "X-A: a\rX-B: b\r\n"),
		respond("CR twice", statusLine200, "X-A: a\r\r\n"),
		respond("control byte in a value", statusLine200, "X-A: a\x00b\r\n"),
		respond("control byte in the reason phrase", "HTTP/1.1 200 O\x01K", ""),
		respond("interim response", "HTTP/1.1 103 Early Hints\r\nX A: a\r\n\r\nHTTP/1.1 200 OK", ""),
	}
	for _, b := range []byte(" \t\x00\x01\n\r\x7f\x80\"(),/;<=>?@[\\]{}") {
		responses = append(responses,
			respond("before a name: "+quote(b), statusLine200, string([]byte{b})+"Content-Length: 4\r\n"),
			respond("in a name: "+quote(b), statusLine200, "Content"+string([]byte{b})+"Length: 4\r\n"),
			respond("behind a name: "+quote(b), statusLine200, "Content-Length"+string([]byte{b})+": 4\r\n"),
		)
	}
	return responses
}

// InvalidStatuses returns responses with a status that no final response over HTTP/1 without a change of
// protocol has, and responses behind an interim one with such a status.
func InvalidStatuses() []Response {
	var responses []Response
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		responses = append(responses,
			respond("status "+status, "HTTP/1.1 "+status+" x", ""),
			respond("status "+status+" in chunks", "HTTP/1.1 "+status+" x", "Transfer-Encoding: chunked\r\nX-Length: 4\r\n"),
			Response{Name: "status " + status + " without a body", Bytes: "HTTP/1.1 " + status + " x\r\n" + Identity + "Content-Length: 0\r\n\r\n"},
			respond("interim status "+status, "HTTP/1.1 "+status+" x\r\n\r\nHTTP/1.1 200 OK", ""),
		)
	}
	for _, status := range []string{"+20", "-20", "20", "2 0", "2000", "0x1", " 200"} {
		responses = append(responses, respond("status "+status, "HTTP/1.1 "+status+" x", ""))
	}
	return responses
}

// Valid returns responses that are valid, of the forms that few upstreams use.
func Valid() []Response {
	return []Response{
		respond("usual", statusLine200, ""),
		respond("characters of a token", statusLine200, "!#$%&'*+-.^_`|~09azAZ: a\r\n"),
		respond("bytes above ASCII in a value", statusLine200, "X-A: \x80\xff\ta\r\n"),
		respond("empty value", statusLine200, "X-A:\r\nX-B: \r\n"),
		respond("empty reason phrase", "HTTP/1.1 200 ", ""),
		respond("no reason phrase", "HTTP/1.1 200", ""),
		respond("bytes above ASCII in the reason phrase", "HTTP/1.1 200 \xc3\xa9", ""),
		respond("HTTP/1.0", "HTTP/1.0 200 OK", ""),
		respond("interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\nHTTP/1.1 200 OK", ""),
		respond("unusual success", "HTTP/1.1 299 x", ""),
		respond("unusual failure", "HTTP/1.1 599 x", ""),
	}
}

func quote(b byte) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[b>>4], digits[b&15]})
}
