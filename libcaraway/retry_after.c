/*
 * The Retry-After time for a refused caller.
 *
 * Refusals come in bursts, under overload or while targets start.  Callers that
 * were refused together must not retry together, so the time has jitter; and a
 * retry should come early enough to be answered within its latency objective.
 */
#include "internal.h"

enum {
	DEFAULT_WAIT_MS = 200, /* for an unknown wait: a restarted proxy is configured by then */
	/* Before jitter, the wait is at most the time left for a start that meets the objective divided by this. */
	SPARE_DIVISOR = 2,
	/* From a start of all processes until a proxy is configured: an election and a pull. */
	STARTUP_MS = 600,
	STARTUP_POLL_MS = 100 /* retry interval at a proxy that takes longer */
};

/* The result is drawn between these multiples of the computed time. */
static const double jitter_min = 0.75;
static const double jitter_max = 1.25;

/* Returns a wait with jitter, at least 1 ms. */
static uint32_t add_jitter(double wait_ms, double random_unit)
{
	return (uint32_t)(wait_ms * (jitter_min + random_unit * (jitter_max - jitter_min))) + 1;
}

/* Returns the time after which a caller should retry, in milliseconds; random_unit is in [0, 1). */
uint32_t cw_retry_after_ms(const cw_refused_call_t *call, double random_unit)
{
	int64_t spare_ms = call->useful_ms - (int64_t)call->service_ms;
	double wait_ms = call->wait_ms ? call->wait_ms : DEFAULT_WAIT_MS;

	if (spare_ms > 0)
		wait_ms = MIN(wait_ms, (double)spare_ms / SPARE_DIVISOR);
	return add_jitter(wait_ms, random_unit);
}

/*
 * Returns the same for a proxy that has no configuration yet.  After a stop of
 * all processes, retries before there is a leader would fail, and most callers
 * retry only once.
 */
uint32_t cw_retry_after_unconfigured_ms(int64_t up_ms, double random_unit)
{
	return add_jitter((double)MAX(STARTUP_MS - up_ms, STARTUP_POLL_MS), random_unit);
}
