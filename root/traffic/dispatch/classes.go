package dispatch

import (
	"slices"

	"github.com/wagtaildyke/wagtaildyke/root/control/routes"
	"github.com/wagtaildyke/wagtaildyke/root/control/table"
	"github.com/wagtaildyke/wagtaildyke/root/control/view"
)

// classes are those of the operators' table and those that the routes need.
type classes struct {
	tableVersion uint64
	document     *routes.Document
	list         []table.Class
	byName       map[string]table.Class
}

// update takes over the classes of a view when they may have changed.
func (c *classes) update(v *view.View) {
	if c.byName != nil && c.tableVersion == v.Table.Version && c.document == v.Routes {
		return
	}
	c.tableVersion, c.document = v.Table.Version, v.Routes
	c.list = slices.Clone(v.Table.Classes)
	if v.Routes != nil {
		c.list = append(c.list, v.Routes.Classes()...)
	}
	c.byName = make(map[string]table.Class, len(c.list))
	for _, class := range c.list {
		c.byName[class.Name] = class
	}
}
