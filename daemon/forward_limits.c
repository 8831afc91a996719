/* Limits of a call: its timeout, the time until which an answer has its full value, and its idempotence. */
#include "forward_internal.h"
#include "headers.h"

/* Returns whether a call is idempotent, as its route states or else by its method. */
bool forward_is_idempotent(const endpoints_t *endpoints, const char *method)
{
	switch (endpoints->route->idempotence) {
	case CARAWAY__IDEMPOTENCE__ALWAYS:
		return true;
	case CARAWAY__IDEMPOTENCE__NEVER:
		return false;
	default:
		return headers_is_idempotent_method(method);
	}
}

/* Returns the timeout of a call: that of the service or else of the proxy, or the caller's if shorter. */
int64_t forward_timeout_ms(const forward_t *forward, const endpoints_t *endpoints, int64_t caller_timeout_ms)
{
	int64_t timeout_ms = endpoints->timeout_ms ? endpoints->timeout_ms : forward->settings->timeout_ms;

	return caller_timeout_ms ? MIN(timeout_ms, caller_timeout_ms) : timeout_ms;
}

/*
 * Returns the time until which an answer has its full value: the route's
 * target latency, counted from the caller's first request.  The time that the
 * caller has waited on earlier requests is estimated from the timeout of this one.
 */
int64_t forward_useful_until_ms(forward_t *forward, const forward_call_t *call, int64_t caller_timeout_ms,
				int64_t now_ms)
{
	const view_route_t *route = call->endpoints.route;

	if (!route->target_latency_ms)
		return call->state.deadline_ms;
	if (!caller_timeout_ms)
		return now_ms + route->target_latency_ms;
	return now_ms + route->target_latency_ms -
	       cw_prior_wait_estimate_ms(forward->prior_wait, route->id, caller_timeout_ms);
}
