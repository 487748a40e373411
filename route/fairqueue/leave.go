package fairqueue

import "container/heap"

// leaveHeap orders waiting items by the time at which they must have left.
type leaveHeap []*item

// Len implements heap.Interface.
func (h leaveHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h leaveHeap) Less(i, j int) bool { return h[i].leaveBy.Before(h[j].leaveBy) }

// Swap implements heap.Interface.
func (h leaveHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *leaveHeap) Push(x any) {
	it := x.(*item)
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *leaveHeap) Pop() any {
	old := *h
	last := len(old) - 1
	it := old[last]
	old[last] = nil
	*h = old[:last]
	return it
}

func (h *leaveHeap) add(it *item)    { heap.Push(h, it) }
func (h *leaveHeap) remove(it *item) { heap.Remove(h, it.heapIndex) }
