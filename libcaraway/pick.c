/*
 * Load balancing: chooses the endpoint for an attempt by power of two choices
 * over the loads that answers report.  Endpoints of the proxy's own availability
 * zone are preferred, and failing endpoints are ejected for a while.
 */
#include "internal.h"

#include <math.h>

enum {
	LOAD_MAX_AGE_MS = 1000,	   /* an older load report is ignored */
	EJECT_AFTER_FAILURES = 3,  /* in a row */
	EJECT_AFTER_ERRORS = 5,	   /* 5xx answers other than 503, in a row */
	EJECTION_MS = 1000,	   /* of the first ejection; doubled by each further one in a row */
	EJECTION_MAX_MS = 30000,   /* without the random part */
	MAX_EJECTED_PERCENT = 50,  /* of the candidates for a call */
	UNAVAILABLE_MS = 3000,	   /* an endpoint that refuses every call is avoided for this long */
	MAX_ROUTES = 64,	   /* with a service time, per endpoint */
	ERROR_HALF_LIFE_MS = 2000, /* of the error ratio of an endpoint without answers */
	PERCENT = 100
};

/* Weight of the newest answer in the error ratio of an endpoint. */
static const double answer_weight = 0.1;
/* An endpoint is an outlier above outlier_factor * (lowest error ratio of the others) + outlier_margin. */
static const double outlier_factor = 2;
static const double outlier_margin = 0.05;

/* Load from which other zones are considered while service times are unknown. */
static const double cross_zone_load = 0.8;
/* Load from which other zones are considered in any case. */
static const double full_load = 1;
/* Highest error ratio with which an endpoint of the own zone is used without considering other zones. */
static const double max_local_error_ratio = 0.1;
/* Longest expected time until its answer for the same, as a ratio of the time limit of the answer. */
static const double local_limit_ratio = 0.9;
/* An endpoint of another zone must answer earlier by this ratio of the time limit of the answer. */
static const double crossing_gain_ratio = 0.3;

/* Statistics of one endpoint. */
typedef struct {
	uint64_t incarnation;
	uint32_t outstanding; /* calls of this proxy without a result yet */
	/* The last load report. */
	uint32_t reported_in_use; /* running and queued calls */
	uint32_t reported_slots;  /* 0: no report yet */
	uint32_t reported_wait_ms;
	int64_t reported_at_ms;
	GHashTable *service_times; /* route -> milliseconds, as GUINT_TO_POINTER; NULL: none known */
	uint32_t failures;	   /* attempts without an answer, in a row */
	uint32_t errors;	   /* 5xx answers other than 503, in a row */
	double error_ratio;	   /* moving average over answers, as of last_result_ms */
	uint32_t ejections;	   /* in a row */
	int64_t ejected_until_ms;
	int64_t unavailable_until_ms;
	int64_t last_result_ms;
} endpoint_stats_t;

struct cw_pick {
	char *zone; /* of this proxy */
	GRand *random;
	GHashTable *endpoints; /* VM -> endpoint_stats_t */
};

/* Frees the statistics of an endpoint. */
static void endpoint_stats_free(void *data)
{
	endpoint_stats_t *stats = data;

	if (stats->service_times)
		g_hash_table_destroy(stats->service_times);
	g_free(stats);
}

/* Creates a load balancer for a proxy in a zone. */
cw_pick_t *cw_pick_new(const char *zone, uint64_t seed)
{
	cw_pick_t *pick = g_new0(cw_pick_t, 1);

	pick->zone = g_strdup(zone);
	pick->random = g_rand_new_with_seed((guint32)(seed ^ seed >> 32));
	pick->endpoints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, endpoint_stats_free);
	return pick;
}

/* Frees a load balancer. */
void cw_pick_free(cw_pick_t *pick)
{
	g_hash_table_destroy(pick->endpoints);
	g_rand_free(pick->random);
	g_free(pick->zone);
	g_free(pick);
}

/* Returns a random number in [0, bound). */
static gint32 random_below(cw_pick_t *pick, gint32 bound)
{
	return g_rand_int_range(pick->random, 0, bound);
}

/* Returns the statistics of an endpoint, created if needed; a new incarnation starts with empty ones. */
static endpoint_stats_t *stats_for(cw_pick_t *pick, const char *vm, uint64_t incarnation)
{
	endpoint_stats_t *stats = g_hash_table_lookup(pick->endpoints, vm);

	if (!stats) {
		stats = g_new0(endpoint_stats_t, 1);
		stats->incarnation = incarnation;
		g_hash_table_insert(pick->endpoints, g_strdup(vm), stats);
	} else if (stats->incarnation != incarnation) {
		if (stats->service_times)
			g_hash_table_destroy(stats->service_times);
		*stats = (endpoint_stats_t){.incarnation = incarnation};
	}
	return stats;
}

