package gossip

import (
	"encoding/json"

	"github.com/mustardwing/mustardwing/internal/directory"
)

// entryList is a list of entries that leaves out the entries that cannot be decoded, so that
// one of them does not hide the others.
type entryList []directory.Entry

// UnmarshalJSON implements json.Unmarshaler.
func (l *entryList) UnmarshalJSON(b []byte) error {
	*l = nil
	if json.Unmarshal(b, (*[]directory.Entry)(l)) == nil {
		return nil
	}
	*l = nil
	var elements []json.RawMessage
	if err := json.Unmarshal(b, &elements); err != nil {
		return err
	}
	for _, element := range elements {
		var e directory.Entry
		if json.Unmarshal(element, &e) == nil {
			*l = append(*l, e)
		}
	}
	return nil
}
