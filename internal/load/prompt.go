package load

import (
	"encoding/base32"
	"math/rand/v2"
	"strings"
)

// prompt returns the prompt of one request: a prefix shared by its group and a
// unique suffix, both derived from the seed.
func (c *Class) prompt(seed uint64, class, sequence int) string {
	group := 0
	if c.PrefixGroups > 0 {
		group = sequence % c.PrefixGroups
	}
	prefix := randomText(rand.New(rand.NewPCG(seed, uint64(class)<<32|uint64(group))), c.PrefixBytes)
	suffix := randomText(rand.New(rand.NewPCG(^seed, uint64(class)<<32|uint64(sequence))), c.SuffixBytes)
	return prefix + suffix
}

func randomText(source *rand.Rand, length int) string {
	var b strings.Builder
	var word [5]byte
	for b.Len() < length {
		bits := source.Uint64()
		for i := range word {
			word[i] = byte(bits >> (8 * i))
		}
		b.WriteString(base32.StdEncoding.EncodeToString(word[:]))
		b.WriteByte(' ')
	}
	return b.String()[:length]
}
