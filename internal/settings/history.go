package settings

import (
	"fmt"
	"strings"

	"github.com/mustardwing/mustardwing/internal/strictjson"
)

// HistoryOf returns the records of a field, oldest first, followed by its override if
// there is one. An empty kind stands for the scope's own fields.
func (s *Scope) HistoryOf(kind, field string) []Record {
	var records []Record
	for _, record := range s.History {
		if record.Kind == kind && record.Field == field {
			records = append(records, record)
		}
	}
	if override, ok := s.OverridesFor(kind)[field]; ok {
		records = append(records, override.toRecord(kind, field))
	}
	return records
}

func (o Override) toRecord(kind, field string) Record {
	return Record{Kind: kind, Field: field, Value: o.Value, SetBy: o.SetBy, Reason: o.Reason, SetAt: o.SetAt}
}

// appendHistory appends a record and drops the oldest records beyond
// maxRecordsPerField and maxRecords.
func (s *Scope) appendHistory(record Record) {
	history := append(append([]Record(nil), s.History...), record)
	count := 0
	for _, r := range history {
		if r.Kind == record.Kind && r.Field == record.Field {
			count++
		}
	}
	for i := 0; i < len(history) && count > maxRecordsPerField; {
		if history[i].Kind != record.Kind || history[i].Field != record.Field {
			i++
			continue
		}
		history = append(history[:i], history[i+1:]...)
		count--
	}
	if excess := len(history) - maxRecords; excess > 0 {
		history = history[excess:]
	}
	s.History = history
}

func readHistory(node strictjson.Node) []Record {
	elements, ok := node.List()
	if !ok {
		return nil
	}
	if len(elements) > maxRecords {
		node.ReportInvalid(fmt.Sprintf("at most %d records", maxRecords))
		return nil
	}
	var records []Record
	for _, element := range elements {
		records = append(records, readRecord(element))
	}
	return records
}

// readRecord does not check the value against the field's current range, because
// the range may have changed since the record was written, and a record stays
// unchanged.
func readRecord(node strictjson.Node) Record {
	var record Record
	object, ok := node.Object("kind", "field", "unset", "value", "set_by", "reason", "set_at")
	if !ok {
		return record
	}
	if kind, ok := object.Get("kind"); ok {
		record.Kind = readText(kind, maxNameBytes)
	}
	if field, ok := object.Require("field", "a field name"); ok {
		record.Field = readText(field, maxNameBytes)
	}
	if unset, ok := object.Get("unset"); ok {
		record.Unset, _ = unset.Bool()
	}
	value, given := object.Get("value")
	if given {
		record.Value = value.Raw
	}
	if given == record.Unset {
		node.ReportInvalid("either a value or unset")
	}
	record.SetBy, record.Reason, record.SetAt = readDecision(object)
	return record
}

func hasText(text string) bool {
	return strings.TrimSpace(text) != ""
}
