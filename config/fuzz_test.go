package config_test

import (
	"testing"

	"github.com/hornbeamworks/hornbeam/config"
)

// FuzzDecode checks that a decoded configuration has a version and keeps it when
// it is encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":3,"teams":[{"name":"north","limit":[1,2,3,4,5]}]}`))
	f.Add([]byte(`{"version":0}`))
	f.Add([]byte(`{"version":1,"keys":[{"id":"k","hash":"zz"}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		decoded, err := config.Decode(raw)
		if err != nil {
			return
		}
		if decoded.Version == 0 {
			t.Fatal("a configuration without a version was accepted")
		}
		encoded, err := config.Encode(decoded)
		if err != nil {
			t.Fatal(err)
		}
		if other, err := config.Decode(encoded); err != nil || other.Version != decoded.Version {
			t.Fatalf("%s does not decode to the same version: %v", encoded, err)
		}
		config.NewKeyring(decoded.Keys).Find(config.DigestOf("secret"))
	})
}
