//go:build review

package main

import (
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// folderBytes returns the size of the files in a folder.
func folderBytes(folder string) (size int64) {
	_ = filepath.WalkDir(folder, func(_ string, e os.DirEntry, err error) error {
		if err == nil && !e.IsDir() {
			if info, err := e.Info(); err == nil {
				size += info.Size()
			}
		}
		return nil
	})
	return size
}

// platform kills processes that use more than the memory of their machines, and starts each
// process that has ended again after a short delay, as the pages say.
type platform struct {
	d     *deployment
	of    []*daemon
	limit int64
	done  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	kills map[string]int
	most  int64
	files int64
}

func watchMemory(d *deployment, of []*daemon, limit int64) *platform {
	p := &platform{d: d, of: of, limit: limit, done: make(chan struct{}), kills: map[string]int{}}
	for _, m := range of {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			p.watch(m)
		}()
	}
	return p
}

func (p *platform) watch(m *daemon) {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(100 * time.Millisecond):
		}
		now := m.memory()
		size := folderBytes(filepath.Join(p.d.folder, m.ip))
		p.mu.Lock()
		p.most, p.files = max(p.most, now), max(p.files, size)
		p.mu.Unlock()
		if now > p.limit {
			p.d.rec.printf("process %s uses %d MiB of memory with %d MiB of files: killed", m.ip, now>>20, size>>20)
			p.mu.Lock()
			p.kills[m.ip]++
			p.mu.Unlock()
			m.signal(syscall.SIGKILL)
			<-m.ended
		}
		if !m.running() {
			time.Sleep(500 * time.Millisecond)
			p.d.rec.printf("process %s is started again", m.ip)
			if err := m.start(); err != nil {
				p.d.rec.printf("%v", err)
				return
			}
		}
	}
}

func (p *platform) stop() {
	close(p.done)
	p.wg.Wait()
}

// report reports what was seen and returns the number of machines whose process was killed
// three times or more.
func (p *platform) report(limit int64) int {
	killed := 0
	for _, m := range p.of {
		p.d.rec.printf("process %s was killed %d times for its memory", m.ip, p.kills[m.ip])
		if p.kills[m.ip] >= 3 {
			killed++
		}
	}
	p.d.rec.printf("%d MiB of memory at most, of %d MiB", p.most>>20, limit>>20)
	return killed
}