/* Returns the weight of the last load report by its age: 1 when new, 0 from LOAD_MAX_AGE_MS on. */
static double report_weight(const endpoint_stats_t *stats, int64_t now_ms)
{
	int64_t age_ms = MIN(now_ms - stats->reported_at_ms, LOAD_MAX_AGE_MS);

	return (double)(LOAD_MAX_AGE_MS - age_ms) / LOAD_MAX_AGE_MS;
}

/*
 * Returns the load of an endpoint as a ratio of its slots: the last load report,
 * weighted by its age, or the outstanding calls of this proxy if those are more.
 */
static double load_ratio(const endpoint_stats_t *stats, const cw_candidate_t *candidate, int64_t now_ms)
{
	double reported = stats->reported_slots ? stats->reported_in_use * report_weight(stats, now_ms) : 0;

	return MAX(reported, stats->outstanding) / MAX(candidate->slots, 1);
}

/* Returns the recent error ratio of an endpoint, which decays while no results come in. */
static double decayed_error_ratio(const endpoint_stats_t *stats, int64_t now_ms)
{
	return stats->error_ratio * exp2(-(double)(now_ms - stats->last_result_ms) / ERROR_HALF_LIFE_MS);
}

/* Returns the service time of a route at an endpoint, in milliseconds; 0 when it is not known. */
static double service_time_ms(const endpoint_stats_t *stats, uint64_t route)
{
	if (!stats->service_times)
		return 0;
	return GPOINTER_TO_UINT(g_hash_table_lookup(stats->service_times, &route));
}

/*
 * Returns the expected time until the answer to a call sent now, in milliseconds: the
 * reported wait, or that by the load if it is longer, and the service time.  Parts
 * that are not known count as 0.
 */
static double expected_answer_ms(const endpoint_stats_t *stats, uint64_t route, double load, int64_t now_ms)
{
	double service_ms = service_time_ms(stats, route);
	double wait_ms = MAX(load - 1, 0) * service_ms;

	return MAX(wait_ms, stats->reported_wait_ms * report_weight(stats, now_ms)) + service_ms;
}

/*
 * Returns the time limit of the answer, in milliseconds; 0: not known.  Once the
 * latency objective is missed, any time before the caller gives up is as good.
 */
static int64_t answer_limit_ms(const cw_pick_call_t *call)
{
	return call->useful_ms > 0 ? call->useful_ms : call->left_ms;
}

/* An endpoint that may be chosen, with the values that options are compared by. */
typedef struct {
	int position;	    /* index of the candidate */
	double load;	    /* as a ratio of its slots */
	double expected_ms; /* until an answer; errors count as delay */
	double error_ratio; /* recent */
	bool local;	    /* in the zone of this proxy */
	endpoint_stats_t *stats;
} option_t;

/* Collects the endpoints that may be chosen; unavailable ones only with include_unavailable. */
static GArray *eligible_options(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count,
				const cw_pick_call_t *call, bool include_unavailable, int64_t now_ms)
{
	GArray *options = g_array_new(FALSE, FALSE, sizeof(option_t));

	for (size_t i = 0; i < count; i++) {
		endpoint_stats_t *stats = stats_for(pick, candidates[i].vm, candidates[i].incarnation);
		option_t option = {.position = (int)i,
				   .load = load_ratio(stats, &candidates[i], now_ms),
				   .local = g_str_equal(candidates[i].zone, pick->zone),
				   .stats = stats};

		option.expected_ms = expected_answer_ms(stats, call->route, option.load, now_ms);
		option.error_ratio = decayed_error_ratio(stats, now_ms);
		/* Count an error as a delay of the whole time limit, weighted by its probability. */
		if (option.expected_ms > 0)
			option.expected_ms += option.error_ratio * (double)answer_limit_ms(call);
		if (!candidates[i].excluded && (include_unavailable || stats->unavailable_until_ms <= now_ms))
			g_array_append_val(options, option);
	}
	return options;
}

/* Orders options by the end of their ejection. */
static gint compare_ejection(gconstpointer a, gconstpointer b)
{
	const option_t *left = a, *right = b;

	return (left->stats->ejected_until_ms > right->stats->ejected_until_ms) -
	       (left->stats->ejected_until_ms < right->stats->ejected_until_ms);
}

/*
 * Removes ejected endpoints, latest end of ejection first: at most
 * MAX_EJECTED_PERCENT of the count candidates, and never the last option.
 */
