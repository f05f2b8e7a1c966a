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

// Files name the key files for mutual TLS.
type Files struct{ Cert, Key, CA string }

// Keys holds the key material. Files that change are read again at the next
// connection; files that can't be read leave the last good ones in use.
type Keys struct {
	files Files
	mu    sync.Mutex
	stamp [3]time.Time
	cert  tls.Certificate
	roots *x509.CertPool
}

// LoadKeys reads the files once and reports an error in them.
func LoadKeys(files Files) (*Keys, error) {
	k := &Keys{files: files}
	if err := k.refresh(); err != nil {
		return nil, fault.Wrap(err, fault.Settings, part, "the key files can't be used")
	}
	return k, nil
}

func (k *Keys) refresh() error {
	stamp, err := k.files.stamp()
	if err != nil || stamp == k.stamp {
		return err
	}
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(k.files.CA)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return fault.New(fault.Settings, part, "%s holds no certificate", k.files.CA)
	}
	k.stamp, k.cert, k.roots = stamp, cert, roots
	return nil
}

func (f Files) stamp() (out [3]time.Time, err error) {
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		info, err := os.Stat(name)
		if err != nil {
			return out, err
		}
		out[i] = info.ModTime()
	}
	return out, nil
}

// config returns the present settings for one connection. Any VM with a
// certificate of the CA may take part; the hello names it.
func (k *Keys) config() *tls.Config {
	k.mu.Lock()
	defer k.mu.Unlock()
	// Files that are being replaced leave the last good ones in use.
	_ = k.refresh()
	roots := k.roots
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{k.cert},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          roots,
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return verify(cs, roots) },
	}
}

// verify checks the peer's certificate against the CA. Peers are reached by
// address, so no host name is checked.
func verify(cs tls.ConnectionState, roots *x509.CertPool) error {
	if len(cs.PeerCertificates) == 0 {
		return fault.New(fault.Unauthorized, part, "the peer sent no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := cs.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         roots,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}

// Dial is a Dialer with mutual TLS.
func (k *Keys) Dial(ctx context.Context, address string) (net.Conn, error) {
	d := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: k.config()}
	return d.DialContext(ctx, "tcp", address)
}

// Listener wraps a listener with mutual TLS.
func (k *Keys) Listener(ln net.Listener) net.Listener {
	return tls.NewListener(ln, &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return k.config(), nil },
	})
}
