package escrow_test

import (
	"bytes"
	"compress/gzip"
	"testing"

	"github.com/hornbeamworks/hornbeam/escrow"
)

// FuzzDecode checks that no row content makes decoding or the ledger's arithmetic
// panic, that a decoded ledger can be encoded again, and that a team without an
// account has no parts.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"accounts":[{"team":"north","holdings":[{"part":[1,2,3,4,5]}]}]}`))
	f.Add([]byte(`{"accounts":[{"team":"north"},{"team":"north"}]}`))
	f.Add([]byte(`{}`))
	f.Add([]byte(`[1]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		// Uncompressed input must not make the decoder panic.
		_, _ = escrow.Decode(raw)
		ledger, err := escrow.Decode(compress(raw))
		if err != nil {
			return
		}
		again, err := escrow.Encode(&ledger)
		if err != nil {
			t.Fatal(err)
		}
		if other, err := escrow.Decode(again); err != nil || len(other.Accounts) != len(ledger.Accounts) {
			t.Fatalf("%s can't be decoded after encoding: %v", raw, err)
		}
		for _, account := range ledger.Accounts {
			if _, ok := ledger.Account(account.Team); !ok {
				t.Fatalf("team %q has no account", account.Team)
			}
		}
		missing, ok := ledger.Account("no such team in any ledger")
		if parts := missing.Parts(); !ok && !parts.IsZero() {
			t.Fatalf("a team without an account has parts %v", parts)
		}
	})
}

// compress returns the bytes compressed by gzip.
func compress(raw []byte) []byte {
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	_, _ = w.Write(raw)
	_ = w.Close()
	return compressed.Bytes()
}
