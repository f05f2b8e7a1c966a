package settings

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"strconv"
)

// maxPort is the largest TCP port.
const maxPort = 65535

// checkAddress wants an address that others can dial: a host and a port above 0.
func checkAddress(src *source, pointer, value string) error {
	host, err := checkPort(src, pointer, value, 1)
	if err != nil {
		return err
	}
	if host == "" {
		return src.fail(pointer, "must name a host, not only a port: %q", value)
	}
	if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
		return src.fail(pointer, "%s can't be dialled by other VMs", host)
	}
	return nil
}

// checkListen wants an address to bind. Port 0 binds any free port.
func checkListen(src *source, pointer, value string) error {
	_, err := checkPort(src, pointer, value, 0)
	return err
}

func checkPort(src *source, pointer, value string, least int) (host string, err error) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return "", src.fail(pointer, "must be host:port, not %q", value)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < least || n > maxPort {
		return "", src.fail(pointer, "port %q must be %d to %d", port, least, maxPort)
	}
	return host, nil
}

// checkFile wants a file that exists.
func checkFile(src *source, pointer, file string) error {
	info, err := os.Stat(file)
	if err != nil {
		return src.fail(pointer, "%v", err)
	}
	if !info.Mode().IsRegular() {
		return src.fail(pointer, "%s is not a file", file)
	}
	return nil
}

// checkFiles reads the key files as the daemon will.
func (t *TLS) checkFiles(src *source) error {
	for _, f := range []struct{ field, file string }{
		{"cert_file", t.CertFile}, {"key_file", t.KeyFile}, {"ca_file", t.CAFile},
	} {
		if f.file == "" {
			return src.fail("/peers/tls/"+f.field, "must name a PEM file")
		}
		if err := checkFile(src, "/peers/tls/"+f.field, f.file); err != nil {
			return err
		}
	}
	if _, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile); err != nil {
		return src.fail("/peers/tls/cert_file", "does not go with key_file: %v", err)
	}
	roots, err := os.ReadFile(t.CAFile)
	if err != nil {
		return src.fail("/peers/tls/ca_file", "%v", err)
	}
	if !x509.NewCertPool().AppendCertsFromPEM(roots) {
		return src.fail("/peers/tls/ca_file", "%s holds no certificate in PEM", t.CAFile)
	}
	return nil
}
