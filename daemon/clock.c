/* Monotonic and wall clock time. */
#include "clock.h"

#include <time.h>

enum { MS_PER_S = 1000, NS_PER_MS = 1000000, US_PER_S = 1000000, NS_PER_US = 1000 };

/* Returns the time of a clock in milliseconds. */
static int64_t read_ms(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return (int64_t)now.tv_sec * MS_PER_S + now.tv_nsec / NS_PER_MS;
}

/* Returns the monotonic clock in milliseconds; it also advances while the machine is suspended. */
int64_t clock_now_ms(void)
{
	return read_ms(CLOCK_BOOTTIME);
}

/* Returns the wall clock in milliseconds since the epoch, UTC. */
int64_t clock_utc_ms(void)
{
	return read_ms(CLOCK_REALTIME);
}

/*
 * Returns a number that is greater than at any earlier start of the process: wall
 * clock microseconds, as long as that clock is not set back between starts.
 */
uint64_t clock_incarnation(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}
