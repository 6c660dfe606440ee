package escrow_test

import (
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
		ledger, err := escrow.Decode(raw)
		if err != nil {
			return
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
