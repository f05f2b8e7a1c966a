package main

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"github.com/wagtaildyke/wagtaildyke/root"
	"github.com/wagtaildyke/wagtaildyke/settings"
)

// settingsPoll is the time between looks at the settings file, which may change
// without a signal.
const settingsPoll = time.Second

// serve runs the daemon of one VM. Its log goes to standard output.
func serve(ctx context.Context, file string, out io.Writer) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	queue := newLogQueue(out)
	defer queue.Close()
	log := newQueuedLogger(queue, s.Log)
	root.LimitMemory(s.Limits)
	p, err := root.Open(s, log)
	if err != nil {
		return err
	}
	// SIGHUP must not end the process before the watch begins.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	w := &watcher{file: file, log: log, changed: p.Reload}
	w.seen = w.stamp()
	go w.watch(watching, hup)
	return p.Serve(ctx)
}

// watcher reads the settings again at each SIGHUP and whenever the file changed.
type watcher struct {
	file    string
	log     logr.Logger
	changed func(*settings.Settings)
	seen    stamp
}

// stamp tells two contents of a file apart without reading it.
type stamp struct {
	modified time.Time
	size     int64
}

func (w *watcher) watch(ctx context.Context, hup <-chan os.Signal) {
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			w.reload()
		case <-t.C:
			if w.stamp() != w.seen {
				w.reload()
			}
		}
	}
}

// stamp is zero while the file can't be read; it is looked at again.
func (w *watcher) stamp() stamp {
	info, err := os.Stat(w.file)
	if err != nil {
		return stamp{}
	}
	return stamp{info.ModTime(), info.Size()}
}

// reload leaves the settings as they are when the file is not good.
func (w *watcher) reload() {
	w.seen = w.stamp()
	next, err := settings.Load(w.file)
	if err != nil {
		w.log.Error(err, "kept the settings: the changed file can't be used")
		return
	}
	w.changed(next)
}
