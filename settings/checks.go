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

// checkAddress requires an address that other VMs can dial: a host that is not
// unspecified and a port above 0.
func checkAddress(src *source, pointer, value string) error {
	host, err := checkPort(src, pointer, value, 1)
	if err != nil {
		return err
	}
	if host == "" {
		return src.fieldError(pointer, "must name a host, not only a port: %q", value)
	}
	if ip := net.ParseIP(host); ip != nil && ip.IsUnspecified() {
		return src.fieldError(pointer, "%s can't be dialled by other VMs", host)
	}
	return nil
}

// checkListen requires an address to listen on. Port 0 selects a free port.
func checkListen(src *source, pointer, value string) error {
	_, err := checkPort(src, pointer, value, 0)
	return err
}

func checkPort(src *source, pointer, value string, minPort int) (host string, err error) {
	host, port, err := net.SplitHostPort(value)
	if err != nil {
		return "", src.fieldError(pointer, "must be host:port, not %q", value)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < minPort || n > maxPort {
		return "", src.fieldError(pointer, "port %q must be %d to %d", port, minPort, maxPort)
	}
	return host, nil
}

// checkFile requires an existing regular file.
func checkFile(src *source, pointer, file string) error {
	info, err := os.Stat(file)
	if err != nil {
		return src.fieldError(pointer, "%v", err)
	}
	if !info.Mode().IsRegular() {
		return src.fieldError(pointer, "%s is not a regular file", file)
	}
	return nil
}

// checkFiles requires TLS files that the daemon can load.
func (t *TLS) checkFiles(src *source) error {
	for _, f := range []struct{ field, file string }{
		{"cert_file", t.CertFile}, {"key_file", t.KeyFile}, {"ca_file", t.CAFile},
	} {
		if f.file == "" {
			return src.fieldError("/peers/tls/"+f.field, "must name a PEM file")
		}
		if err := checkFile(src, "/peers/tls/"+f.field, f.file); err != nil {
			return err
		}
	}
	if _, err := tls.LoadX509KeyPair(t.CertFile, t.KeyFile); err != nil {
		return src.fieldError("/peers/tls/cert_file", "can't be loaded with key_file: %v", err)
	}
	roots, err := os.ReadFile(t.CAFile)
	if err != nil {
		return src.fieldError("/peers/tls/ca_file", "%v", err)
	}
	if !x509.NewCertPool().AppendCertsFromPEM(roots) {
		return src.fieldError("/peers/tls/ca_file", "%s contains no PEM certificate", t.CAFile)
	}
	return nil
}
