/* Counters of this process, safe to raise from any thread. */
#include "counters.h"

#include <stdatomic.h>

static _Atomic uint64_t values[COUNTER_COUNT];

static const char *const words[COUNTER_COUNT] = {
#define X(id, word) [COUNTER_##id] = (word),
	COUNTERS(X)
#undef X
};

/* Raises a counter by the amount given. */
void counter_add(counter_t counter, uint64_t amount)
{
	atomic_fetch_add_explicit(&values[counter], amount, memory_order_relaxed);
}

/* Returns the present value of a counter. */
uint64_t counter_value(counter_t counter)
{
	return atomic_load_explicit(&values[counter], memory_order_relaxed);
}

/* Returns the name of a counter, as shown to operators. */
const char *counter_word(counter_t counter)
{
	return words[counter];
}
