package peers

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/wagtaildyke/wagtaildyke/fault"
)

// TLSFiles names the PEM files for mutual TLS.
type TLSFiles struct{ Cert, Key, CA string }

// Credentials holds the certificates and the key for mutual TLS. Changed files are
// reloaded at the next connection. If they can't be loaded, the last valid credentials
// stay in use.
type Credentials struct {
	files    TLSFiles
	mu       sync.Mutex
	modTimes [3]time.Time
	cert     tls.Certificate
	roots    *x509.CertPool
}

// LoadCredentials loads the files. It returns an error if they are invalid.
func LoadCredentials(files TLSFiles) (*Credentials, error) {
	c := &Credentials{files: files}
	if err := c.refresh(); err != nil {
		return nil, fault.Wrap(err, fault.Settings, part, "failed to load the TLS files")
	}
	return c, nil
}

func (c *Credentials) refresh() error {
	modTimes, err := c.files.modTimes()
	if err != nil || modTimes == c.modTimes {
		return err
	}
	cert, err := tls.LoadX509KeyPair(c.files.Cert, c.files.Key)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(c.files.CA)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fault.New(fault.Settings, part, "%s contains no PEM certificate", c.files.CA)
	}
	c.modTimes, c.cert, c.roots = modTimes, cert, roots
	return nil
}

func (f TLSFiles) modTimes() (out [3]time.Time, err error) {
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return out, err
		}
		out[i] = info.ModTime()
	}
	return out, nil
}

// config returns the current TLS configuration for one connection. Any VM with a
// certificate issued by the CA is accepted. Its identity comes from the hello.
func (c *Credentials) config() *tls.Config {
	c.mu.Lock()
	defer c.mu.Unlock()
	// While files are being replaced, the last valid credentials stay in use.
	_ = c.refresh()
	roots := c.roots
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{c.cert},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          roots,
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return verifyPeer(cs, roots) },
	}
}

// verifyPeer verifies the peer's certificate against the CA. Peers are dialed by
// address, so the host name is not verified.
func verifyPeer(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, part, "the peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range cs.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// Dial is a Dialer that uses mutual TLS.
func (c *Credentials) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: c.config()}
	return d.DialContext(ctx, "tcp", address)
}

// Listener wraps a listener with mutual TLS.
func (c *Credentials) Listener(ln net.Listener) net.Listener {
	return tls.NewListener(ln, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return c.config(), nil },
	})
}
