/*
 * Load balancing: chooses the endpoint for an attempt by power of two choices
 * over the loads that answers report and the overhead of the links on the way.
 * While cost-aware, the best of a few by the expected time to the answer is chosen.
 * The proxy's own target comes first while it has room, then endpoints of its
 * availability zone; failing endpoints are ejected for a while.  Where links are
 * so full that a call has no prospect it is not sent, but for a few.
 */
#include "internal.h"

#include <math.h>

/* Urgency of a call: whether its priority is the lowest of all seen, or higher. */
typedef enum { URGENCY_HIGHER, URGENCY_LOWEST, URGENCIES } urgency_t;

enum {
	LOAD_MAX_AGE_MS = 1000,	   /* an older load report is ignored */
	EJECT_AFTER_FAILURES = 3,  /* in a row */
	EJECT_AFTER_ERRORS = 5,	   /* 5xx answers other than 503, in a row */
	EJECTION_MS = 1000,	   /* of the first ejection; doubled by each further one in a row */
	EJECTION_MAX_MS = 30000,   /* without the random part */
	MAX_EJECTED_PERCENT = 50,  /* of the candidates for a call */
	UNAVAILABLE_MS = 3000,	   /* an endpoint that refuses every call is avoided for this long */
	COST_CHOICES = 3,	   /* endpoints that a first attempt chooses from while cost-aware */
	USUAL_WAIT_MS = 2000,	   /* time in which the usual wait of an endpoint follows its reports */
	RETRY_CHOICES = 4,	   /* endpoints that an attempt after a refusal chooses from */
	MAX_SHORT_ROUTES = 4096,   /* that are remembered */
	MIN_OVERHEAD_MS = 20,	   /* an overhead up to this never keeps a call from being sent */
	MAX_ROUTES = 64,	   /* with a service time, per endpoint */
	ERROR_HALF_LIFE_MS = 2000, /* of the error ratio of an endpoint without answers */
	PERCENT = 100
};

/* Weight of the newest answer in the error ratio of an endpoint. */
static const double answer_weight = 0.1;
/* An endpoint is an outlier above outlier_factor * (lowest error ratio of the others) + outlier_margin. */
static const double outlier_factor = 2;
static const double outlier_margin = 0.05;
/* None is one while the others answer with errors more often than this, of at least so many recent answers. */
static const double max_common_error_ratio = 0.25;
static const double min_common_answers = 3;

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

/* The same while cost-aware: 0.15 earned less in the simulated load of uneven costs, 0.3 no more. */
static const double cost_crossing_ratio = 0.2;

/* Longest wait at the own target with which no other is considered, as a ratio of the time limit of the answer. */
static const double own_wait_ratio = 0.25;

/* The first attempt is sent if the expected overhead is at most this ratio of the time limit less the service time. */
static const double lowest_overhead_ratio = 0.4;
/* The same for calls of a higher than the lowest priority. */
static const double urgent_overhead_ratio = 0.6;
/* Ratio of that for an attempt after a refusal. */
static const double retry_overhead_ratio = 0.5;
/* Ratio of the first attempts that are sent all the same. */
static const double probe_ratio = 0.05;

/* Weight of a new report in the mean overhead, in which replies of the own target, with hardly any, count too. */
static const double overhead_weight = 0.02;
/*
 * While cost-aware, the own target comes first while its wait is at most this many times the mean overhead.  With the
 * 2 that all measurements in docs/design/cost.md had, it is about as long as the overhead that a choice counts
 * for another endpoint; other values were not measured.
 */
static const double own_wait_overheads = 2;

/* The overhead of links counts so many times: a call adds to that of all others on the links, besides its own. */
static const double overhead_factor = 2;

