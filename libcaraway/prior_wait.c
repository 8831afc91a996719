/*
 * Estimates how long a caller has waited on earlier requests, from the timeout
 * that it sets in its request.
 *
 * A caller that repeats a refused request sets the part of its timeout that is
 * left.  Such requests arrive among first requests, whose timeouts on a route are
 * similar but not equal.  A timeout that is clearly shorter than the others means
 * that the caller has spent the rest of it on an earlier request.
 */
#include "internal.h"

enum { MAX_ROUTES = 4096 /* with timeout statistics */ };

/* A first request has at least this ratio of the longest timeout of its route; ratios down to 0.85 occur. */
static const double first_request_ratio = 0.8;
static const double sample_weight = 0.05; /* of a new timeout in the mean of first requests */

/* Timeouts of the callers of a route. */
typedef struct {
	uint64_t route;
	int64_t longest_ms;
	double mean_ms; /* of first requests */
} route_timeouts_t;

struct cw_prior_wait {
	GHashTable *routes; /* route -> route_timeouts_t */
};

/* Creates an estimator without routes. */
cw_prior_wait_t *cw_prior_wait_new(void)
{
	cw_prior_wait_t *prior_wait = g_new(cw_prior_wait_t, 1);

	prior_wait->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return prior_wait;
}

/* Frees an estimator. */
void cw_prior_wait_free(cw_prior_wait_t *prior_wait)
{
	g_hash_table_destroy(prior_wait->routes);
	g_free(prior_wait);
}

/* Returns the timeouts of a route; created with the timeout of this caller if needed. */
static route_timeouts_t *route_timeouts(cw_prior_wait_t *prior_wait, uint64_t route, int64_t timeout_ms)
{
	route_timeouts_t *timeouts = g_hash_table_lookup(prior_wait->routes, &route);

	if (timeouts)
		return timeouts;
	if (g_hash_table_size(prior_wait->routes) >= MAX_ROUTES)
		g_hash_table_remove_all(prior_wait->routes);
	timeouts = g_new(route_timeouts_t, 1);
	*timeouts =
		(route_timeouts_t){.route = route, .longest_ms = timeout_ms, .mean_ms = (double)timeout_ms};
	g_hash_table_insert(prior_wait->routes, &timeouts->route, timeouts);
	return timeouts;
}

/*
 * Records the timeout that a caller set in a request on a route and returns the
 * estimated time that it has waited on earlier requests, 0 for a first request.
 * Both are in milliseconds.
 */
int64_t cw_prior_wait_estimate_ms(cw_prior_wait_t *prior_wait, uint64_t route, int64_t timeout_ms)
{
	route_timeouts_t *timeouts = route_timeouts(prior_wait, route, timeout_ms);

	/* So much longer than all timeouts before that those were of repeated requests. */
	if ((double)timeouts->longest_ms < first_request_ratio * (double)timeout_ms)
		timeouts->mean_ms = (double)timeout_ms;
	timeouts->longest_ms = MAX(timeouts->longest_ms, timeout_ms);
	if ((double)timeout_ms < first_request_ratio * (double)timeouts->longest_ms)
		return MAX((int64_t)timeouts->mean_ms - timeout_ms, 0);
	timeouts->mean_ms += sample_weight * ((double)timeout_ms - timeouts->mean_ms);
	return 0;
}
