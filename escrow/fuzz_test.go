package escrow_test

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/hornbeamworks/hornbeam/escrow"
)

// FuzzDecode checks that no row makes the ledger's arithmetic fail, and that a
// team that the ledger lacks has nothing.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"accounts":[{"team":"north","holdings":[{"part":[1,2,3,4,5]}]}]}`))
	f.Add([]byte(`{"accounts":[{"team":"north"},{"team":"north"}]}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`[1]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		// What is not packed must not make the decoder fail otherwise.
		_, _ = escrow.Decode(raw)
		ledger, err := escrow.Decode(pack(raw))
		if err != nil {
			return
		}
		again, err := escrow.Encode(&ledger)
		if err != nil {
			t.Fatal(err)
		}
		if other, err := escrow.Decode(again); err != nil || len(other.Accounts) != len(ledger.Accounts) {
			t.Fatalf("%s does not decode again: %v", raw, err)
		}
		for _, account := range ledger.Accounts {
			if _, ok := ledger.Account(account.Team); !ok {
				t.Fatalf("team %q is lost", account.Team)
			}
		}
		gone, ok := ledger.Account("no such team in any ledger")
		if parts := gone.Parts(); !ok && !parts.IsZero() {
			t.Fatalf("a missing team has %v", parts)
		}
	})
}

// pack returns the bytes under gzip.
func pack(raw []byte) []byte {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return packed.Bytes()
}
