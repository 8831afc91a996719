/* Counters of this process, safe to update from any thread. */
#include "counters.h"

#include <stdatomic.h>

static _Atomic uint64_t values[COUNTER_COUNT];

static const char *const names[COUNTER_COUNT] = {
#define X(id, name) [COUNTER_##id] = (name),
	COUNTERS(X)
#undef X
};

/* Increments a counter by an amount. */
void counter_add(counter_t counter, uint64_t amount)
{
	atomic_fetch_add_explicit(&values[counter], amount, memory_order_relaxed);
}

/* Returns the current value of a counter. */
uint64_t counter_value(counter_t counter)
{
	return atomic_load_explicit(&values[counter], memory_order_relaxed);
}

/* Returns the exported name of a counter. */
const char *counter_name(counter_t counter)
{
	return names[counter];
}
