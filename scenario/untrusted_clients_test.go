package scenario_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of legal requests.
const (
	legalHeadBytes = 16_384
	legalBodyBytes = 4_194_304
)

// Numbers of clients. Each set alone costs a process more than its memory or descriptors
// unless it accounts for what it holds.
const (
	bodyClients     = 80
	headClients     = 600
	endlessClients  = 60
	idlePartClients = 1_000
)

// A client that is disconnected comes back after reconnectPause, maxRounds times in all.
// Without end means endlessBytes, unless the connection is closed before.
const (
	maxRounds      = 4
	reconnectPause = 200 * time.Millisecond
	clientTimeout  = 10 * time.Second
	endlessBytes   = 1 << 20
)

// clientSet is a number of clients that all send the same bytes on connections of their own
// and then keep them open.
type clientSet struct {
	count int
	// pieces are written one after the other.
	pieces [][]byte
}

// play starts the clients of all sets. sent is closed once each of them has sent its bytes
// or was disconnected for the first time; stop disconnects them and waits for their end.
func play(address string, sets ...clientSet) (sent <-chan struct{}, stop func()) {
	done, all := make(chan struct{}), make(chan struct{})
	var clients sync.WaitGroup
	var left atomic.Int64
	for _, s := range sets {
		left.Add(int64(s.count))
	}
	for _, s := range sets {
		for range s.count {
			clients.Go(func() {
				var first sync.Once
				for range maxRounds {
					s.round(address, done, func() {
						first.Do(func() {
							if left.Add(-1) == 0 {
								close(all)
							}
						})
					})
					select {
					case <-done:
						return
					case <-time.After(reconnectPause):
					}
				}
			})
		}
	}
	return all, func() {
		close(done)
		clients.Wait()
	}
}

// round sends the bytes on one connection and keeps it open until done or until the other
// side closes it.
func (s clientSet) round(address string, done <-chan struct{}, sent func()) {
	defer sent()
	conn, err := net.DialTimeout("tcp", address, clientTimeout)
	if err != nil {
		return
	}
	ended := make(chan struct{})
	var closer sync.WaitGroup
	closer.Go(func() {
		select {
		case <-done:
		case <-ended:
		}
		conn.Close()
	})
	defer closer.Wait()
	defer close(ended)
	_ = conn.SetWriteDeadline(time.Now().Add(clientTimeout))
	for _, piece := range s.pieces {
		if _, err := conn.Write(piece); err != nil {
			return
		}
	}
	sent()
	// What is answered doesn't matter here; the end of the connection does.
	_, _ = io.Copy(io.Discard, conn)
}

// target is where the clients' requests go on one front end.
type target struct {
	// address is that of the listener.
	address string
	// path is a path whose requests have bodies.
	path string
	// header are header lines that a request needs.
	header string
}

func (t target) head(extra string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\n%s%s", t.path, t.header, extra)
}

// wholeBodies are bodies of legal size with a stated length that lack their last byte.
func wholeBodies(t target) clientSet {
	head := t.head(fmt.Sprintf("Content-Length: %d\r\n\r\n", legalBodyBytes))
	return clientSet{bodyClients, [][]byte{[]byte(head), bytes.Repeat([]byte{'x'}, legalBodyBytes-1)}}
}

// chunkedBodies are bodies of legal size in chunks of 1 KB that lack their last byte.
func chunkedBodies(t target) clientSet {
	const size = 1 << 10
	chunk := "400\r\n" + strings.Repeat("x", size) + "\r\n"
	body := strings.Repeat(chunk, legalBodyBytes/size)
	head := t.head("Transfer-Encoding: chunked\r\n\r\n")
	return clientSet{bodyClients, [][]byte{[]byte(head), []byte(body[:len(body)-len("x\r\n")])}}
}

// shortLines are n bytes of header lines of five bytes, each with a name of its own.
func shortLines(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZ"
	var out strings.Builder
	for i := 0; out.Len()+len("xy:\r\n") <= n; i++ {
		out.WriteString(string(letters[i/len(letters)%len(letters)]) + string(letters[i%len(letters)]) + ":\r\n")
	}
	return out.String()
}

// oddLines are n bytes of lines that are malformed, or legal and rare.
func oddLines(n int) string {
	kinds := []string{"x\r\n", ": y\r\n", " z:1\r\n", "\tq\r\n", "a b: c\r\n", "d:\x01\r\n", "e\x7f:f\r\n", "g:h\n", "\xff\xfe:\xfd\r\n", "i:\r\n  \r\n"}
	var out strings.Builder
	for i := 0; out.Len() < n-8; i++ {
		out.WriteString(kinds[i%len(kinds)])
	}
	return out.String()
}

// partHeads are heads of legal size, made of short lines, that lack their end.
func partHeads(t target) clientSet {
	head := t.head("")
	return clientSet{headClients, [][]byte{[]byte(head + shortLines(legalHeadBytes-len(head)))}}
}

// wholeHeads are heads of legal size, made of short lines, of requests whose body of two
// bytes lacks the last one.
func wholeHeads(t target) clientSet {
	head := t.head("Content-Length: 2\r\n")
	return clientSet{headClients, [][]byte{[]byte(head + shortLines(legalHeadBytes-len(head)-len("\r\n")) + "\r\nx")}}
}

// oddHeads are heads of legal size, made of odd lines, that lack their end.
func oddHeads(t target) clientSet {
	head := t.head("")
	return clientSet{headClients, [][]byte{[]byte(head + oddLines(legalHeadBytes-len(head)))}}
}

// endlessHeads are heads without end, of short lines and of one line.
func endlessHeads(t target) []clientSet {
	return []clientSet{
		{endlessClients, [][]byte{[]byte(t.head("")), []byte(shortLines(endlessBytes))}},
		{endlessClients, [][]byte{[]byte(t.head("x: ")), bytes.Repeat([]byte{'x'}, endlessBytes)}},
	}
}

// emptyLines are empty lines without end, before any request and after one.
func emptyLines(t target) []clientSet {
	lines := bytes.Repeat([]byte("\r\n"), endlessBytes/2)
	return []clientSet{
		{endlessClients, [][]byte{lines}},
		{endlessClients, [][]byte{[]byte(t.head("Content-Length: 1\r\n\r\nx")), lines}},
	}
}

// idleParts are connections that send nothing, and ones that send the start of a head.
func idleParts(t target) []clientSet {
	return []clientSet{{idlePartClients / 2, nil}, {idlePartClients / 2, [][]byte{[]byte(t.head(""))}}}
}
