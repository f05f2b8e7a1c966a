package settings_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

// installedDir is the directory of the TLS files and the token in the examples.
const installedDir = "/etc/wagtaildyke"

// writeKeys writes a token and a self-signed CA certificate to a temporary
// directory, which it returns.
func writeKeys(c *qt.C) string {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	private, err := x509.MarshalPKCS8PrivateKey(key)
	c.Assert(err, qt.IsNil)
	folder := c.TempDir()
	c.Assert(os.Mkdir(filepath.Join(folder, "tls"), 0o700), qt.IsNil)
	c.Assert(os.WriteFile(filepath.Join(folder, "operator-token"), []byte("secret"), 0o600), qt.IsNil)
	for name, block := range map[string]*pem.Block{
		"tls/vm.pem":     {Type: "CERTIFICATE", Bytes: cert},
		"tls/ca.pem":     {Type: "CERTIFICATE", Bytes: cert},
		"tls/vm-key.pem": {Type: "PRIVATE KEY", Bytes: private},
	} {
		c.Assert(os.WriteFile(filepath.Join(folder, name), pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	return folder
}

func TestExampleFiles(t *testing.T) {
	tests := []struct {
		folder                 string
		vms, domains, replicas int
		classes                []string
		once                   string
	}{
		{"co-operative", 8, 4, 5, []string{"colour-match", "ventilating-quote", "wig-history", "dye-lot-order", "stock-lookup"}, "dye-lot-order"},
		{"tour-company", 7, 3, 5, []string{"burrow-survey", "kiosk-question", "reservation", "availability"}, "reservation"},
	}
	for _, test := range tests {
		t.Run(test.folder, func(t *testing.T) {
			c := qt.New(t)
			keys := writeKeys(c)
			files, err := filepath.Glob(filepath.Join("..", "examples", test.folder, "*.jsonc"))
			c.Assert(err, qt.IsNil)
			c.Assert(len(files), qt.Equals, 2)
			for _, file := range files {
				data, err := os.ReadFile(file)
				c.Assert(err, qt.IsNil)
				s, err := settings.Parse(file, []byte(strings.ReplaceAll(string(data), installedDir, keys)))
				c.Assert(err, qt.IsNil)
				domains := map[string]int{}
				for _, m := range s.Members {
					domains[m.FailureDomain]++
				}
				c.Check(s.VM+".jsonc", qt.Equals, filepath.Base(file))
				c.Check(len(s.Members), qt.Equals, test.vms)
				c.Check(len(domains), qt.Equals, test.domains)
				c.Check(len(s.Replicas()), qt.Equals, test.replicas)
			}
			in, err := os.Open(filepath.Join("..", "examples", test.folder, "table.csv"))
			c.Assert(err, qt.IsNil)
			defer in.Close()
			classes, err := table.ParseCSV(in)
			c.Assert(err, qt.IsNil)
			var names []string
			for _, class := range classes {
				names = append(names, class.Name)
				c.Check(class.Idempotent, qt.Equals, class.Name != test.once, qt.Commentf("%s", class.Name))
			}
			c.Check(names, qt.DeepEquals, test.classes)
		})
	}
}
