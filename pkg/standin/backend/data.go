package backend

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Fake data shape.
const (
	itemsPerShard = 5
	bedsPerItem   = 3
)

var partWords = []string{"bracket", "bolt", "flange", "housing", "shaft"}

// item is one searchable row of a leaf at one snapshot version.
type item struct {
	name string
	text string
}

// items builds a shard's rows at a snapshot version. Rows differ between
// versions so an answer shows which snapshot it was drawn from.
func items(dataset, shard string, snapshot int64) []item {
	out := make([]item, 0, itemsPerShard)
	for k := 0; k < itemsPerShard; k++ {
		switch dataset {
		case settings.DatasetParts:
			word := partWords[k%len(partWords)]
			name := fmt.Sprintf("PN-%s-%d%02d", shard, snapshot, k)
			out = append(out, item{name: name, text: name + " " + word})
		default:
			name := fmt.Sprintf("%s-room-%d", shard, k)
			out = append(out, item{name: name, text: name + " open beds"})
		}
	}
	return out
}

func score(itemName, text string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(itemName + "|" + text))
	return int(h.Sum32() % 1000)
}

// search returns the rows matching text, best score first, at most limit.
func (l *leaf) search(shard string, snapshot int64, text string, limit int, remaining func(string) int) []wire.Hit {
	text = strings.ToLower(text)
	var hits []wire.Hit
	for _, it := range items(l.dataset, shard, snapshot) {
		if !strings.Contains(strings.ToLower(it.text), text) {
			continue
		}
		if l.dataset == settings.DatasetBeds && remaining(it.name) == 0 {
			continue
		}
		hits = append(hits, wire.Hit{Shard: shard, Item: it.name, Score: score(it.name, text)})
	}
	wire.SortHits(hits)
	if limit > 0 && len(hits) > limit {
		hits = hits[:limit]
	}
	return hits
}
