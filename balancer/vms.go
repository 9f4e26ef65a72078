package balancer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryroad.dev/controller"
	"savoryroad.dev/loader"
	"savoryroad.dev/validator"
)

const (
	// vmsInterval is the time between two looks at the platform's list.
	vmsInterval = 2 * time.Second
	// vmsTimeout bounds one look.
	vmsTimeout = 5 * time.Second
)

// vmsClient reads the platform's list.
var vmsClient = &http.Client{Transport: validator.NewTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}

// VMList is the platform's list of VMs, as its URL answers. It lags.
type VMList struct{ VMs []VM }

// VM is one VM that there is.
type VM struct {
	// Name is that of the entry that runs there.
	Name loader.EntryName
	// Leaving is set when the platform is about to take the VM away.
	Leaving bool
}

// pollVMs passes the platform's list on to the loop until the context ends. A
// list that can't be read is no list: nobody counts as gone because of it.
func (b *Balancer) pollVMs(ctx context.Context) error {
	if b.settings.VMs == "" {
		return nil
	}
	ticker := time.NewTicker(vmsInterval)
	defer ticker.Stop()
	for {
		if list, err := b.fetchVMs(ctx); err == nil {
			msg := controller.VMsMsg{}
			for _, vm := range list.VMs {
				msg.Names = append(msg.Names, vm.Name)
			}
			b.loop.Send(ctx, msg)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (b *Balancer) fetchVMs(ctx context.Context) (VMList, error) {
	var list VMList
	ctx, cancel := context.WithTimeout(ctx, vmsTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, string(b.settings.VMs), nil)
	if err != nil {
		return list, err
	}
	resp, err := vmsClient.Do(req)
	if err != nil {
		return list, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return list, errors.Newf("VM list answered %s", resp.Status)
	}
	return list, json.NewDecoder(resp.Body).Decode(&list)
}
