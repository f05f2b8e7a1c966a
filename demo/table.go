package demo

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/wagtaildyke/wagtaildyke/fault"
	"github.com/wagtaildyke/wagtaildyke/root/operator"
)

// tableCSV is the table of a new data folder.
const tableCSV = `class,weight,place,concurrency,rate_per_second,queue,tokens,deadline_ms,targets,idempotent
short,3,0,16,50,64,0,10000,assistant,yes
summary,1,1,16,20,64,0,60000,assistant,yes
lookup,1,0,16,100,64,0,5000,stock,yes
order,1,0,8,20,32,0,15000,stock,no
`

// emptyVersion is the version of a table that was never changed.
const emptyVersion = "0"

// putFirstTable sets the table unless the data folder holds one.
func (c *cluster) putFirstTable(ctx context.Context) error {
	url := c.processes[0].OperatorURL() + "/v1/table"
	resp, err := exchange(ctx, http.MethodGet, url, "")
	if err != nil || resp.Header.Get(operator.VersionHeader) != emptyVersion {
		return err
	}
	_, err = exchange(ctx, http.MethodPut, url, tableCSV)
	return err
}

func exchange(ctx context.Context, method, url, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, part, "table request")
	}
	req.Header.Set(operator.VersionHeader, emptyVersion)
	req.Header.Set(operator.ChangeIDHeader, "demo")
	req.Header.Set(operator.AuthorHeader, "demo")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.Unavailable, part, "table request")
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, part, "the table was refused: %s", text)
	}
	return resp, nil
}
