/* What a call is allowed: the time it may take, until when an answer is of full use, whether it may run twice. */
#include "forward_internal.h"
#include "headers.h"

/* Returns whether a call may be run twice, by its route or else by its method. */
bool forward_is_idempotent(const endpoints_t *endpoints, const char *method)
{
	switch (endpoints->route->idempotence) {
	case CARAWAY__IDEMPOTENCE__ALWAYS:
		return true;
	case CARAWAY__IDEMPOTENCE__NEVER:
		return false;
	default:
		return headers_idempotent_method(method);
	}
}

/* Returns the time a call may take: the least of the caller's and the service's or proxy's. */
int64_t forward_time_for(const forward_t *forward, const endpoints_t *endpoints, int64_t asked_ms)
{
	int64_t time_ms = endpoints->timeout_ms ? endpoints->timeout_ms : forward->settings->timeout_ms;

	return asked_ms ? MIN(time_ms, asked_ms) : time_ms;
}

/* Returns until when an answer is of full use: within the route's target latency of the caller's first try. */
int64_t forward_useful_until_ms(forward_t *forward, const forward_call_t *call, int64_t asked_ms,
				int64_t now_ms)
{
	const view_route_t *route = call->endpoints.route;

	if (!route->target_latency_ms)
		return call->core.deadline_ms;
	if (!asked_ms)
		return now_ms + route->target_latency_ms;
	return now_ms + route->target_latency_ms -
	       cw_prior_wait_estimate_ms(forward->patience, route->id, asked_ms);
}
