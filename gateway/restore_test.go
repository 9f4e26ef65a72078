package gateway

import "testing"

// Generations of a group are given out again after the store was restored. An entry that
// names one of before would confirm a division of the partitions that it doesn't know, so
// it joins anew, and at once.
func TestShareIsRenewedWithAFormerGeneration(t *testing.T) {
	f := newFleet(t, 2, 1)
	copied := f.store.Copy()
	// Once the group has settled, the entries read the store several times between two
	// joins.
	f.waitUntil(func() bool {
		joins := joinsOf(f, 1, f.entries[0])
		n := len(joins)
		return n >= 2 && joins[n-1] > 0 && joins[n-1] == joins[n-2]
	})
	f.store.Restore(copied)
	f.waitUntil(func() bool { return len(joinsOf(f, 2, f.entries[0])) > 0 })
	if joins := joinsOf(f, 2, f.entries[0]); joins[0] != 0 {
		t.Errorf("joins in the new era name the generations %v", joins)
	}
}

// joinsOf returns the generations that an entry has sent with its joins in an era.
func joinsOf(f *fleet, era uint64, e *entry) (generations []uint64) {
	for _, j := range f.store.Joins() {
		if j.Era == era && j.Member == string(e.platform.Name) {
			generations = append(generations, j.Generation)
		}
	}
	return generations
}
