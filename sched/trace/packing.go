package trace

import (
	"slices"

	"github.com/lacewingpier/lacewingpier/core/ident"
	"github.com/lacewingpier/lacewingpier/sched/model"
)

// layout is the part of a shape that decides where it fits.
type layout struct {
	tasks    int
	perTask  int
	locality model.Locality
}

func (l layout) size() int { return l.tasks * l.perTask }

// packer decides whether gangs fit at once on workers with given numbers of
// free accelerators. It searches all placements, visits equal states once, and is
// independent of the policies. The sizes of the tasks must divide each other,
// because gangs without locality are only counted (see fitWithoutLocality).
type packer struct {
	layouts []layout
	// racks holds the indices of the workers of each rack.
	racks [][]int
	// memo holds the answers for states. A state is the sorted free counts of
	// the racks and the numbers of gangs that remain.
	memo map[string]bool
}

// newPacker returns a packer for the layouts. It sorts them: gangs in one rack
// first, then on one worker, then without locality, the largest tasks first.
func newPacker(workers []model.Worker, layouts []layout) *packer {
	p := &packer{layouts: slices.Clone(layouts), memo: make(map[string]bool)}
	slices.SortFunc(p.layouts, compareLayouts)
	byRack := make(map[ident.Rack]int)
	for i, w := range workers {
		rack, known := byRack[w.Rack]
		if !known {
			rack = len(p.racks)
			byRack[w.Rack] = rack
			p.racks = append(p.racks, nil)
		}
		p.racks[rack] = append(p.racks[rack], i)
	}
	return p
}

// searchOrder ranks the localities by how early their gangs are placed.
var searchOrder = map[model.Locality]int{
	model.LocalityRack: 0, model.LocalityWorker: 1, model.LocalityPartition: 2,
}

func compareLayouts(a, b layout) int {
	if order := searchOrder[a.locality] - searchOrder[b.locality]; order != 0 {
		return order
	}
	if order := b.perTask - a.perTask; order != 0 {
		return order
	}
	return b.tasks - a.tasks
}

// fits reports whether counts[i] gangs of each layouts[i] fit at once.
func (p *packer) fits(free []int, counts []int) bool {
	state := make([][]int, len(p.racks))
	for rack, workers := range p.racks {
		for _, worker := range workers {
			state[rack] = append(state[rack], free[worker])
		}
	}
	return p.search(state, slices.Clone(counts))
}

// search places the first remaining gang in every possible way.
func (p *packer) search(state [][]int, counts []int) bool {
	next := slices.IndexFunc(counts, func(n int) bool { return n > 0 })
	if next < 0 {
		return true
	}
	if !p.enoughInTotal(state, counts) {
		return false
	}
	l := p.layouts[next]
	if l.locality == model.LocalityPartition {
		return p.fitWithoutLocality(state, counts)
	}
	key := stateKey(state, counts)
	if answer, ok := p.memo[key]; ok {
		return answer
	}
	counts[next]--
	found := false
	for rack := range state {
		if found = p.placeInRack(state, counts, l, rack); found {
			break
		}
	}
	counts[next]++
	p.memo[key] = found
	return found
}

// placeInRack tries the ways to place one gang in a rack.
func (p *packer) placeInRack(state [][]int, counts []int, l layout, rack int) bool {
	if l.locality == model.LocalityRack {
		return p.spreadInRack(state, counts, l, rack, 0, l.tasks)
	}
	for i := range state[rack] {
		if state[rack][i] < l.size() {
			continue
		}
		state[rack][i] -= l.size()
		found := p.search(state, counts)
		state[rack][i] += l.size()
		if found {
			return true
		}
	}
	return false
}

// spreadInRack tries the ways to divide the remaining tasks among the workers of
// a rack from the given worker on.
func (p *packer) spreadInRack(state [][]int, counts []int, l layout, rack, worker, remaining int) bool {
	if remaining == 0 {
		return p.search(state, counts)
	}
	if worker == len(state[rack]) {
		return false
	}
	for n := min(remaining, state[rack][worker]/l.perTask); n >= 0; n-- {
		state[rack][worker] -= n * l.perTask
		found := p.spreadInRack(state, counts, l, rack, worker+1, remaining-n)
		state[rack][worker] += n * l.perTask
		if found {
			return true
		}
	}
	return false
}

// enoughInTotal reports whether the workers have as many free accelerators as the
// remaining gangs need.
func (p *packer) enoughInTotal(state [][]int, counts []int) bool {
	surplus := 0
	for _, rack := range state {
		for _, free := range rack {
			surplus += free
		}
	}
	for index, count := range counts {
		surplus -= count * p.layouts[index].size()
	}
	return surplus >= 0
}

// fitWithoutLocality decides when only gangs without locality remain. Since the
// sizes of smaller tasks divide those of larger ones, a larger task takes the same
// number of slots for smaller tasks wherever it is placed, so counting is exact.
func (p *packer) fitWithoutLocality(state [][]int, counts []int) bool {
	for index := range counts {
		if counts[index] == 0 {
			continue
		}
		perTask := p.layouts[index].perTask
		slots := 0
		for _, rack := range state {
			for _, free := range rack {
				slots += free / perTask
			}
		}
		for larger := 0; larger <= index; larger++ {
			l := p.layouts[larger]
			slots -= counts[larger] * l.size() / perTask
		}
		if slots < 0 {
			return false
		}
	}
	return true
}

// stateKey encodes a state so that equal ones have equal keys: the order of
// the workers in a rack and of the racks does not matter.
func stateKey(state [][]int, counts []int) string {
	racks := make([]string, len(state))
	for i, rack := range state {
		sorted := slices.Clone(rack)
		slices.Sort(sorted)
		encoded := make([]byte, len(sorted))
		for j, free := range sorted {
			encoded[j] = byte(free)
		}
		racks[i] = string(encoded)
	}
	slices.Sort(racks)
	var key []byte
	for _, rack := range racks {
		key = append(key, rack...)
		key = append(key, 0xff)
	}
	for _, count := range counts {
		key = append(key, byte(count))
	}
	return string(key)
}
