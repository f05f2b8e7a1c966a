package table_test

import (
	"fmt"
	"strings"

	"github.com/wagtaildyke/wagtaildyke/root/control/table"
)

func ExampleState_Apply() {
	classes, err := table.ParseCSV(strings.NewReader(header + goodRow))
	if err != nil {
		fmt.Println(err)
		return
	}
	var s table.State
	fmt.Println(s.Apply(table.Change{ID: "a", Classes: classes}).Version)
	conflicting := s.Apply(table.Change{ID: "b", Classes: classes})
	fmt.Println(conflicting.Err.Kind, conflicting.Version)
	retried := s.Apply(table.Change{ID: "a", Classes: classes})
	fmt.Println(retried.Version, retried.Repeated)
	// Output:
	// 1
	// conflict 1
	// 1 true
}
