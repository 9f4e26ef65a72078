package balancer

import (
	"net/http"
	"testing"

	"savoryroad.dev/loader"
	"savoryroad.dev/validator/violator"
)

// A response that violates the protocol is no list: no VM counts as gone because of it.
func TestInvalidResponseIsListOfVMs(t *testing.T) {
	for name, response := range violator.Responses(http.StatusOK, "", `{"VMs": []}`) {
		t.Run(name, func(t *testing.T) {
			s, err := violator.NewServer(violator.Respond(response))
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			b := &Balancer{settings: loader.Settings{VMs: loader.Address("http://" + s.Addr.String())}}
			if list, err := b.fetchVMs(t.Context()); err == nil {
				t.Errorf("list %+v", list)
			}
		})
	}
}
