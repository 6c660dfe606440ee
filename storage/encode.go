package storage

import "encoding/json"

// Encode returns row as JSON, the format of row values. It panics if row can't be
// encoded, which can't happen for structs of plain fields.
func Encode(row any) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		panic("storage: " + err.Error())
	}
	return raw
}