/* Statistics of one endpoint. */
typedef struct {
	uint64_t incarnation;
	uint32_t outstanding; /* calls of this proxy without a result yet */
	/* The last load report. */
	uint32_t reported_in_use;	      /* running and queued calls */
	uint32_t reported_slots;	      /* 0: no report yet */
	uint32_t reported_wait_ms[URGENCIES]; /* of a call of that urgency */
	uint32_t overhead_ms;		      /* of the same call */
	int64_t reported_at_ms;
	/* While cost-aware. */
	double reported_speed;		 /* of late, relative to the usual one; 0: not reported */
	double usual_wait_ms[URGENCIES]; /* moving averages of the reports */
	uint32_t sent;			 /* calls sent since the report */
	double sent_work_ms;		 /* their service times */
	GHashTable *service_times;	 /* route -> milliseconds, as GUINT_TO_POINTER; NULL: none known */
	uint32_t failures;		 /* attempts without an answer, in a row */
	uint32_t errors;		 /* 5xx answers other than 503, in a row */
	double error_ratio;		 /* moving average over answers, as of last_result_ms */
	double recent_answers;		 /* errors included; decaying numbers, as of last_result_ms */
	double recent_errors;
	uint32_t ejections; /* in a row */
	int64_t ejected_until_ms;
	int64_t unavailable_until_ms;
	int64_t last_result_ms;
} endpoint_stats_t;

struct cw_pick {
	char *zone; /* of this proxy */
	bool cost_aware;
	double overhead_ms; /* moving average over the reports of all endpoints */
	GRand *random;
	GHashTable *endpoints;	  /* VM -> endpoint_stats_t */
	uint32_t lowest_priority; /* the highest number among those of the calls so far */
	GHashTable
		*short_routes; /* set of routes: those whose calls are short beside others of their targets */
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
	pick->short_routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
	return pick;
}

/* Makes choices by the expected time to the answer, with reports that are corrected by what was sent since. */
void cw_pick_set_cost_aware(cw_pick_t *pick, bool cost_aware)
{
	pick->cost_aware = cost_aware;
}

