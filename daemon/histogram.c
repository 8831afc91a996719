/* Latency histograms of this process, safe to update from any thread. */
#include "histogram.h"

#include <stdatomic.h>

/* Upper bounds in steps of 1, 2 and 5, up to the few seconds that a call may take. */
static const int64_t bounds_ms[HISTOGRAM_BUCKETS] = {1,	  2,   5,    10,   20,	 50,	   100,
						     200, 500, 1000, 2000, 5000, INT64_MAX};

static _Atomic uint64_t bucket_counts[HISTOGRAM_COUNT][HISTOGRAM_BUCKETS];
static _Atomic uint64_t sums_ms[HISTOGRAM_COUNT];

static const char *const names[HISTOGRAM_COUNT] = {
#define X(id, name, help) [HISTOGRAM_##id] = (name),
	HISTOGRAMS(X)
#undef X
};

static const char *const help_texts[HISTOGRAM_COUNT] = {
#define X(id, name, help) [HISTOGRAM_##id] = (help),
	HISTOGRAMS(X)
#undef X
};

/* Records a value; a negative one, which a clock step can cause, counts as 0. */
void histogram_add(histogram_t histogram, int64_t value_ms)
{
	size_t bucket = 0;

	if (value_ms < 0)
		value_ms = 0;
	while (value_ms > bounds_ms[bucket])
		bucket++;
	atomic_fetch_add_explicit(&bucket_counts[histogram][bucket], 1, memory_order_relaxed);
	atomic_fetch_add_explicit(&sums_ms[histogram], (uint64_t)value_ms, memory_order_relaxed);
}

/* Returns the number of values in a bucket, not counting lower buckets. */
uint64_t histogram_bucket_count(histogram_t histogram, size_t bucket)
{
	return atomic_load_explicit(&bucket_counts[histogram][bucket], memory_order_relaxed);
}

/* Returns the inclusive upper bound of a bucket; INT64_MAX for the last one. */
int64_t histogram_bucket_bound_ms(size_t bucket)
{
	return bounds_ms[bucket];
}

/* Returns the sum of all recorded values. */
uint64_t histogram_sum_ms(histogram_t histogram)
{
	return atomic_load_explicit(&sums_ms[histogram], memory_order_relaxed);
}

/* Returns the exported name of a histogram. */
const char *histogram_name(histogram_t histogram)
{
	return names[histogram];
}

/* Returns the help text of a histogram, which completes "Milliseconds ...". */
const char *histogram_help(histogram_t histogram)
{
	return help_texts[histogram];
}
