package gossiper

import (
	"fmt"
	"math/bits"
	"testing"
)

// Guards against instances that no other tells of news, or that tell many: all of a block must be
// told, also those behind instances that do not answer.
func TestNewsReachTheBlock(t *testing.T) {
	for _, size := range []int{1, 2, 3, 8, 37, 75, 300} {
		for _, silent := range []int{0, 3, 10} {
			t.Run(fmt.Sprint(size, " instances, each ", silent, "th silent"), func(t *testing.T) {
				var block []string
				for i := range size {
					block = append(block, fmt.Sprint(i))
				}
				isSilent := func(i int) bool { return silent > 0 && i%silent == silent-1 }
				told := map[string]int{"0": 1}
				// spread tells the blocks that the address passes news on to.
				var spread func(address string)
				spread = func(address string) {
					g := &Gossiper{cfg: Config{Address: address, Blocks: func() [][]string { return [][]string{block, {"other"}} }}}
					own, others := g.blocks()
					if len(others) != 1 || silent == 0 && len(own) > bits.Len(uint(size)) {
						t.Fatalf("%s tells %d, and %d other blocks", address, len(own), len(others))
					}
					for len(own) > 0 {
						b := own[0]
						own = own[1:]
						var i int
						fmt.Sscan(b[0], &i)
						if told[b[0]]++; isSilent(i) {
							own = append(split(b), own...)
						} else {
							spread(b[0])
						}
					}
				}
				spread("0")
				for _, address := range block {
					if told[address] != 1 {
						t.Errorf("%s is told %d times", address, told[address])
					}
				}
			})
		}
	}
}
