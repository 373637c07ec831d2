package responsecheck

import "strings"

// byteSet is a set of bytes.
type byteSet [256]bool

var (
	// nameBytes are the bytes of a field name, which is a token.
	nameBytes = newByteSet(func(b byte) bool {
		return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || isDigit(b) || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
	})
	// textBytes are the bytes of a field value or a reason phrase: tab, space, visible and above ASCII.
	textBytes = newByteSet(func(b byte) bool { return b >= ' ' && b != 0x7f || b == '\t' })
)

func newByteSet(contains func(byte) bool) byteSet {
	var s byteSet
	for b := range s {
		s[b] = contains(byte(b))
	}
	return s
}

// span returns the number of bytes at the beginning of p that are in s.
func span[T string | []byte](p T, s *byteSet) int {
	for i := range len(p) {
		if !s[p[i]] {
			return i
		}
	}
	return len(p)
}

func isDigit(b byte) bool {
	return b >= '0' && b <= '9'
}
