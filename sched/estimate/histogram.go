package estimate

import "math"

// The histograms have buckets of equal ratio. Four buckets per doubling give
// an error of at most 19%, which is small beside the spread of run times.
const (
	bucketsPerDoubling = 4
	bucketCount        = 96
)

// decay is applied to the weight of older samples at each new one; the
// weights of all samples together approach 1/(1-decay), about 33 samples.
const decay = 0.97

// minSamples is the weight below which a histogram is not used.
const minSamples = 2.5

// histogram is a decaying distribution of positive values.
type histogram struct {
	// lowest is the upper bound of the first bucket.
	lowest  float64
	weights [bucketCount]float32
}

// bucket returns the index of the bucket that holds value.
func (h *histogram) bucket(value float64) int {
	if value <= h.lowest {
		return 0
	}
	index := int(math.Ceil(math.Log2(value/h.lowest)*bucketsPerDoubling - 1e-9))
	return min(index, bucketCount-1)
}

// upper returns the upper bound of a bucket.
func (h *histogram) upper(bucket int) float64 {
	return h.lowest * math.Exp2(float64(bucket)/bucketsPerDoubling)
}

// add decays the older samples and adds value.
func (h *histogram) add(value float64) {
	for i := range h.weights {
		h.weights[i] *= decay
	}
	h.weights[h.bucket(value)]++
}

// total returns the weight of the samples above floor.
func (h *histogram) total(floor float64) float64 {
	sum := 0.0
	for i, weight := range h.weights {
		if h.upper(i) > floor {
			sum += float64(weight)
		}
	}
	return sum
}

// quantile returns the q-quantile of the samples above floor, and false when
// their weight is too small to say anything.
func (h *histogram) quantile(q, floor, minWeight float64) (float64, bool) {
	total := h.total(floor)
	if total < minWeight {
		return 0, false
	}
	sum := 0.0
	for i, weight := range h.weights {
		if h.upper(i) <= floor {
			continue
		}
		sum += float64(weight)
		if sum >= q*total-1e-6 && weight > 0 {
			return h.upper(i), true
		}
	}
	return h.upper(bucketCount - 1), true
}

// spread returns the ratio of the high quantile to the median: how much of
// the value is unknown.
func (h *histogram) spread() float64 {
	high, ok := h.quantile(runTimeQuantile, 0, minSamples)
	if !ok {
		return math.Inf(1)
	}
	median, _ := h.quantile(0.5, 0, minSamples)
	return high / median
}
