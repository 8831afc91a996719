/* The schedule of a planned stop of a proxy. */
#include "internal.h"

enum {
	PROPAGATION_MS = 2200, /* for callers to notice the stop: two polls a second apart, plus a margin */
	/*
	 * Calls are accepted until this part of the grace period, and no later than the time below: a caller
	 * that has not noticed by then is one of few, and its call would have the least time left.
	 */
	ACCEPT_PERCENT = 50,
	MAX_ACCEPT_MS = 3000,
	EXIT_PERCENT = 86, /* of the grace period: the process exits by then, even on a busy small VM */
	PERCENT = 100
};

/* Returns the schedule of a planned stop that begins now, of a process that is killed after the grace period. */
cw_stop_plan_t cw_stop_plan(int64_t now_ms, uint32_t grace_ms)
{
	int64_t accept_ms = MIN((int64_t)grace_ms * ACCEPT_PERCENT / PERCENT, MAX_ACCEPT_MS);

	return (cw_stop_plan_t){.propagated_ms = now_ms + MIN(grace_ms, PROPAGATION_MS),
				.accept_until_ms = now_ms + accept_ms,
				.exit_by_ms = now_ms + (int64_t)grace_ms * EXIT_PERCENT / PERCENT};
}