static void drop_ejected(GArray *options, size_t count, int64_t now_ms)
{
	size_t removable = count * MAX_EJECTED_PERCENT / PERCENT;

	g_array_sort(options, compare_ejection);
	while (options->len > 1 && removable > 0) {
		const option_t *last = &g_array_index(options, option_t, options->len - 1);

		if (last->stats->ejected_until_ms <= now_ms)
			return;
		g_array_set_size(options, options->len - 1);
		removable--;
	}
}

/* Orders options by the expected time of the answer if known for both and different, otherwise by load. */
static int compare_options(const option_t *left, const option_t *right)
{
	if (left->expected_ms > 0 && right->expected_ms > 0 && left->expected_ms != right->expected_ms)
		return left->expected_ms < right->expected_ms ? -1 : 1;
	return (left->load > right->load) - (left->load < right->load);
}

/*
 * Returns the better of two random options, of the own zone only or of all zones;
 * NULL without options.  The two are drawn by reservoir sampling.
 */
static const option_t *best_of_two(cw_pick_t *pick, const GArray *options, bool local_only)
{
	const option_t *drawn[2] = {NULL, NULL};
	size_t seen = 0;

	for (size_t i = 0; i < options->len; i++) {
		const option_t *option = &g_array_index(options, option_t, i);

		if (local_only && !option->local)
			continue;
		seen++;
		if (seen <= 2)
			drawn[seen - 1] = option;
		else if (random_below(pick, (gint32)seen) < 2)
			drawn[random_below(pick, 2)] = option;
	}
	if (!drawn[1])
		return drawn[0];
	if (compare_options(drawn[0], drawn[1]) == 0)
		return drawn[random_below(pick, 2)];
	return compare_options(drawn[0], drawn[1]) < 0 ? drawn[0] : drawn[1];
}

/* Returns the option with the least load; NULL without options. */
static const option_t *least_loaded(const GArray *options)
{
	const option_t *least = NULL;

	for (guint i = 0; i < options->len; i++) {
		const option_t *option = &g_array_index(options, option_t, i);

		if (!least || option->load < least->load)
			least = option;
	}
	return least;
}

/* Returns whether an endpoint of the own zone can be used without considering other zones. */
static bool is_local_acceptable(const option_t *option, const cw_pick_call_t *call)
{
	if (option->error_ratio > max_local_error_ratio)
		return false;
	if (option->expected_ms > 0 && answer_limit_ms(call))
		return option->load < full_load &&
		       option->expected_ms <= local_limit_ratio * (double)answer_limit_ms(call);
	return option->load < cross_zone_load;
}

/* Returns whether an endpoint of another zone is enough better to justify a call across zones. */
static bool justifies_crossing(const option_t *other, const option_t *own, const cw_pick_call_t *call)
{
	if (!own)
		return true;
	if (other->expected_ms > 0 && own->expected_ms > 0 && answer_limit_ms(call))
		return other->expected_ms + crossing_gain_ratio * (double)answer_limit_ms(call) <
		       own->expected_ms;
	return other->load < own->load;
}

/*
 * Chooses an endpoint of the own zone, unless it would fail or answer late and an
 * endpoint of another zone is clearly better; with least_loaded, that of any zone
 * with the least load.  When only unavailable endpoints are left, one of them is
 * tried: it may be back, and a refusal costs nothing.
 */
int cw_pick_choose(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count,
		   const cw_pick_call_t *call, int64_t now_ms)
{
	GArray *options = eligible_options(pick, candidates, count, call, false, now_ms);
	const option_t *chosen, *other;
	int position;

	if (!options->len) {
		g_array_free(options, TRUE);
		options = eligible_options(pick, candidates, count, call, true, now_ms);
	}
	drop_ejected(options, count, now_ms);
	chosen = call->least_loaded ? least_loaded(options) : best_of_two(pick, options, true);
	if (!chosen || (!call->least_loaded && !is_local_acceptable(chosen, call))) {
		other = best_of_two(pick, options, false);
		if (other && justifies_crossing(other, chosen, call))
			chosen = other;
	}
	position = chosen ? chosen->position : -1;
	g_array_free(options, TRUE);
	return position;
}

/* Counts a call sent to an endpoint. */
void cw_pick_sent(cw_pick_t *pick, const char *vm, uint64_t incarnation)
{
	stats_for(pick, vm, incarnation)->outstanding++;
}

/* Ejects an endpoint, longer for each ejection in a row, plus a random part of up to a quarter. */
static void eject(cw_pick_t *pick, endpoint_stats_t *stats, int64_t now_ms)
{
	/* Five doublings exceed EJECTION_MAX_MS. */
	int64_t time_ms = MIN((int64_t)EJECTION_MS << MIN(stats->ejections, 5), EJECTION_MAX_MS);

	stats->ejections++;
	stats->ejected_until_ms = now_ms + time_ms + random_below(pick, (gint32)(time_ms / 4));
}

