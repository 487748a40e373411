package estimate

import "math"

// The buckets of a histogram grow by a constant ratio. Four buckets per doubling
// give an error of at most 19%, which is small compared with the spread of run
// times.
const (
	bucketsPerDoubling = 4
	bucketCount        = 96
)

// decayFactor multiplies the weights of the older samples at each new one. The
// total weight approaches 1/(1-decayFactor), about 33 samples.
const decayFactor = 0.97

// minSampleWeight is the total weight below which a histogram is not used.
const minSampleWeight = 2.5

// histogram is a distribution of positive values whose samples decay.
type histogram struct {
	// lowest is the upper bound of the first bucket.
	lowest  float64
	weights [bucketCount]float32
}

// bucketOf returns the index of the bucket that contains value.
func (h *histogram) bucketOf(value float64) int {
	if value <= h.lowest {
		return 0
	}
	index := int(math.Ceil(math.Log2(value/h.lowest)*bucketsPerDoubling - 1e-9))
	return min(index, bucketCount-1)
}

// upperBound returns the upper bound of a bucket.
func (h *histogram) upperBound(bucket int) float64 {
	return h.lowest * math.Exp2(float64(bucket)/bucketsPerDoubling)
}

// add decays the older samples and adds value.
func (h *histogram) add(value float64) {
	for i := range h.weights {
		h.weights[i] *= decayFactor
	}
	h.weights[h.bucketOf(value)]++
}

// weightAbove returns the total weight of the samples above floor.
func (h *histogram) weightAbove(floor float64) float64 {
	sum := 0.0
	for i, weight := range h.weights {
		if h.upperBound(i) > floor {
			sum += float64(weight)
		}
	}
	return sum
}

// quantile returns the q-quantile of the samples above floor, and false when
// their total weight is below minWeight.
func (h *histogram) quantile(q, floor, minWeight float64) (float64, bool) {
	total := h.weightAbove(floor)
	if total < minWeight {
		return 0, false
	}
	sum := 0.0
	for i, weight := range h.weights {
		if h.upperBound(i) <= floor {
			continue
		}
		sum += float64(weight)
		if sum >= q*total-1e-6 && weight > 0 {
			return h.upperBound(i), true
		}
	}
	return h.upperBound(bucketCount - 1), true
}

// spread returns the ratio of the quantile that estimates use to the median, or
// infinity when there are too few samples. The larger it is, the less a single
// value is known in advance.
func (h *histogram) spread() float64 {
	high, ok := h.quantile(runTimeQuantile, 0, minSampleWeight)
	if !ok {
		return math.Inf(1)
	}
	median, _ := h.quantile(0.5, 0, minSampleWeight)
	return high / median
}
