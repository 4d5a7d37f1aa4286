package backend

import (
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/indigoyoke/indigoyoke/pkg/settings"
	"github.com/indigoyoke/indigoyoke/pkg/wire"
)

// Dimensions of the generated sample data.
const (
	itemsPerShard = 5
	bedsPerItem   = 3
)

// partWords are the texts of the items of a parts shard, in row order.
var partWords = []string{"bracket", "bolt", "flange", "housing", "shaft"}

// item is one searchable row of a leaf at one snapshot version.
type item struct {
	name string
	text string
}

// items returns the rows of a shard at a snapshot version. The names of parts contain the
// version, so that an answer shows which snapshot it came from.
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

// score returns a deterministic pseudo-random score of an item for a search text.
func score(itemName, text string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(itemName + "|" + text))
	return int(h.Sum32() % 1000)
}

// search returns the rows that contain text, ignoring case, in descending order of score.
// It returns at most limit rows, or all if limit is 0. Items without free beds, as
// reported by remaining, are left out of a beds dataset.
func (l *leaf) search(
	shard string, snapshot int64, text string, limit int, remaining func(string) int,
) []wire.Hit {
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
