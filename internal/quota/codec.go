package quota

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	formatVersion = 1
	reportType    = 1
	rulingType    = 2
	// MaxDatagramBytes bounds a datagram, so that it travels unfragmented.
	MaxDatagramBytes = 1400
	// maxEntries is the number of entries that fit into a datagram at their largest size.
	maxEntries = 16

	// maxSpan bounds the time that a report states.
	maxSpan = time.Hour

	movedFlag       = 1
	provisionalFlag = 1
	relaxedFlag     = 2

	probabilityScale = math.MaxUint16
)

var (
	errFormat = errors.New("not a quota datagram of a known version")
	errSender = errors.New("the sender is not in the directory")
)

func (r report) encode() []byte {
	b := append(make([]byte, 0, 64+64*len(r.entries)), formatVersion, reportType)
	b = binary.BigEndian.AppendUint64(b, r.incarnation)
	b = binary.AppendUvarint(b, r.sequence)
	b = append(b, byte(len(r.entries)))
	for _, e := range r.entries {
		b = binary.BigEndian.AppendUint64(b, e.organisation)
		for _, v := range []uint64{e.epoch, e.total.asked, e.total.admitted, e.total.returned, e.unconfirmed.asked, e.unconfirmed.admitted, e.unconfirmed.returned, uint64(e.span / time.Millisecond)} {
			b = binary.AppendUvarint(b, v)
		}
		b = appendProbability(b, e.probability)
		b = append(b, flagBit(e.moved, movedFlag))
	}
	return b
}

func (r ruling) encode() []byte {
	b := append(make([]byte, 0, 40+11*len(r.entries)), formatVersion, rulingType)
	b = binary.BigEndian.AppendUint64(b, r.incarnation)
	b = binary.AppendUvarint(b, r.sequence)
	b = binary.AppendUvarint(b, r.confirmed)
	b = append(b, byte(len(r.entries)))
	for _, e := range r.entries {
		b = binary.BigEndian.AppendUint64(b, e.organisation)
		b = appendProbability(b, e.probability)
		b = append(b, flagBit(e.provisional, provisionalFlag)|flagBit(e.relaxed, relaxedFlag))
	}
	return b
}

func flagBit(set bool, bit byte) byte {
	if set {
		return bit
	}
	return 0
}

func appendProbability(b []byte, p float64) []byte {
	return binary.BigEndian.AppendUint16(b, uint16(math.Round(min(max(p, 0), 1)*probabilityScale)))
}

// decode returns the message in a datagram: a report or a ruling.
func decode(b []byte) (any, error) {
	d := decoder{rest: b}
	if d.byte() != formatVersion {
		return nil, errFormat
	}
	switch d.byte() {
	case reportType:
		r := d.report()
		return r, d.finish()
	case rulingType:
		r := d.ruling()
		return r, d.finish()
	}
	return nil, errFormat
}

// decoder reads the fields of a datagram. After a failure all further fields are zero.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) report() report {
	r := report{incarnation: d.fixed(8), sequence: d.uvarint()}
	for range d.count() {
		r.entries = append(r.entries, reportEntry{
			organisation: d.fixed(8), epoch: d.uvarint(), total: d.counters(), unconfirmed: d.counters(),
			span: d.milliseconds(), probability: d.probability(), moved: d.byte()&movedFlag != 0,
		})
	}
	return r
}

func (d *decoder) ruling() ruling {
	r := ruling{incarnation: d.fixed(8), sequence: d.uvarint(), confirmed: d.uvarint()}
	for range d.count() {
		e := rulingEntry{organisation: d.fixed(8), probability: d.probability()}
		flags := d.byte()
		e.provisional, e.relaxed = flags&provisionalFlag != 0, flags&relaxedFlag != 0
		r.entries = append(r.entries, e)
	}
	return r
}

func (d *decoder) counters() counters {
	return counters{asked: d.uvarint(), admitted: d.uvarint(), returned: d.uvarint()}
}

// milliseconds reads a duration of at most maxSpan.
func (d *decoder) milliseconds() time.Duration {
	return time.Duration(min(d.uvarint(), uint64(maxSpan/time.Millisecond))) * time.Millisecond
}

func (d *decoder) probability() float64 {
	return float64(d.fixed(2)) / probabilityScale
}

// count returns the number of entries that follow.
func (d *decoder) count() int {
	n := int(d.byte())
	if n > maxEntries {
		d.failed = true
		return 0
	}
	return n
}

func (d *decoder) byte() byte {
	return byte(d.fixed(1))
}

// fixed reads a big-endian number of a number of bytes.
func (d *decoder) fixed(bytes int) uint64 {
	if d.failed || len(d.rest) < bytes {
		d.failed = true
		return 0
	}
	v := uint64(0)
	for _, b := range d.rest[:bytes] {
		v = v<<8 | uint64(b)
	}
	d.rest = d.rest[bytes:]
	return v
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if d.failed || n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

// finish returns an error if a field was missing or bytes are left.
func (d *decoder) finish() error {
	if d.failed || len(d.rest) > 0 {
		return errFormat
	}
	return nil
}
