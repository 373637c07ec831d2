// Package responsechecktest provides responses to the tests of all that reads responses.
package responsechecktest

import (
	"slices"
	"strings"
)

// Response is a response as its bytes. A valid one has the body "body".
type Response struct {
	Name, Bytes string
	Valid       bool
}

// respond returns a response with a status line and extra header lines. Its length is stated unless extra
// contains "length".
func respond(name, statusLine, extra string) Response {
	lines := statusLine + "\r\n" + Identity + extra
	if !strings.Contains(strings.ToLower(extra), "length") {
		lines += "Content-Length: 4\r\n"
	}
	return Response{Name: name, Bytes: lines + "\r\nbody"}
}

// Identity stands for the lines by which a response names its request. Tests replace it with theirs.
const Identity = "X-Identity: {id}\r\n"

const statusLine200 = "HTTP/1.1 200 OK"

// All returns all responses, valid or not.
func All() []Response {
	return append(Invalid(), Valid()...)
}

// Invalid returns all responses that are not valid.
func Invalid() []Response {
	return slices.Concat(InvalidFields(), InvalidStatuses(), InvalidLengths())
}

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

// InvalidLengths returns responses of whose body receivers may make different lengths.
func InvalidLengths() []Response {
	const chunked = "Transfer-Encoding: chunked\r\nX-Length: 4\r\n"
	responses := []Response{
		respond("chunks over HTTP/1.0", "HTTP/1.0 200 OK", chunked),
		respond("length and chunks", statusLine200, chunked+"Content-Length: 4\r\n"),
		respond("chunks and length", statusLine200, "Content-Length: 4\r\n"+chunked),
		respond("two lengths", statusLine200, "Content-Length: 4\r\nContent-Length: 3\r\n"),
		respond("chunks twice", statusLine200, chunked+chunked),
	}
	for _, value := range []string{"", "+4", "-4", "4 4", "0x4", "4, 4", "4;", "99999999999999999999", "4" + strings.Repeat(" ", 99) + "5"} {
		responses = append(responses, respond("length "+value, statusLine200, "Content-Length: "+value+"\r\n"))
	}
	for _, value := range []string{"", "identity", "gzip", "gzip, chunked", "chunked, chunked", "chunked;a", "xchunked"} {
		responses = append(responses, respond("encoding "+value, statusLine200, "Transfer-Encoding: "+value+"\r\nX-Length: 4\r\n"))
	}
	for i := range responses {
		responses[i].Bytes = strings.TrimSuffix(responses[i].Bytes, "body")
		if strings.Contains(responses[i].Bytes, "chunked") {
			responses[i].Bytes += "4\r\nbody\r\n0\r\n\r\n"
		} else {
			responses[i].Bytes += "body"
		}
	}
	return responses
}

// Valid returns responses that are valid, of the forms that few upstreams use.
func Valid() []Response {
	responses := []Response{
		respond("usual", statusLine200, ""),
		respond("characters of a token", statusLine200, "!#$%&'*+-.^_`|~09azAZ: a\r\n"),
		respond("bytes above ASCII in a value", statusLine200, "X-A: \x80\xff\ta\r\n"),
		respond("empty value", statusLine200, "X-A:\r\nX-B: \r\n"),
		respond("empty reason phrase", "HTTP/1.1 200 ", ""),
		respond("no reason phrase", "HTTP/1.1 200", ""),
		respond("bytes above ASCII in the reason phrase", "HTTP/1.1 200 \xc3\xa9", ""),
		respond("HTTP/1.0", "HTTP/1.0 200 OK", ""),
		respond("a later version of HTTP/1", "HTTP/1.2 200 OK", ""),
		respond("the same length twice", statusLine200, "Content-Length: 4\r\nContent-Length: 4\r\n"),
		respond("interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-A: a\r\n\r\nHTTP/1.1 200 OK", ""),
		respond("unusual success", "HTTP/1.1 299 x", ""),
		respond("unusual failure", "HTTP/1.1 599 x", ""),
	}
	for i := range responses {
		responses[i].Valid = true
	}
	return responses
}

func quote(b byte) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[b>>4], digits[b&15]})
}
