package codec

import (
	"time"

	"github.com/wagtaildyke/wagtaildyke/api"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

func fromClasses(classes []table.Class) []*api.LogClass {
	out := make([]*api.LogClass, 0, len(classes))
	for _, c := range classes {
		out = append(out, &api.LogClass{
			Name:          c.Name,
			Weight:        int64(c.Weight),
			Place:         int64(c.Priority),
			Concurrency:   int64(c.Concurrency),
			RatePerSecond: c.RatePerSecond,
			Queue:         int64(c.Queue),
			Tokens:        int64(c.Tokens),
			DeadlineNanos: int64(c.Deadline),
			Targets:       c.Targets,
			Idempotent:    c.Idempotent,
		})
	}
	return out
}

func toClasses(classes []*api.LogClass) []table.Class {
	var out []table.Class
	for _, c := range classes {
		out = append(out, table.Class{
			Name:          c.Name,
			Weight:        int(c.Weight),
			Priority:      int(c.Place),
			Concurrency:   int(c.Concurrency),
			RatePerSecond: c.RatePerSecond,
			Queue:         int(c.Queue),
			Tokens:        int(c.Tokens),
			Deadline:      time.Duration(c.DeadlineNanos),
			Targets:       c.Targets,
			Idempotent:    c.Idempotent,
		})
	}
	return out
}
