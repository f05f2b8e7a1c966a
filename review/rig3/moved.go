//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["moved"] = movedCase }

// movedCase sends requests with a part that crashes workers. While they come, configs move
// their route to other services, one after the other.
func movedCase(rec *record, trouble bool) (bool, error) {
	d, err := newDeployment(rec, deployOptions{replicas: 3, entries: 2})
	if err != nil {
		return false, err
	}
	defer d.stop()
	engines := &deadlyWorkers{rec: rec}
	var names []string
	var services []map[string]any
	for i := range 4 {
		names = append(names, fmt.Sprintf("assistant-%d", i+1))
		services = append(services, engineService(names[i]))
	}
	for i := range 24 {
		w, err := newWorker(rec, d.controls(), fmt.Sprintf("%s%d", d.prefix, 100+i), names[i%4], "decode", 24, engines.answer)
		if err != nil {
			return false, err
		}
		defer w.stop()
	}
	config := func(service string) map[string]any {
		return newConfig([]map[string]any{route("ask", "shop.example", "/ask/", "streaming", service, nil)}, services)
	}
	if err := d.start(config(names[0])); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)
	sound := &tally{}
	load := newLoad()
	send := func(n int, prefix string) (*request, result) {
		r := &request{method: "POST", host: "shop.example", path: "/ask/1", id: newID(), deadline: 3 * time.Second, body: []byte("q"), headers: map[string]string{
			"Wagtaildyke-Model": "m", "Wagtaildyke-Token-Usage": "300,8", "Wagtaildyke-Prompt-Prefix": prefix,
		}}
		return r, r.send(d.entries()[n%2].front())
	}
	load.every(50*time.Millisecond, func(n int) {
		r, res := send(n, fmt.Sprintf("5c1e07a2:100,%08x:200", 0x10000000+n))
		sound.add(res)
		rec.printf("sound %s status %d err %v", r.id, res.status, res.err)
	})
	load.every(300*time.Millisecond, func(n int) {
		prefix := []string{fmt.Sprintf("%08x:50", 0x20000000+n), deadlyPart + ":50", fmt.Sprintf("%08x:200", 0x30000000+n)}
		r, res := send(n, strings.Join(prefix, ","))
		rec.printf("with the part %s: %s, status %d err %v", deadlyPart, r.id, res.status, res.err)
	})
	for i := range names {
		if i > 0 && trouble {
			if err := d.putConfig(config(names[i]), 5*time.Second); err != nil {
				return false, err
			}
		}
		time.Sleep(9 * time.Second)
		crashes, late := engines.late()
		rec.printf("after %d moves of the route: %d crashes, %d of them late", i, crashes, late)
	}
	load.stop()
	crashes, late := engines.late()
	rec.printf("sound requests: %s; those that failed were broken off by a crash", sound)
	rec.printf("%d crashes; %d requests with the part reached workers later than %s after the fifth crash; the rule allows 3", crashes, late, contactTime)
	if sound.ok < sound.total()/4 {
		return false, notRun("too few sound requests were served: %s", sound)
	}
	return late > 3, nil
}
