/* Counters for what a relay counts. */
#ifndef RELAY_COUNTERS_H
#define RELAY_COUNTERS_H

#include "libcaraway.h"

/* Raises the counter of this process for one event of a relay. */
void relay_counters_add(cw_relay_count_t count);

#endif
