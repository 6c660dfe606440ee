package storage

import "encoding/json"

// Encode returns the value of a row of plain fields, which always encode.
func Encode(row any) []byte {
	raw, err := json.Marshal(row)
	if err != nil {
		panic("storage: " + err.Error())
	}
	return raw
}
