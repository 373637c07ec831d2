package strictjson

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Units of sizes, in bytes.
const (
	KiB int64 = 1 << 10
	MiB int64 = 1 << 20
	GiB int64 = 1 << 30
)

// sizeUnits has B last, since every other suffix ends in it.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", KiB}, {"MiB", MiB}, {"GiB", GiB}, {"B", 1}}

// Duration returns a duration from minValue to maxValue, written as a string with
// units such as "250ms" or "1h30m".
func (n Node) Duration(minValue, maxValue time.Duration) (time.Duration, bool) {
	want := fmt.Sprintf("a duration from %s to %s, such as \"250ms\", \"10s\" or \"1h30m\"", FormatDuration(minValue), FormatDuration(maxValue))
	var value time.Duration
	text, ok := n.quotedText(want)
	if !ok {
		return 0, false
	}
	value, err := time.ParseDuration(text)
	if err != nil || strings.HasPrefix(text, "+") || value < minValue || value > maxValue {
		n.ReportInvalid(want)
		return 0, false
	}
	return value, true
}

// Size returns a number of bytes from minValue to maxValue, written as a string with
// a unit such as "64KiB" or "1GiB".
func (n Node) Size(minValue, maxValue int64) (int64, bool) {
	want := fmt.Sprintf("a size from %s to %s in B, KiB, MiB or GiB, such as \"64KiB\"", FormatSize(minValue), FormatSize(maxValue))
	text, ok := n.quotedText(want)
	if !ok {
		return 0, false
	}
	value, ok := parseSize(text)
	if !ok || value < minValue || value > maxValue {
		n.ReportInvalid(want)
		return 0, false
	}
	return value, true
}

// quotedText is Text, except that want describes what is accepted when the value is
// not a string.
func (n Node) quotedText(want string) (string, bool) {
	if n.firstByte() != '"' {
		n.ReportInvalid(want)
		return "", false
	}
	return n.Text()
}

func parseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || count > uint64((1<<62)/unit.bytes) {
			return 0, false
		}
		return int64(count) * unit.bytes, true
	}
	return 0, false
}

// FormatDuration formats a duration without trailing zero units, as "10m" rather than
// "10m0s".
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// FormatSize formats a number of bytes in the largest unit that divides it without a
// remainder.
func FormatSize(bytes int64) string {
	for _, unit := range []int{2, 1, 0} {
		if bytes != 0 && bytes%sizeUnits[unit].bytes == 0 {
			return fmt.Sprintf("%d%s", bytes/sizeUnits[unit].bytes, sizeUnits[unit].suffix)
		}
	}
	return fmt.Sprintf("%dB", bytes)
}
