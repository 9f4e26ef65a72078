package emulator

import (
	"maps"
	"net/http"
	"slices"
	"sync"

	"savoryroad.dev/balancer"
	"savoryroad.dev/loader"
)

// VMs is a stand-in for the platform's list of VMs. It lags as much as whoever
// changes it lets it.
type VMs struct {
	mu    sync.Mutex
	names map[loader.EntryName]bool
}

// NewVMs returns an empty list.
func NewVMs() *VMs { return &VMs{names: map[loader.EntryName]bool{}} }

// Add lists a VM.
func (v *VMs) Add(name loader.EntryName) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.names[name] = true
}

// Remove takes a VM off the list.
func (v *VMs) Remove(name loader.EntryName) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.names, name)
}

// ServeHTTP answers with the list.
func (v *VMs) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list balancer.VMList
	for _, name := range slices.Sorted(maps.Keys(v.names)) {
		list.VMs = append(list.VMs, balancer.VM{Name: name})
	}
	writeJSON(w, http.StatusOK, list)
}
