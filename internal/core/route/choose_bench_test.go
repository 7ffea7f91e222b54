package route

import (
	"fmt"
	"testing"
)

// BenchmarkChoose measures one choice among n endpoints with a cache hint for
// one of them.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			table := NewTable(1)
			list := endpoints(n)
			table.Replace(list)
			prompts := make([]*Request, 512)
			for i := range prompts {
				prompts[i] = prompt(uint64(i)<<20, 24)
				table.UpdateHints(list[i*7%n].ID, prompts[i].Blocks, nil)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				table.Choose(0, prompts[i%len(prompts)])
			}
		})
	}
}
