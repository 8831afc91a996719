/* Latency histograms of this process, safe to update from any thread. */
#ifndef HISTOGRAM_H
#define HISTOGRAM_H

#include <stddef.h>
#include <stdint.h>

/* X(id, name, help): the exported name, and a help text that completes "Milliseconds ...". */
#define HISTOGRAMS(X)                                                                                        \
	X(CALL, "call_ms", "from a caller's request to its outcome")                                         \
	X(QUEUE, "queue_ms", "that a call waited for a slot of the target")                                  \
	X(TARGET, "target_ms", "that the target took to answer")                                             \
	X(UNCONFIRMED, "unconfirmed_ms",                                                                     \
	  "that a proxy could not tell whether its configuration is the newest")

typedef enum {
#define X(id, name, help) HISTOGRAM_##id,
	HISTOGRAMS(X)
#undef X
		HISTOGRAM_COUNT
} histogram_t;

enum { HISTOGRAM_BUCKETS = 13 };

/* Records a value; a negative one counts as 0. */
void histogram_add(histogram_t histogram, int64_t value_ms);
/* Returns the number of values in a bucket, not counting lower buckets. */
uint64_t histogram_bucket_count(histogram_t histogram, size_t bucket);
/* Returns the inclusive upper bound of a bucket; INT64_MAX for the last one. */
int64_t histogram_bucket_bound_ms(size_t bucket);
uint64_t histogram_sum_ms(histogram_t histogram);
const char *histogram_name(histogram_t histogram);
const char *histogram_help(histogram_t histogram);

#endif
