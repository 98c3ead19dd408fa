package main

import (
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/hyssopreel/hyssopreel/api"
)

type turnsCommand struct {
	Args struct {
		Addresses []string `positional-arg-name:"ADDRESS:PORT" required:"1" description:"metrics addresses of hosts with a disk"`
	} `positional-args:"yes" required:"yes"`
}

// diskRow is one host in the result of the command turns. Error is set instead of the other fields if it does not answer.
type diskRow struct {
	Address string `json:"address"`
	Error   string `json:"error,omitempty"`
	api.DiskView
}

func (c *turnsCommand) run(a *app) error {
	rows := make([]diskRow, 0, len(c.Args.Addresses))
	failed := 0
	for _, address := range c.Args.Addresses {
		row := diskRow{Address: address}
		v, err := getDiskView(a, address)
		if row.DiskView = v; err != nil {
			row.Error = err.Error()
			failed++
		}
		rows = append(rows, row)
	}
	if err := a.printResult(rows, "HOST STATE TURNS BYTES DISK-USED DISK-SIZE TOO-FEW-COPIES OLDEST-REPAIR DAMAGED COMPLETE", func(add func(cells ...any)) {
		for _, r := range rows {
			if r.Error != "" {
				add(r.Address, "no answer", "", "", "", "", "", "", "", "")
				continue
			}
			state := r.State
			if r.Full {
				state += ",full"
			}
			add(r.Host, state, r.Turns, r.Bytes, r.UsedBytes, r.LimitBytes, r.PendingCopies, formatAge(r.OldestPendingMS), r.DamagedTurns, r.Complete)
		}
	}); err != nil {
		return err
	}
	if failed > 0 {
		return errors.Newf("%d of %d hosts did not answer", failed, len(rows))
	}
	return nil
}

func getDiskView(a *app, address string) (api.DiskView, error) {
	var v api.DiskView
	request, err := http.NewRequestWithContext(a.ctx, http.MethodGet, "http://"+address+"/v1/turns", nil)
	if err != nil {
		return v, usageErrorf("address %q of a host with a disk: %s", address, err)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		return v, errors.Wrapf(err, "get the view of the host at %s", address)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return v, errors.Newf("get the view of the host at %s: %s; is this the metrics address of a host with a disk?", address, resp.Status)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxFleetViewBytes)).Decode(&v)
	return v, errors.Wrapf(err, "decode the view of the host at %s", address)
}
