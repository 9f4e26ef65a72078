package controller

import "testing"

// Giving spare shares away ends with every entry within one share of its part,
// whatever they began with.
func TestSpareSharesEvenOut(t *testing.T) {
	for _, owned := range [][]int{{64, 0, 0}, {12, 3, 3, 3, 3, 3, 3, 3, 3, 4, 3, 3, 3, 3, 3, 3, 3, 3}, {30, 30, 4, 0}, {64}} {
		for range 200 {
			for i := range owned {
				to := 0
				for j := range owned {
					if owned[j] < owned[to] {
						to = j
					}
				}
				if n := spare(owned[i], owned[to], len(owned)); n > 0 && to != i {
					owned[i] -= n
					owned[to] += n
				}
			}
		}
		low := 64 / len(owned)
		for _, n := range owned {
			if n < low || n > low+1 {
				t.Errorf("shares %v, want %d or %d each", owned, low, low+1)
				break
			}
		}
	}
}
