/* The two clocks of a daemon. */
#include "clock.h"

#include <time.h>

enum { MS_PER_S = 1000, NS_PER_MS = 1000000, US_PER_S = 1000000, NS_PER_US = 1000 };

/* Reads a clock in milliseconds. */
static int64_t read_ms(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Returns the monotonic clock in milliseconds; it stands still in no state of the process. */
int64_t clock_now_ms(void)
{
	return read_ms(CLOCK_BOOTTIME);
}

/* Returns the wall clock in milliseconds since the epoch, UTC. */
int64_t clock_utc_ms(void)
{
	return read_ms(CLOCK_REALTIME);
}

/* Returns a number that rises from one start of a process to the next: microseconds of the wall clock. */
uint64_t clock_incarnation(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}
