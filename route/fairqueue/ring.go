package fairqueue

import "math"

// node is a member of a ring.
type node[T any] struct {
	owner      T
	weight     float64
	deficit    float64
	round      uint64
	prev, next *node[T]
}

func (n *node[T]) linked() bool { return n.next != nil }

// ring serves its members by deficit round robin. A member is served while its
// deficit is positive and may overdraw it with its last request, so the cost
// of a request need not be known exactly before it is served.
type ring[T any] struct {
	cursor *node[T]
	size   int
	weight float64
	// granted says that the member at the cursor has received its quantum of this
	// round.
	granted bool
	// quantum is fixed for a round, so that all members receive the same.
	quantum float64
	round   uint64
}

// add links n behind all other members. A positive deficit left over from an
// earlier busy period is dropped, because it would let a member burst; a negative
// one is kept.
func (r *ring[T]) add(n *node[T]) {
	n.deficit = math.Min(n.deficit, 0)
	n.round = r.round - 1
	r.size++
	r.weight += n.weight
	if r.cursor == nil {
		n.prev, n.next = n, n
		r.cursor = n
		r.granted = false
		n.round = r.round
		return
	}
	n.next = r.cursor
	n.prev = r.cursor.prev
	n.prev.next = n
	n.next.prev = n
}

// remove unlinks n.
func (r *ring[T]) remove(n *node[T]) {
	r.size--
	r.weight -= n.weight
	if r.size == 0 {
		r.cursor = nil
		r.weight = 0
	} else {
		n.prev.next = n.next
		n.next.prev = n.prev
		if r.cursor == n {
			r.next()
		}
	}
	n.prev, n.next = nil, nil
}

// setWeight changes the weight of n.
func (r *ring[T]) setWeight(n *node[T], weight float64) {
	if n.linked() {
		r.weight += weight - n.weight
	}
	n.weight = weight
}

// next moves the cursor to the next member.
func (r *ring[T]) next() {
	r.cursor = r.cursor.next
	r.granted = false
}

// grant gives the member at the cursor its quantum for each unit of weight. A
// round starts at a member that has been granted in the current one, and takes
// over the given quantum.
func (r *ring[T]) grant(quantum float64) {
	n := r.cursor
	if r.granted {
		return
	}
	r.granted = true
	if n.round == r.round || r.quantum == 0 {
		r.round++
		r.quantum = quantum
	}
	n.round = r.round
	n.deficit += r.quantum * n.weight
}

// pick returns the member to serve next.
func (r *ring[T]) pick(quantum float64) *node[T] {
	if r.size == 0 {
		return nil
	}
	for {
		for range r.size {
			r.grant(quantum)
			if r.cursor.deficit > 0 {
				return r.cursor
			}
			r.next()
		}
		r.skipRounds()
	}
}

// skipRounds grants all members the rounds that would pass without serving any of
// them, so that large negative deficits cost no more than one extra pass.
func (r *ring[T]) skipRounds() {
	rounds := math.Inf(1)
	n := r.cursor
	for range r.size {
		rounds = math.Min(rounds, math.Floor(-n.deficit/(r.quantum*n.weight)))
		n = n.next
	}
	if rounds < 1 {
		return
	}
	for range r.size {
		n.deficit += rounds * r.quantum * n.weight
		n = n.next
	}
}

// charge takes cost from n and ends its turn when its deficit is used up.
func (r *ring[T]) charge(n *node[T], cost float64) {
	n.deficit -= cost
	if n.deficit <= 0 && r.cursor == n {
		r.next()
	}
}