/* Updates the failure counts and availability of an endpoint with the result of a call. */
static void apply_result(cw_pick_t *pick, endpoint_stats_t *stats, cw_pick_result_t result, int64_t now_ms)
{
	switch (result) {
	case CW_PICK_ANSWERED:
		stats->failures = 0;
		stats->errors = 0;
		stats->ejections = 0;
		break;
	case CW_PICK_TARGET_OVERLOADED:
		/* Count it as fully loaded, even if its answer reported a lower load. */
		stats->reported_in_use = MAX(stats->reported_in_use, stats->reported_slots);
		break;
	case CW_PICK_ERROR:
		stats->failures = 0;
		if (++stats->errors >= EJECT_AFTER_ERRORS)
			eject(pick, stats, now_ms);
		break;
	case CW_PICK_UNAVAILABLE:
		stats->unavailable_until_ms = now_ms + UNAVAILABLE_MS;
		break;
	case CW_PICK_FAILED:
		if (++stats->failures >= EJECT_AFTER_FAILURES)
			eject(pick, stats, now_ms);
		break;
	case CW_PICK_REFUSED:
	case CW_PICK_REVOKED:
		break;
	}
}

/* Updates the error ratio of an endpoint with the result of a call. */
static void update_error_ratio(endpoint_stats_t *stats, cw_pick_result_t result, int64_t now_ms)
{
	double ratio = decayed_error_ratio(stats, now_ms);

	if (result == CW_PICK_ERROR || result == CW_PICK_ANSWERED)
		ratio += answer_weight * ((result == CW_PICK_ERROR) - ratio);
	stats->error_ratio = ratio;
}

/* Returns whether an endpoint has a clearly higher error ratio than the best other candidate. */
bool cw_pick_is_error_outlier(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count, const char *vm,
			      int64_t now_ms)
{
	double vm_ratio = 0;
	double least_other_ratio = 1;

	for (size_t i = 0; i < count; i++) {
		double ratio = decayed_error_ratio(
			stats_for(pick, candidates[i].vm, candidates[i].incarnation), now_ms);

		if (g_str_equal(candidates[i].vm, vm))
			vm_ratio = ratio;
		else if (!candidates[i].excluded)
			least_other_ratio = MIN(least_other_ratio, ratio);
	}
	return vm_ratio > outlier_factor * least_other_ratio + outlier_margin;
}

/* Stores the load that an answer reported. */
static void update_load(endpoint_stats_t *stats, const cw_pick_load_t *load, int64_t now_ms)
{
	uint64_t *route;

	if (!load->slots)
		return;
	stats->reported_in_use = load->in_use;
	stats->reported_slots = load->slots;
	stats->reported_wait_ms = load->wait_ms;
	stats->reported_at_ms = now_ms;
	if (!load->service_ms)
		return;
	if (!stats->service_times)
		stats->service_times = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	if (g_hash_table_size(stats->service_times) >= MAX_ROUTES)
		g_hash_table_remove_all(stats->service_times);
	route = g_memdup2(&load->route, sizeof(load->route));
	g_hash_table_replace(stats->service_times, route, GUINT_TO_POINTER(load->service_ms));
}

/* Records the result of a call and the reported load; results of another incarnation are ignored. */
void cw_pick_ended(cw_pick_t *pick, const char *vm, uint64_t incarnation, cw_pick_result_t result,
		   const cw_pick_load_t *load, int64_t now_ms)
{
	endpoint_stats_t *stats = g_hash_table_lookup(pick->endpoints, vm);

	if (!stats || stats->incarnation != incarnation)
		return;
	if (stats->outstanding > 0)
		stats->outstanding--;
	update_error_ratio(stats, result, now_ms);
	stats->last_result_ms = now_ms;
	update_load(stats, load, now_ms);
	apply_result(pick, stats, result, now_ms);
}

/* Returns whether an endpoint has no outstanding calls and no result since the time *data. */
static gboolean is_expired(gpointer key, gpointer value, gpointer data)
{
	const endpoint_stats_t *stats = value;
	const int64_t *before_ms = data;

	(void)key;
	return !stats->outstanding && stats->last_result_ms < *before_ms;
}

/* Removes the statistics of endpoints without outstanding calls or results since before_ms. */
void cw_pick_expire(cw_pick_t *pick, int64_t before_ms)
{
	g_hash_table_foreach_remove(pick->endpoints, is_expired, &before_ms);
}