/* Frees a load balancer. */
void cw_pick_free(cw_pick_t *pick)
{
	g_hash_table_destroy(pick->endpoints);
	g_hash_table_destroy(pick->short_routes);
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

/* Returns by what a value of an endpoint's last result has decayed since. */
static double error_decay(const endpoint_stats_t *stats, int64_t now_ms)
{
	return exp2(-(double)(now_ms - stats->last_result_ms) / ERROR_HALF_LIFE_MS);
}

/* Returns the recent error ratio of an endpoint, which decays while no results come in. */
static double decayed_error_ratio(const endpoint_stats_t *stats, int64_t now_ms)
{
	return stats->error_ratio * error_decay(stats, now_ms);
}

/* Returns the service time of a route at an endpoint, in milliseconds; 0 when it is not known. */
static double service_time_ms(const endpoint_stats_t *stats, uint64_t route)
{
	if (!stats->service_times)
		return 0;
	return GPOINTER_TO_UINT(g_hash_table_lookup(stats->service_times, &route));
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
	double overhead_ms; /* expected overhead times overhead_factor */
	double service_ms;  /* service time of the route there; 0: not known */
	double expected_ms; /* until an answer; errors count as delay */
	double error_ratio; /* recent */
	bool local;	    /* in the zone of this proxy */
	endpoint_stats_t *stats;
} option_t;

/* Returns the urgency of a call of a priority. */
static urgency_t urgency_of(const cw_pick_t *pick, uint32_t priority)
{
	return priority < pick->lowest_priority ? URGENCY_HIGHER : URGENCY_LOWEST;
}

/* What recent reports of the endpoints of a zone say, weighted by their age. */
typedef struct {
	const char *zone;
	double weight; /* sum of the weights */
	double load;   /* weighted sums */
	double wait_ms;
	double overhead_ms;
} zone_level_t;

/* Returns the level of a zone, added if needed; valid until the next call. */
static zone_level_t *zone_level(GArray *levels, const char *zone)
{
	zone_level_t added = {.zone = zone};

	for (guint i = 0; i < levels->len; i++) {
		zone_level_t *level = &g_array_index(levels, zone_level_t, i);

		if (level->zone == zone || g_str_equal(level->zone, zone))
			return level;
	}
	g_array_append_val(levels, added);
	return &g_array_index(levels, zone_level_t, levels->len - 1);
}

/* Adds the report of an endpoint to the level of its zone. */
static void add_report(GArray *levels, const char *zone, const endpoint_stats_t *stats, urgency_t urgency,
		       int64_t now_ms)
{
	double weight = stats->reported_slots ? report_weight(stats, now_ms) : 0;
	zone_level_t *level;

	if (weight <= 0)
		return;
	level = zone_level(levels, zone);
	level->weight += weight;
	level->load += weight * stats->reported_in_use / stats->reported_slots;
	level->wait_ms += weight * stats->reported_wait_ms[urgency];
	level->overhead_ms += weight * stats->overhead_ms;
}

/* Load, wait and overhead that are expected of an endpoint. */
typedef struct {
	double load;
	double wait_ms;
	double overhead_ms;
} estimate_t;

/*
 * Estimates load, wait and overhead of an endpoint.  Among hundreds of proxies each one seldom hears of an
 * endpoint: the older the report, the more the level of its zone counts in its place.
 */
static estimate_t estimate(const zone_level_t *level, const endpoint_stats_t *stats, uint32_t slots,
			   urgency_t urgency, int64_t now_ms)
{
	double weight = stats->reported_slots ? report_weight(stats, now_ms) : 0;
	double zone_weight = level->weight > 0 ? (1 - weight) / level->weight : 0;
	estimate_t result = {.load = zone_weight * level->load,
			     .wait_ms = zone_weight * level->wait_ms,
			     .overhead_ms = zone_weight * level->overhead_ms};

	if (weight > 0) {
		result.load += weight * stats->reported_in_use / stats->reported_slots;
		result.wait_ms += weight * stats->reported_wait_ms[urgency];
		result.overhead_ms += weight * stats->overhead_ms;
	}
	result.load = MAX(result.load, (double)stats->outstanding / MAX(slots, 1));
	return result;
}

/* Returns the wait that the calls sent since the last report add to the reported one. */
static double added_wait_ms(const endpoint_stats_t *stats)
{
	double before = MAX((double)stats->reported_in_use + 1 - stats->reported_slots, 0);
	double after = MAX((double)stats->reported_in_use + stats->sent + 1 - stats->reported_slots, 0);

	if (!stats->sent)
		return 0;
	return (after - before) * stats->sent_work_ms / stats->sent / stats->reported_slots;
}

/*
 * Replaces the expected time of an option by that from the costs of calls: the reported wait with what was sent
 * since, and the service time at the speed of late.  The older the report, the more the usual wait of the
 * endpoint counts in its place: a fast endpoint that all choose for its speed has a usual wait.
 */
static void rate_by_cost(option_t *option, const zone_level_t *level, const cw_pick_call_t *call,
			 urgency_t urgency, int64_t now_ms)
{
	const endpoint_stats_t *stats = option->stats;
	double weight = stats->reported_slots ? report_weight(stats, now_ms) : 0;
	double wait_ms = level->weight > 0 ? level->wait_ms / level->weight : 0;
	double service_ms = option->service_ms;

	if (service_ms <= 0)
		return;
	if (stats->reported_slots)
		wait_ms = weight * (stats->reported_wait_ms[urgency] + added_wait_ms(stats)) +
			  (1 - weight) * stats->usual_wait_ms[urgency];
	if (stats->reported_speed > 0)
		service_ms *= 1 + weight * (1 / stats->reported_speed - 1);
	option->expected_ms = wait_ms + option->overhead_ms + service_ms +
			      option->error_ratio * (double)answer_limit_ms(call);
}

/* Fills in the values that options are compared by. */
static void rate_option(option_t *option, const zone_level_t *level, const cw_candidate_t *candidate,
			const cw_pick_call_t *call, urgency_t urgency, int64_t now_ms)
{
	double service_ms = service_time_ms(option->stats, call->route);
	estimate_t expected = estimate(level, option->stats, candidate->slots, urgency, now_ms);
	double overhead_ms = overhead_factor * expected.overhead_ms;

	option->load = expected.load;
	option->overhead_ms = overhead_ms;
	option->service_ms = service_ms;
	option->expected_ms =
		MAX(expected.wait_ms + overhead_ms, MAX(option->load - 1, 0) * service_ms) + service_ms;
	option->error_ratio = decayed_error_ratio(option->stats, now_ms);
	/* Count an error as a delay of the whole time limit, weighted by its probability. */
	if (option->expected_ms > 0)
		option->expected_ms += option->error_ratio * (double)answer_limit_ms(call);
}

/* Collects the endpoints that may be chosen; unavailable ones only with include_unavailable. */
static GArray *eligible_options(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count,
				const cw_pick_call_t *call, bool include_unavailable, int64_t now_ms)
{
	GArray *options = g_array_new(FALSE, FALSE, sizeof(option_t));
	GArray *levels = g_array_new(FALSE, FALSE, sizeof(zone_level_t));
	urgency_t urgency = urgency_of(pick, call->priority);

	for (size_t i = 0; i < count; i++) {
		endpoint_stats_t *stats = stats_for(pick, candidates[i].vm, candidates[i].incarnation);
		option_t option = {.position = (int)i,
				   .local = g_str_equal(candidates[i].zone, pick->zone),
				   .stats = stats};

		add_report(levels, candidates[i].zone, stats, urgency, now_ms);
		if (!candidates[i].excluded && (include_unavailable || stats->unavailable_until_ms <= now_ms))
			g_array_append_val(options, option);
	}
	for (guint i = 0; i < options->len; i++) {
		option_t *option = &g_array_index(options, option_t, i);
		const cw_candidate_t *candidate = &candidates[option->position];

		rate_option(option, zone_level(levels, candidate->zone), candidate, call, urgency, now_ms);
		if (pick->cost_aware)
			rate_by_cost(option, zone_level(levels, candidate->zone), call, urgency, now_ms);
	}
	g_array_free(levels, TRUE);
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

/* Returns the best of a few options of all zones, evenly spaced from a random one on; NULL without options. */
static const option_t *best_of_few(cw_pick_t *pick, const GArray *options)
{
	const option_t *best = NULL;
	guint step = MAX(options->len / RETRY_CHOICES, 1);
	guint position = options->len ? (guint)random_below(pick, (gint32)options->len) : 0;

	for (guint i = 0; i < MIN(options->len, RETRY_CHOICES); i++, position += step) {
		const option_t *option = &g_array_index(options, option_t, position % options->len);

		if (!best || compare_options(option, best) < 0)
			best = option;
	}
	return best;
}

/* Returns the better of two options, either of which may be NULL. */
static const option_t *better(const option_t *left, const option_t *right)
{
	if (!left || !right)
		return left ? left : right;
	return compare_options(left, right) <= 0 ? left : right;
}

/* Returns the highest overhead of a first attempt, as a ratio of the time that is left for it. */
static double max_overhead_ratio(const cw_pick_t *pick, const cw_pick_call_t *call)
{
	return urgency_of(pick, call->priority) == URGENCY_HIGHER ? urgent_overhead_ratio
								  : lowest_overhead_ratio;
}

/*
 * Returns whether the links on the way to an endpoint leave a call enough of its time, an attempt after a
 * refusal half as much.  Waits do not count here: the receiver knows better.  Short calls are always sent:
 * others may depend on them.
 */
static bool is_promising(const cw_pick_t *pick, const option_t *option, const cw_pick_call_t *call)
{
	double limit_ms = (double)answer_limit_ms(call);
	double max_overhead_ms =
		MIN_OVERHEAD_MS + max_overhead_ratio(pick, call) * MAX(limit_ms - option->service_ms, 0);

	if (limit_ms <= 0 || g_hash_table_contains(pick->short_routes, &call->route))
		return true;
	return option->overhead_ms <= max_overhead_ms * (call->refusals ? retry_overhead_ratio : 1);
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
 * Returns the index of the own endpoint if it can start the call soon and works, else -1.  Calls to it
 * use neither a link nor another proxy's processor, and its load is known exactly.
 */
static int free_own_endpoint(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count,
			     const cw_pick_call_t *call, int64_t now_ms)
{
	double max_wait_ms = pick->cost_aware ? own_wait_overheads * pick->overhead_ms
					      : own_wait_ratio * (double)answer_limit_ms(call);

	for (size_t i = 0; call->own_load && i < count; i++) {
		const endpoint_stats_t *stats;

		if (!candidates[i].own)
			continue;
		stats = stats_for(pick, candidates[i].vm, candidates[i].incarnation);
		if (candidates[i].excluded || call->own_load->wait_ms > max_wait_ms ||
		    stats->ejected_until_ms > now_ms || stats->unavailable_until_ms > now_ms ||
		    decayed_error_ratio(stats, now_ms) > max_local_error_ratio)
			return -1;
		return (int)i;
	}
	return -1;
}

/*
 * Returns the best of COST_CHOICES random options, of the own zone only or of all zones; NULL if there is none.
 * More choices would send the calls of many origins to the same endpoint on old reports.
 */
static const option_t *best_of_some(cw_pick_t *pick, const GArray *options, bool local_only)
{
	const option_t *best = NULL;
	guint *positions = g_new(guint, options->len + 1);
	guint count = 0;

	for (guint i = 0; i < options->len; i++)
		if (!local_only || g_array_index(options, option_t, i).local)
			positions[count++] = i;
	for (int i = 0; i < COST_CHOICES && count > 0; i++) {
		guint drawn = (guint)random_below(pick, (gint32)count);
		const option_t *option = &g_array_index(options, option_t, positions[drawn]);

		positions[drawn] = positions[--count];
		if (!best || compare_options(option, best) < 0)
			best = option;
	}
	g_free(positions);
	return best;
}

/*
 * Returns the endpoint for the first attempt of a call by the expected time to the answer: of the own zone
 * unless one of another zone answers earlier by cost_crossing_ratio of the time limit.
 */
static const option_t *choose_by_cost(cw_pick_t *pick, const GArray *options, const cw_pick_call_t *call)
{
	const option_t *own = best_of_some(pick, options, true);
	const option_t *other = best_of_some(pick, options, false);
	double gain_ms = cost_crossing_ratio * (double)answer_limit_ms(call);

	if (!own || !other)
		return own ? own : other;
	if (other->expected_ms > 0 && own->expected_ms > 0)
		return other->expected_ms + gain_ms < own->expected_ms ? other : own;
	return is_local_acceptable(own, call) || !justifies_crossing(other, own, call) ? own : other;
}

/* Returns the endpoint for the first attempt of a call: of the own zone unless another is clearly better. */
static const option_t *choose_first(cw_pick_t *pick, const GArray *options, const cw_pick_call_t *call)
{
	const option_t *own;
	const option_t *other;

	if (pick->cost_aware)
		return choose_by_cost(pick, options, call);
	own = best_of_two(pick, options, true);
	if (own && is_local_acceptable(own, call))
		return own;
	other = best_of_two(pick, options, false);
	return other && justifies_crossing(other, own, call) ? other : own;
}

/*
 * Returns whether a call is sent although the links are too full: a few first attempts are, as only their
 * replies can tell that they no longer are.
 */
static bool is_probe(cw_pick_t *pick, const cw_pick_call_t *call)
{
	return !call->refusals && g_rand_double(pick->random) < probe_ratio;
}

/*
 * Chooses an endpoint: this proxy's own, or one of its zone, unless it would fail or answer late and one
 * of another zone is clearly better.  After a refusal the zone does not count.  Where links leave
 * too little time the call is not sent, but for a few: it would delay those that have a prospect.  When only unavailable endpoints are left, one of
 * them is tried: it may be back, and a refusal costs nothing.
 */
int cw_pick_choose(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count,
		   const cw_pick_call_t *call, int64_t now_ms)
{
	int position = free_own_endpoint(pick, candidates, count, call, now_ms);
	const option_t *chosen;
	GArray *options;

	if (position >= 0)
		return position;
	options = eligible_options(pick, candidates, count, call, false, now_ms);
	if (!options->len) {
		g_array_free(options, TRUE);
		options = eligible_options(pick, candidates, count, call, true, now_ms);
	}
	drop_ejected(options, count, now_ms);
	pick->lowest_priority = MAX(pick->lowest_priority, call->priority);
	chosen = call->refusals ? NULL : choose_first(pick, options, call);
	if (!chosen || !is_promising(pick, chosen, call))
		chosen = better(chosen, best_of_few(pick, options));
	if (!chosen)
		position = CW_PICK_NO_ENDPOINT;
	else if (is_promising(pick, chosen, call) || is_probe(pick, call))
		position = chosen->position;
	else
		position = CW_PICK_CROWDED;
	g_array_free(options, TRUE);
	return position;
}

/* Counts a call sent to an endpoint. */
void cw_pick_sent(cw_pick_t *pick, const char *vm, uint64_t incarnation, uint64_t route)
{
	endpoint_stats_t *stats = stats_for(pick, vm, incarnation);

	stats->outstanding++;
	stats->sent++;
	stats->sent_work_ms += service_time_ms(stats, route);
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
	double decay = error_decay(stats, now_ms);
	double ratio = stats->error_ratio * decay;
	bool answered = result == CW_PICK_ERROR || result == CW_PICK_ANSWERED;

	if (answered)
		ratio += answer_weight * ((result == CW_PICK_ERROR) - ratio);
	stats->error_ratio = ratio;
	stats->recent_answers = stats->recent_answers * decay + answered;
	stats->recent_errors = stats->recent_errors * decay + (result == CW_PICK_ERROR);
}

/*
 * Returns whether an endpoint has a clearly higher error ratio than the best other
 * candidate.  None has while the others give many errors too, as they do when a service
 * that they call fails: a call that is repeated repeats its calls there.
 */
bool cw_pick_is_error_outlier(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count, const char *vm,
			      int64_t now_ms)
{
	double vm_ratio = 0;
	double least_other_ratio = 1;
	double other_answers = 0;
	double other_errors = 0;

	for (size_t i = 0; i < count; i++) {
		const endpoint_stats_t *stats = stats_for(pick, candidates[i].vm, candidates[i].incarnation);
		double decay = error_decay(stats, now_ms);

		if (g_str_equal(candidates[i].vm, vm)) {
			vm_ratio = stats->error_ratio * decay;
			continue;
		}
		other_answers += stats->recent_answers * decay;
		other_errors += stats->recent_errors * decay;
		if (!candidates[i].excluded)
			least_other_ratio = MIN(least_other_ratio, stats->error_ratio * decay);
	}
	if (other_answers >= min_common_answers && other_errors > max_common_error_ratio * other_answers)
		return false;
	return vm_ratio > outlier_factor * least_other_ratio + outlier_margin;
}

/* Stores a reported wait; a call of higher urgency waits no longer than one of the lowest. */
static void record_wait(endpoint_stats_t *stats, urgency_t urgency, uint32_t wait_ms)
{
	uint32_t *waits_ms = stats->reported_wait_ms;

	waits_ms[urgency] = wait_ms;
	if (urgency == URGENCY_HIGHER)
		waits_ms[URGENCY_LOWEST] = MAX(waits_ms[URGENCY_LOWEST], wait_ms);
	else
		waits_ms[URGENCY_HIGHER] = MIN(waits_ms[URGENCY_HIGHER], wait_ms);
}

/* Updates what an endpoint usually reports with a report, and starts to count the calls sent since. */
static void update_usual(endpoint_stats_t *stats, urgency_t urgency, const cw_pick_load_t *load,
			 int64_t now_ms)
{
	double age_ms = (double)(now_ms - stats->reported_at_ms + 1);
	double weight = stats->reported_slots ? 1 - exp(-age_ms / USUAL_WAIT_MS) : 1;

	stats->usual_wait_ms[urgency] += weight * (load->wait_ms - stats->usual_wait_ms[urgency]);
	if (urgency == URGENCY_HIGHER)
		stats->usual_wait_ms[URGENCY_LOWEST] =
			MAX(stats->usual_wait_ms[URGENCY_LOWEST], stats->usual_wait_ms[urgency]);
	else
		stats->usual_wait_ms[URGENCY_HIGHER] =
			MIN(stats->usual_wait_ms[URGENCY_HIGHER], stats->usual_wait_ms[urgency]);
	stats->reported_speed = load->speed_percent / (double)PERCENT;
	stats->sent = 0;
	stats->sent_work_ms = 0;
}

/* Stores the load that an answer reported. */
static void update_load(cw_pick_t *pick, endpoint_stats_t *stats, const cw_pick_load_t *load, int64_t now_ms)
{
	uint64_t *route;

	if (!load->slots)
		return;
	if (pick->cost_aware)
		update_usual(stats, urgency_of(pick, load->priority), load, now_ms);
	stats->reported_in_use = load->in_use;
	stats->reported_slots = load->slots;
	record_wait(stats, urgency_of(pick, load->priority), load->wait_ms);
	stats->overhead_ms = load->overhead_ms;
	pick->overhead_ms += overhead_weight * (load->overhead_ms - pick->overhead_ms);
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

/* Notes whether the calls of a route are short. */
static void note_short_route(cw_pick_t *pick, const cw_pick_load_t *load)
{
	if (!load->service_ms)
		return;
	if (!load->short_call)
		g_hash_table_remove(pick->short_routes, &load->route);
	else if (g_hash_table_size(pick->short_routes) < MAX_SHORT_ROUTES)
		g_hash_table_add(pick->short_routes, g_memdup2(&load->route, sizeof(load->route)));
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
	update_load(pick, stats, load, now_ms);
	note_short_route(pick, load);
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
