/*
 * Admission control in front of a target: a limit on concurrent calls (slots),
 * a priority queue, and early refusal of calls that would be answered too late.
 *
 * It is built for overload that lasts seconds, where some of the calls are
 * nested: their callers hold a slot of another target while they wait.  Queued
 * calls are ordered by when they are due, the end of their latency objective or
 * of their own time, which puts short nested calls first.  A call that would be
 * too late there overtakes calls of lower priority; one that would make a call of
 * higher priority late follows it.  A call that is expected to be answered too
 * late all the same is refused on arrival.  A queued call that has been overtaken
 * too often is refused at the head of the queue, if calls behind it can still be
 * answered in time.
 * Service times are measured per route.
 *
 * An account that sends many times its usual rate must not take the room of others: when not all calls of a
 * priority can be answered in time, those of accounts above their share (fair_share.c) are refused, also ones that
 * are queued already.  Calls without an account are never refused for others.  This is off unless the options say so.
 */
#include "fair_share.h"
#include "internal.h"

#include <math.h>

enum {
	MAX_ORIGINS = 16384,	      /* with call records */
	MAX_ROUTES = 4096,	      /* with service time statistics */
	COLD_SLOTS_DIVISOR = 4,	      /* a cold target starts with its slots divided by this, rounded up */
	MAX_DEFAULT_SERVICE_MS = 250, /* limit of the service time assumed before the first measurement */
	PERCENT = 100,
	/* While cost-aware, these bound the processor time with many running calls. */
	CALLS_PER_ESTIMATE_MS = 32,
	CALLS_PER_COUNT_MS = 4,
	MIN_COUNT_INTERVAL_MS = 5,
	WAIT_PRIOR_MS = 200, /* added to both sums of the correction of waits, so that few calls say little */
	STALLED_FACTOR = 2 /* a full target that starts no call for this many mean service times is stalled */
};

/* Weight of a new service time in the moving averages. */
static const double sample_weight = 0.1;
/* Weight of the second sample of a route in its mean; later ones weigh less, down to sample_weight. */
static const double second_sample_weight = 0.5;
/* A queued call is expected to take the mean plus this many mean deviations at most. */
static const double deviation_factor = 4.5;
/* The same for calls of higher priority than one that would be put before them. */
static const double urgent_deviation_factor = 3;
/*
 * A call whose wait is shorter than this ratio of the time left until its useful_until_ms
 * is never refused as crowded, so that the queue can decide who goes first.
 */
static const double short_wait_ratio = 0.07;
/* Service time assumed before the first measurement, as a ratio of the time left until useful_until_ms. */
static const double default_service_ratio = 0.5;
/* Deviation assumed for a route with at most one sample, as a ratio of its mean service time. */
static const double initial_deviation_ratio = 0.5;
/* A call whose service time is below this ratio of that of the slowest route is not refused as crowded: that frees little. */
static const double short_call_ratio = 0.25;
/* The slowest route is forgotten by this factor with each answer. */
static const double slowest_decay = 0.999;

/* Weight of the earlier waits in the correction of estimated waits, while cost-aware, and its range. */
static const double wait_decay = 0.98;
static const double lowest_wait_correction = 0.5;
static const double highest_wait_correction = 2;

/* Service time statistics of a route at this target. */
typedef struct {
	uint64_t route;
	double mean_ms;
	double deviation_ms; /* mean absolute deviation */
	uint32_t samples;    /* after the first */
} route_stats_t;

/* A call in the queue. */
typedef struct {
	cw_admit_call_t call;
	double expected_ms; /* expected service time */
	double limit_ms;    /* its likely maximum */
	int64_t charged_ms; /* when it was charged to its account */
	int64_t queued_ms;  /* since when it waits */
	double wait_ms;	    /* estimated then, without the correction */
} queued_call_t;

/* A running call: each one while cost-aware, else those of accounts. */
typedef struct {
	cw_call_id_t id;
	cw_fair_call_t charged;
	cw_cost_call_t cost_call;
	int64_t started_ms;
	double counted_answers; /* expected of it, as counted for the speed */
} running_call_t;

/* What is expected of the running calls, while cost-aware. */
typedef struct {
	double work_ms;	 /* until all are done, in total */
	double first_ms; /* until the first is done */
	double turning;	 /* number of slots that are freed as often as their calls usually free them */
} running_estimate_t;

struct cw_admit {
	cw_admit_options_t options;
	cw_records_t *records;
	GPtrArray *queue;     /* of queued_call_t, the earliest due first */
	GPtrArray *displaced; /* of queued_call_t, which cw_admit_next() has to refuse */
	cw_fair_share_t *shares;
	GHashTable *routes; /* route -> route_stats_t */
	uint32_t running;   /* calls that have started and not ended */
	int64_t started_ms; /* when the last one started */
	bool draining;
	int64_t start_until_ms; /* queued calls that have not started by then are refused; INT64_MAX: never */
	bool warm;		/* the target has answered since it was last unreachable */
	int64_t warm_ms;	/* start of the ramp-up: time of the first answer since then */
	double service_ms;	/* mean service time of all routes; 0: no sample yet */
	double slowest_ms;	/* mean service time of the slowest route of late */
	cw_cost_t *cost;	/* NULL unless cost-aware */
	GArray *running_calls;	/* of running_call_t */
	running_estimate_t estimate; /* a cache, which estimates of waits fill */
	double waited_ms;	     /* decaying sums, of queued calls that started: time that they waited, */
	double estimated_wait_ms;    /* and that was estimated */
	int64_t counted_ms;	     /* when the time of all running calls was last counted */
	int64_t estimated_ms;	     /* when it was calculated */
	bool estimate_valid;	     /* no call has started or ended since */
};

/* Creates admission control for a cold target: one that has not answered yet. */
cw_admit_t *cw_admit_new(const cw_admit_options_t *options)
{
	cw_admit_t *admit = g_new0(cw_admit_t, 1);

	admit->options = *options;
	admit->start_until_ms = INT64_MAX;
	admit->records = cw_records_new(MAX_ORIGINS);
	admit->queue = g_ptr_array_new_with_free_func(g_free);
	admit->displaced = g_ptr_array_new_with_free_func(g_free);
	admit->shares = cw_fair_share_new();
	admit->routes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	admit->running_calls = g_array_new(FALSE, FALSE, sizeof(running_call_t));
	if (options->cost_aware)
		admit->cost = cw_cost_new();
	return admit;
}

/* Frees admission control and its queue. */
void cw_admit_free(cw_admit_t *admit)
{
	g_ptr_array_unref(admit->queue);
	g_ptr_array_unref(admit->displaced);
	cw_fair_share_free(admit->shares);
	g_hash_table_destroy(admit->routes);
	g_array_unref(admit->running_calls);
	if (admit->cost)
		cw_cost_free(admit->cost);
	cw_records_free(admit->records);
	g_free(admit);
}

/* Returns how many calls may run at once now: fewer than the slots while the target is cold or ramping up. */
uint32_t cw_admit_limit(const cw_admit_t *admit, int64_t now_ms)
{
	uint32_t slots = admit->options.slots;
	uint32_t cold = (slots + COLD_SLOTS_DIVISOR - 1) / COLD_SLOTS_DIVISOR;
	int64_t elapsed_ms = now_ms - admit->warm_ms;

	if (!admit->warm)
		return cold;
	if (elapsed_ms >= admit->options.ramp_ms)
		return slots;
	return cold + (uint32_t)((slots - cold) * elapsed_ms / admit->options.ramp_ms);
}

/* Marks the target as warm without a ramp-up: it is known to have been running for a while. */
void cw_admit_mark_warm(cw_admit_t *admit, int64_t now_ms)
{
	if (admit->warm)
		return;
	admit->warm = true;
	admit->warm_ms = now_ms - admit->options.ramp_ms;
}

/*
 * Returns the mean service time of a route, or that of all calls for a route
 * without statistics; 0 before the first measurement.
 */
double cw_admit_service_ms(const cw_admit_t *admit, uint64_t route)
{
	const route_stats_t *stats = g_hash_table_lookup(admit->routes, &route);
	const cw_cost_call_t cost_call = {.route = route};
	double cost_ms = admit->cost ? cw_cost_expected_ms(admit->cost, &cost_call) : 0;

	if (cost_ms > 0)
		return cost_ms;
	return stats ? stats->mean_ms : admit->service_ms;
}

/* Returns the properties of a call that its cost depends on. */
static cw_cost_call_t cost_call_of(const cw_admit_call_t *call)
{
	return (cw_cost_call_t){
		.route = call->route, .account = call->account, .body_bytes = call->body_bytes};
}

/* Returns the mean absolute deviation of the service time of a route, estimated if it has no statistics. */
static double service_deviation_ms(const cw_admit_t *admit, uint64_t route)
{
	const route_stats_t *stats = g_hash_table_lookup(admit->routes, &route);

	return stats ? stats->deviation_ms : initial_deviation_ratio * admit->service_ms;
}

/*
 * Returns the expected service time of a call.  Before the first measurement it
 * is a fraction of the time until useful_until_ms, so that a target that has just
 * started is not sent more calls than it can answer in time.
 */
static double expected_service_ms(const cw_admit_t *admit, const cw_admit_call_t *call, int64_t now_ms)
{
	const cw_cost_call_t cost_call = cost_call_of(call);
	double cost_ms = admit->cost ? cw_cost_expected_ms(admit->cost, &cost_call) : 0;
	double service_ms = cw_admit_service_ms(admit, call->route);

	if (cost_ms > 0)
		return cost_ms / cw_cost_speed(admit->cost);
	if (service_ms > 0)
		return service_ms;
	return CLAMP((double)(call->useful_until_ms - now_ms) * default_service_ratio, 0,
		     MAX_DEFAULT_SERVICE_MS);
}

/* Returns the mean service time of a call plus a number of mean deviations. */
static double service_limit_ms(const cw_admit_t *admit, const cw_admit_call_t *call, double expected_ms,
			       double deviations)
{
	return expected_ms + deviations * service_deviation_ms(admit, call->route);
}

/* Returns when a call is due: at the end of its latency objective, but not after its deadline. */
static int64_t due_ms(const cw_admit_call_t *call)
{
	return MIN(call->useful_until_ms, call->deadline_ms);
}

/* Returns the queue position for a new call: after all calls that are not due later. */
static guint insert_position(const cw_admit_t *admit, const cw_admit_call_t *call)
{
	guint position = admit->queue->len;

	while (position > 0 &&
	       due_ms(call) < due_ms(&((const queued_call_t *)admit->queue->pdata[position - 1])->call))
		position--;
	return position;
}

/* Calculates what is expected of the running calls, at the present speed. */
static running_estimate_t estimate_running(const cw_admit_t *admit, int64_t now_ms)
{
	double speed = cw_cost_speed(admit->cost);
	running_estimate_t result = {0};
	double frequency = 0;

	for (guint i = 0; i < admit->running_calls->len; i++) {
		const running_call_t *running = &g_array_index(admit->running_calls, running_call_t, i);
		double ran_ms = (double)(now_ms - running->started_ms);
		double rest_ms = cw_cost_rest_ms(admit->cost, &running->cost_call, ran_ms) / speed;
		double whole_ms = cw_cost_expected_ms(admit->cost, &running->cost_call) / speed;

		rest_ms = MAX(rest_ms > 0 ? rest_ms : admit->service_ms, 1);
		result.work_ms += rest_ms;
		frequency += 1 / MAX(rest_ms, whole_ms);
		result.turning += whole_ms > 0 ? MIN(whole_ms / rest_ms, 1) : 1;
	}
	result.first_ms = frequency > 0 ? 1 / frequency : 0;
	return result;
}

/*
 * Returns what is expected of the running calls.  It is calculated once in a millisecond between events, and
 * with many calls, where one changes little, once in several milliseconds.
 */
static const running_estimate_t *running_estimate(cw_admit_t *admit, int64_t now_ms)
{
	int64_t valid_ms = MAX(admit->running_calls->len / CALLS_PER_ESTIMATE_MS, admit->estimate_valid);

	if (now_ms - admit->estimated_ms < valid_ms)
		return &admit->estimate;
	admit->estimate = estimate_running(admit, now_ms);
	admit->estimated_ms = now_ms;
	admit->estimate_valid = true;
	return &admit->estimate;
}

/* Returns by what estimated waits are multiplied, as queued calls of late waited longer or shorter than estimated. */
static double wait_correction(const cw_admit_t *admit)
{
	double ratio = (admit->waited_ms + WAIT_PRIOR_MS) / (admit->estimated_wait_ms + WAIT_PRIOR_MS);

	return CLAMP(ratio, lowest_wait_correction, highest_wait_correction);
}

/* Compares the wait of a call that leaves the queue to start with the estimate. */
static void learn_wait(cw_admit_t *admit, const queued_call_t *queued, int64_t now_ms)
{
	admit->waited_ms = wait_decay * admit->waited_ms + (double)(now_ms - queued->queued_ms);
	admit->estimated_wait_ms = wait_decay * admit->estimated_wait_ms + queued->wait_ms;
}

/*
 * Estimates when a call starts that waits for queued calls with the expected service times queued_ms, from how
 * long each running call has run: the first slot is freed when one of them is done, and the calls before it in
 * the queue then pass through the slots that are not held by calls which go on for long.
 */
static double cost_wait_ms(const cw_admit_t *admit, double queued_ms, int64_t now_ms)
{
	const running_estimate_t *running = running_estimate((cw_admit_t *)admit, now_ms);

	return wait_correction(admit) * (running->first_ms + queued_ms / MAX(running->turning, 1));
}

/* Returns whether waits are estimated by cost_wait_ms(). */
static bool estimates_by_cost(const cw_admit_t *admit)
{
	return admit->cost && admit->service_ms > 0;
}

/*
 * Estimates when a call at a queue position starts, in milliseconds from now, by
 * the work ahead of it: one mean service time for the running calls, and those of
 * the calls before it in the queue.  expected_ms, the call's own expected service
 * time, replaces the mean before the first measurement.
 */
static double queue_wait_ms(const cw_admit_t *admit, guint position, double expected_ms, int64_t now_ms)
{
	double work_ms = admit->service_ms > 0 ? admit->service_ms : expected_ms;

	if (estimates_by_cost(admit))
		work_ms = 0;
	for (guint i = 0; i < position; i++)
		work_ms += ((const queued_call_t *)admit->queue->pdata[i])->expected_ms;
	if (estimates_by_cost(admit))
		return cost_wait_ms(admit, work_ms, now_ms);
	return work_ms / cw_admit_limit(admit, now_ms);
}

/* Refuses a call and records that it will never be run. */
static cw_admit_verdict_t refuse(cw_admit_t *admit, const cw_call_id_t *id, int64_t now_ms, cw_reason_t cause,
				 cw_reason_t *reason)
{
	cw_records_set(admit->records, id, CW_RECORD_REFUSED, now_ms);
	*reason = cause;
	return CW_ADMIT_REFUSE;
}

/* Returns whether a service time is so short that refusing the call would free too little capacity. */
static bool is_short_call(const cw_admit_t *admit, double expected_ms)
{
	return expected_ms < short_call_ratio * admit->slowest_ms;
}

/* Returns whether calls of a route are short; false before the first measurement. */
bool cw_admit_is_short(const cw_admit_t *admit, uint64_t route)
{
	return is_short_call(admit, cw_admit_service_ms(admit, route));
}

/* Returns the account that a call is charged to; 0 without fair shares or an account. */
static uint64_t share_account(const cw_admit_t *admit, const queued_call_t *queued)
{
	return admit->options.fair_shares ? queued->call.account : 0;
}

/*
 * Returns whether a call is short and therefore never refused as crowded.  Calls of accounts are not exempt: one of
 * another account can be refused instead, and routes whose mean is near the limit made most calls late when they
 * were exempt at times.
 */
static bool is_exempt(const cw_admit_t *admit, const queued_call_t *queued)
{
	return !share_account(admit, queued) && is_short_call(admit, queued->expected_ms);
}

/* Returns whether a call that waits for so long is likely answered by its useful_until_ms. */
static bool fits(const cw_admit_t *admit, const queued_call_t *queued, double wait_ms, int64_t now_ms)
{
	double slack_ms = (double)(queued->call.useful_until_ms - now_ms);

	return wait_ms + queued->limit_ms <= slack_ms || wait_ms <= short_wait_ratio * slack_ms ||
	       is_exempt(admit, queued);
}

/* Returns whether a call has a lower priority than another. */
static bool is_less_urgent(const queued_call_t *queued, const queued_call_t *other)
{
	return queued->call.priority > other->call.priority;
}

/* Returns whether a wait makes a queued call miss its objective, unless it does so in any case. */
static bool misses_objective(const cw_admit_t *admit, const queued_call_t *queued, double wait_ms,
			     int64_t now_ms)
{
	double slack_ms = (double)(queued->call.useful_until_ms - now_ms);
	double service_ms =
		service_limit_ms(admit, &queued->call, queued->expected_ms, urgent_deviation_factor);

	return queued->expected_ms <= slack_ms && wait_ms > short_wait_ratio * slack_ms &&
	       wait_ms + service_ms > slack_ms;
}

/* Returns a call as its account is charged for it. */
static cw_fair_call_t fair_call(const cw_admit_t *admit, const queued_call_t *queued)
{
	return (cw_fair_call_t){.account = share_account(admit, queued),
				.priority = queued->call.priority,
				.weight = queued->call.account_weight,
				.cost_ms = queued->expected_ms,
				.charged_ms = queued->charged_ms};
}

/* Returns whether two calls are of the same priority and of different accounts, neither of which is none. */
static bool share_priority(const queued_call_t *queued, const queued_call_t *other)
{
	return queued->call.account && other->call.account && queued->call.account != other->call.account &&
	       queued->call.priority == other->call.priority;
}

/* Returns by how much the account of a queued call is above its share if a new call of another one is accepted. */
static double excess(const cw_admit_t *admit, const queued_call_t *queued, const queued_call_t *added,
		     int64_t now_ms)
{
	const cw_fair_call_t charged = fair_call(admit, queued);
	const cw_fair_call_t uncharged = fair_call(admit, added);

	return cw_fair_share_excess(admit->shares, &charged, &uncharged, now_ms);
}

/* Returns whether the account of a new call is above its share: none with queued calls of the priority has more. */
static bool is_above_share(const cw_admit_t *admit, const queued_call_t *added, int64_t now_ms)
{
	for (guint i = 0; i < admit->queue->len; i++)
		if (share_priority(admit->queue->pdata[i], added) &&
		    excess(admit, admit->queue->pdata[i], added, now_ms) > 0)
			return false;
	return true;
}

/*
 * Returns the position of a new call, which is first that by the objectives.  It overtakes calls of lower
 * priority as far as it needs to fit, and follows calls of higher priority, or of accounts with a better claim to their
 * share, that it would make late.
 */
static guint choose_position(const cw_admit_t *admit, const queued_call_t *added, int64_t now_ms)
{
	guint position = insert_position(admit, &added->call);
	double added_ms = added->expected_ms / cw_admit_limit(admit, now_ms);
	bool above_share = share_account(admit, added) && is_above_share(admit, added, now_ms);

	while (position > 0 && is_less_urgent(admit->queue->pdata[position - 1], added) &&
	       !fits(admit, added, queue_wait_ms(admit, position, added->expected_ms, now_ms), now_ms))
		position--;
	for (guint i = position; i < admit->queue->len; i++)
		if ((is_less_urgent(added, admit->queue->pdata[i]) ||
		     (above_share && share_priority(admit->queue->pdata[i], added))) &&
		    misses_objective(admit, admit->queue->pdata[i],
				     queue_wait_ms(admit, i, added->expected_ms, now_ms) + added_ms, now_ms))
			position = i + 1;
	return position;
}

/* Returns the reason to refuse an arriving call instead of queueing it at a position, or CW_REASON_NONE. */
static cw_reason_t arrival_refusal(const cw_admit_t *admit, const queued_call_t *added, guint position,
				   int64_t now_ms)
{
	double wait_ms = queue_wait_ms(admit, position, added->expected_ms, now_ms);

	if (admit->queue->len >= admit->options.queue)
		return CW_REASON_QUEUE_FULL;
	if ((double)now_ms + wait_ms + added->expected_ms > (double)added->call.deadline_ms)
		return CW_REASON_DEADLINE;
	return fits(admit, added, wait_ms, now_ms) ? CW_REASON_NONE : CW_REASON_CROWDED;
}

/* Charges a call that has been accepted to its account, if it has one. */
static void charge_call(cw_admit_t *admit, const queued_call_t *queued, int64_t now_ms)
{
	const cw_fair_call_t charged = fair_call(admit, queued);

	if (charged.account)
		cw_fair_share_charge(admit->shares, &charged, now_ms);
}

/* Refunds the charge of a call that leaves the queue without having started. */
static void refund_queued(cw_admit_t *admit, const queued_call_t *queued, int64_t now_ms)
{
	const cw_fair_call_t charged = fair_call(admit, queued);

	if (charged.account)
		cw_fair_share_refund(admit->shares, &charged, now_ms);
}

/* Counts the time that a call has run for the speed of the target. */
static void count_run(cw_admit_t *admit, running_call_t *running, int64_t now_ms)
{
	double answers =
		cw_cost_answers_by(admit->cost, &running->cost_call, (double)(now_ms - running->started_ms));

	cw_cost_expect_answers(admit->cost, answers - running->counted_answers, now_ms);
	running->counted_answers = answers;
}

/* Counts the time that all calls have run, so seldom that its processor time is bounded. */
static void count_running(cw_admit_t *admit, int64_t now_ms)
{
	int64_t interval_ms = MAX(admit->running_calls->len / CALLS_PER_COUNT_MS, MIN_COUNT_INTERVAL_MS);

	admit->estimate_valid = false;
	if (now_ms - admit->counted_ms < interval_ms)
		return;
	admit->counted_ms = now_ms;
	for (guint i = 0; i < admit->running_calls->len; i++)
		count_run(admit, &g_array_index(admit->running_calls, running_call_t, i), now_ms);
}

/* Marks a call, which has been charged, as started. */
static void start_call(cw_admit_t *admit, const queued_call_t *queued, int64_t now_ms)
{
	const running_call_t running = {.id = queued->call.id,
					.charged = fair_call(admit, queued),
					.cost_call = cost_call_of(&queued->call),
					.started_ms = now_ms};

	if (admit->cost)
		count_running(admit, now_ms);
	if (admit->cost || running.charged.account)
		g_array_append_val(admit->running_calls, running);
	admit->running++;
	admit->started_ms = now_ms;
	cw_records_set(admit->records, &queued->call.id, CW_RECORD_STARTED, now_ms);
}

/* Returns whether two calls of one account differ only in when they are due, and the queued one is due later. */
static bool is_later_call(const queued_call_t *queued, const queued_call_t *added)
{
	return queued->call.route == added->call.route && due_ms(&queued->call) > due_ms(&added->call);
}

/*
 * Returns the position of the queued call that is refused first so that a call of an account can be accepted: one of
 * the same priority and of the account that is most above its share, and of its calls the last in the queue.
 * Taking only calls ahead of the accepted one answered less in time under overload, as it keeps the longest calls.
 * If there is none, a call of the same account and route that is due later, so that callers who come back
 * after a refusal keep their turn.  The length of the queue if there is neither.
 */
static guint find_displaceable(const cw_admit_t *admit, const queued_call_t *added, int64_t now_ms)
{
	guint found = admit->queue->len;
	double most = 0;

	for (guint i = admit->queue->len; i-- > 0;) {
		const queued_call_t *queued = admit->queue->pdata[i];
		double above = share_priority(queued, added) ? excess(admit, queued, added, now_ms) : 0;
		bool is_turn = found == admit->queue->len && queued->call.account == added->call.account &&
			       queued->call.priority == added->call.priority && is_later_call(queued, added);

		if (above > most || is_turn) {
			most = above;
			found = i;
		}
	}
	return found;
}

/* Puts calls back into the queue from which they were taken, the last one first. */
static void restore_queue(cw_admit_t *admit, GPtrArray *taken, const GArray *positions, int64_t now_ms)
{
	while (taken->len) {
		queued_call_t *queued = g_ptr_array_steal_index(taken, taken->len - 1);

		charge_call(admit, queued, now_ms);
		g_ptr_array_insert(admit->queue, (gint)g_array_index(positions, guint, taken->len), queued);
	}
}

/* Refuses calls that were taken from the queue; cw_admit_next() returns them. */
static void displace(cw_admit_t *admit, GPtrArray *taken, int64_t now_ms)
{
	for (guint i = 0; i < taken->len; i++) {
		const queued_call_t *queued = taken->pdata[i];

		cw_records_set(admit->records, &queued->call.id, CW_RECORD_REFUSED, now_ms);
	}
	g_ptr_array_extend_and_steal(admit->displaced, taken);
}

/* Returns whether a call could be accepted at the head of the queue, apart from the length of the queue. */
static bool fits_at_head(const cw_admit_t *admit, const queued_call_t *added, int64_t now_ms)
{
	double wait_ms = queue_wait_ms(admit, 0, added->expected_ms, now_ms);

	return (double)now_ms + wait_ms + added->expected_ms <= (double)added->call.deadline_ms &&
	       fits(admit, added, wait_ms, now_ms);
}

/*
 * Displaces queued calls of accounts above their share until a call of an account can be accepted.  Returns the
 * reason to refuse it if that is not enough; the queue is then as before.
 */
static cw_reason_t make_room(cw_admit_t *admit, const queued_call_t *added, guint *position,
			     cw_reason_t refusal, int64_t now_ms)
{
	g_autoptr(GPtrArray) taken = g_ptr_array_new_with_free_func(g_free);
	g_autoptr(GArray) positions = g_array_new(FALSE, FALSE, sizeof(guint));
	cw_reason_t cause = refusal;
	guint found;

	if (!fits_at_head(admit, added, now_ms))
		return refusal;
	while (cause != CW_REASON_NONE &&
	       (found = find_displaceable(admit, added, now_ms)) < admit->queue->len) {
		refund_queued(admit, admit->queue->pdata[found], now_ms);
		g_ptr_array_add(taken, g_ptr_array_steal_index(admit->queue, found));
		g_array_append_val(positions, found);
		*position = choose_position(admit, added, now_ms);
		cause = arrival_refusal(admit, added, *position, now_ms);
	}
	if (cause == CW_REASON_NONE) {
		displace(admit, g_steal_pointer(&taken), now_ms);
		return CW_REASON_NONE;
	}
	restore_queue(admit, taken, positions, now_ms);
	return refusal;
}

/* Queues a call, or refuses it. */
static cw_admit_verdict_t enqueue(cw_admit_t *admit, const cw_admit_call_t *call, int64_t now_ms,
				  cw_reason_t *reason)
{
	queued_call_t added = {
		.call = *call, .expected_ms = expected_service_ms(admit, call, now_ms), .charged_ms = now_ms};
	cw_reason_t cause;
	guint position;

	added.limit_ms = service_limit_ms(admit, call, added.expected_ms, deviation_factor);
	position = choose_position(admit, &added, now_ms);
	added.queued_ms = now_ms;
	cause = arrival_refusal(admit, &added, position, now_ms);
	if (cause != CW_REASON_NONE && share_account(admit, &added))
		cause = make_room(admit, &added, &position, cause, now_ms);
	if (cause != CW_REASON_NONE)
		return refuse(admit, &call->id, now_ms, cause, reason);
	/* Not before make_room(), which may change the position and the calls ahead. */
	if (admit->cost)
		added.wait_ms =
			queue_wait_ms(admit, position, added.expected_ms, now_ms) / wait_correction(admit);
	charge_call(admit, &added, now_ms);
	g_ptr_array_insert(admit->queue, (gint)position, g_memdup2(&added, sizeof(added)));
	cw_records_set(admit->records, &call->id, CW_RECORD_WAITING, now_ms);
	return CW_ADMIT_QUEUE;
}

/*
 * Starts, queues or refuses an arriving call.  A call that finds a free slot is
 * started even when the mean service time predicts a late answer: otherwise,
 * after a slow period, every call that could show that the target has recovered
 * would be refused.
 */
cw_admit_verdict_t cw_admit_arrive(cw_admit_t *admit, const cw_admit_call_t *call, int64_t now_ms,
				   cw_reason_t *reason)
{
	cw_record_state_t state = cw_records_find(admit->records, &call->id);

	*reason = CW_REASON_NONE;
	if (state == CW_RECORD_REFUSED)
		return refuse(admit, &call->id, now_ms, CW_REASON_REVOKED, reason);
	if (state != CW_RECORD_NONE)
		return CW_ADMIT_IGNORE;
	/* Without space for its record the call must not be started: duplicates of it would run too. */
	if (cw_records_set(admit->records, &call->id, CW_RECORD_NONE, now_ms) != CW_OK) {
		*reason = CW_REASON_RECORDS_FULL;
		return CW_ADMIT_REFUSE;
	}
	if (admit->draining)
		return refuse(admit, &call->id, now_ms, CW_REASON_DRAINING, reason);
	if (now_ms >= call->deadline_ms)
		return refuse(admit, &call->id, now_ms, CW_REASON_DEADLINE, reason);
	if (call->lacks_memory)
		return refuse(admit, &call->id, now_ms, CW_REASON_QUEUE_FULL, reason);
	if (admit->running < cw_admit_limit(admit, now_ms) && !admit->queue->len) {
		const queued_call_t started = {.call = *call,
					       .expected_ms = expected_service_ms(admit, call, now_ms),
					       .charged_ms = now_ms};

		charge_call(admit, &started, now_ms);
		start_call(admit, &started, now_ms);
		return CW_ADMIT_START;
	}
	return enqueue(admit, call, now_ms, reason);
}

/* Returns whether a call started now is expected to be answered by its useful_until_ms or is exempt. */
static bool meets_objective(const cw_admit_t *admit, const queued_call_t *queued, int64_t now_ms)
{
	return (double)now_ms + queued->expected_ms <= (double)queued->call.useful_until_ms ||
	       is_exempt(admit, queued);
}

/* Returns whether the head of the queue delays a call that can still meet its latency objective. */
static bool delays_useful_calls(const cw_admit_t *admit, int64_t now_ms)
{
	for (guint i = 1; i < admit->queue->len; i++)
		if (meets_objective(admit, admit->queue->pdata[i], now_ms))
			return true;
	return false;
}

/* Returns the reason to refuse the call at the head of the queue, or one that has expired, or CW_REASON_NONE. */
static cw_reason_t queued_refusal(const cw_admit_t *admit, const queued_call_t *queued, int64_t now_ms)
{
	if (now_ms >= queued->call.deadline_ms)
		return CW_REASON_DEADLINE;
	if (now_ms >= admit->start_until_ms)
		return CW_REASON_DRAINING;
	if (!meets_objective(admit, queued, now_ms) && delays_useful_calls(admit, now_ms))
		return CW_REASON_CROWDED;
	return CW_REASON_NONE;
}

/* Returns the position of a queued call whose deadline has passed; the length of the queue if there is none. */
static guint find_expired(const cw_admit_t *admit, int64_t now_ms)
{
	guint position = 0;

	while (position < admit->queue->len &&
	       now_ms < ((const queued_call_t *)admit->queue->pdata[position])->call.deadline_ms)
		position++;
	return position;
}

/* Removes the call at the head of the queue if it can start now or has to be refused, or one that has expired. */
bool cw_admit_next(cw_admit_t *admit, int64_t now_ms, uint64_t *cookie, cw_admit_verdict_t *verdict,
		   cw_reason_t *reason)
{
	guint position = find_expired(admit, now_ms);
	const queued_call_t *queued;

	if (admit->displaced->len) {
		*verdict = CW_ADMIT_REFUSE;
		*reason = CW_REASON_CROWDED;
		*cookie = ((const queued_call_t *)admit->displaced->pdata[0])->call.cookie;
		g_ptr_array_remove_index(admit->displaced, 0);
		return true;
	}
	if (!admit->queue->len)
		return false;
	if (position == admit->queue->len)
		position = 0;
	queued = admit->queue->pdata[position];
	*reason = queued_refusal(admit, queued, now_ms);
	if (*reason != CW_REASON_NONE) {
		*verdict = refuse(admit, &queued->call.id, now_ms, *reason, reason);
		refund_queued(admit, queued, now_ms);
	} else if (admit->running < cw_admit_limit(admit, now_ms)) {
		if (admit->cost)
			learn_wait(admit, queued, now_ms);
		start_call(admit, queued, now_ms);
		*verdict = CW_ADMIT_START;
	} else {
		return false;
	}
	*cookie = queued->call.cookie;
	g_ptr_array_remove_index(admit->queue, position);
	return true;
}

/* Starts the ramp-up of a target that has answered, unless it is already warm. */
static void start_ramp_up(cw_admit_t *admit, int64_t now_ms)
{
	if (!admit->warm)
		admit->warm_ms = now_ms;
	admit->warm = true;
}

/* Adds a measured service time to the statistics of its route. */
static void record_service_time(cw_admit_t *admit, uint64_t route, double took_ms)
{
	route_stats_t *stats = g_hash_table_lookup(admit->routes, &route);

	if (admit->service_ms > 0)
		admit->service_ms += sample_weight * (took_ms - admit->service_ms);
	else
		admit->service_ms = took_ms;
	if (stats) {
		stats->samples++;
		stats->deviation_ms += sample_weight * (fabs(took_ms - stats->mean_ms) - stats->deviation_ms);
		stats->mean_ms += MAX(sample_weight, second_sample_weight / stats->samples) *
				  (took_ms - stats->mean_ms);
		admit->slowest_ms = MAX(slowest_decay * admit->slowest_ms, stats->mean_ms);
		return;
	}
	if (g_hash_table_size(admit->routes) >= MAX_ROUTES)
		g_hash_table_remove_all(admit->routes);
	stats = g_new(route_stats_t, 1);
	*stats = (route_stats_t){
		.route = route, .mean_ms = took_ms, .deviation_ms = initial_deviation_ratio * took_ms};
	g_hash_table_insert(admit->routes, &stats->route, stats);
	admit->slowest_ms = MAX(slowest_decay * admit->slowest_ms, stats->mean_ms);
}

/*
 * Adds the duration of a failed call, which is a lower bound of its service time,
 * if it exceeds the mean of its route.  Shorter durations are ignored: otherwise a
 * target whose calls fail at once would appear to be fast.
 */
static void record_minimum_time(cw_admit_t *admit, uint64_t route, double took_ms)
{
	if (g_hash_table_contains(admit->routes, &route) && took_ms > cw_admit_service_ms(admit, route))
		record_service_time(admit, route, took_ms);
}

/* Replaces the charge of a call that has ended by the time that it took. */
static void settle_charge(cw_admit_t *admit, const cw_fair_call_t *charged, double took_ms, int64_t now_ms)
{
	cw_fair_call_t settled = *charged;

	cw_fair_share_refund(admit->shares, charged, now_ms);
	settled.cost_ms = took_ms;
	settled.charged_ms = now_ms;
	cw_fair_share_charge(admit->shares, &settled, now_ms);
}

/* Learns the cost of a call that has ended. */
static void learn_cost(cw_admit_t *admit, running_call_t *ended, cw_admit_result_t result, int64_t now_ms)
{
	double ran_ms = (double)(now_ms - ended->started_ms);

	count_running(admit, now_ms);
	count_run(admit, ended, now_ms);
	if (result == CW_ADMIT_ANSWERED)
		cw_cost_answered(admit->cost, &ended->cost_call, ran_ms, now_ms);
	else if (result == CW_ADMIT_ERROR || result == CW_ADMIT_FAILED)
		cw_cost_failed(admit->cost, &ended->cost_call, ran_ms, now_ms);
}

/* Removes a call from the running ones, settles its charge, and learns its cost; took_ms 0: it did not run. */
static void end_running(cw_admit_t *admit, const cw_call_id_t *id, cw_admit_result_t result, double took_ms,
			int64_t now_ms)
{
	for (guint i = 0; i < admit->running_calls->len; i++) {
		running_call_t *ended = &g_array_index(admit->running_calls, running_call_t, i);

		if (ended->id.origin != id->origin || ended->id.sequence != id->sequence)
			continue;
		if (ended->charged.account)
			settle_charge(admit, &ended->charged, took_ms, now_ms);
		if (admit->cost)
			learn_cost(admit, ended, result, now_ms);
		g_array_remove_index_fast(admit->running_calls, i);
		return;
	}
}

/* Ends a started call: frees its slot, and updates the statistics and the record of the call. */
void cw_admit_done(cw_admit_t *admit, const cw_call_id_t *id, uint64_t route, cw_admit_result_t result,
		   int64_t started_ms, int64_t now_ms)
{
	double took_ms = (double)(now_ms - started_ms);
	bool has_run = result != CW_ADMIT_DECLINED && result != CW_ADMIT_NOT_STARTED;

	admit->running--;
	end_running(admit, id, result, has_run ? took_ms : 0, now_ms);
	switch (result) {
	case CW_ADMIT_ANSWERED:
		start_ramp_up(admit, now_ms);
		record_service_time(admit, route, took_ms);
		break;
	case CW_ADMIT_ERROR:
		start_ramp_up(admit, now_ms);
		record_minimum_time(admit, route, took_ms);
		break;
	case CW_ADMIT_FAILED:
		record_minimum_time(admit, route, took_ms);
		break;
	case CW_ADMIT_DECLINED:
		cw_records_set(admit->records, id, CW_RECORD_REFUSED, now_ms);
		break;
	case CW_ADMIT_NOT_STARTED:
		admit->warm = false;
		cw_records_set(admit->records, id, CW_RECORD_REFUSED, now_ms);
		break;
	}
}

/* Returns the position of a call in an array of queued calls; its length when the call is not there. */
static guint find_call(const GPtrArray *calls, const cw_call_id_t *id)
{
	guint position;

	for (position = 0; position < calls->len; position++) {
		const cw_call_id_t *queued = &((const queued_call_t *)calls->pdata[position])->call.id;

		if (queued->origin == id->origin && queued->sequence == id->sequence)
			break;
	}
	return position;
}

/* Removes a call from an array of queued calls; returns its cookie, or 0 when it is not there. */
static uint64_t remove_call(GPtrArray *calls, const cw_call_id_t *id)
{
	guint position = find_call(calls, id);
	uint64_t cookie;

	if (position == calls->len)
		return 0;
	cookie = ((const queued_call_t *)calls->pdata[position])->call.cookie;
	g_ptr_array_remove_index(calls, position);
	return cookie;
}

/* Removes a call from the queue and refunds its charge; returns its cookie, or 0 when it is not queued. */
static uint64_t remove_queued(cw_admit_t *admit, const cw_call_id_t *id, int64_t now_ms)
{
	guint position = find_call(admit->queue, id);

	if (position < admit->queue->len)
		refund_queued(admit, admit->queue->pdata[position], now_ms);
	return remove_call(admit->queue, id);
}

/*
 * Returns whether no call has started for so long that the target may be frozen, which the means of earlier
 * calls do not tell.  For a queued call, whose expected service time stands in before the first measurement.
 */
static bool is_stalled(const cw_admit_t *admit, const queued_call_t *queued, int64_t now_ms)
{
	double service_ms = admit->service_ms > 0 ? admit->service_ms : queued->expected_ms;

	return (double)(now_ms - admit->started_ms) > STALLED_FACTOR * service_ms;
}

/*
 * Returns whether a call is queued and expected to be answered before its deadline, by the work ahead of it,
 * at a target that is not stalled.
 */
bool cw_admit_is_expected(const cw_admit_t *admit, const cw_call_id_t *id, int64_t now_ms)
{
	guint position = find_call(admit->queue, id);
	const queued_call_t *queued;
	double end_ms;

	if (position == admit->queue->len)
		return false;
	queued = admit->queue->pdata[position];
	end_ms = (double)now_ms + queue_wait_ms(admit, position, queued->expected_ms, now_ms) +
		 queued->expected_ms;
	return end_ms <= (double)queued->call.deadline_ms && !is_stalled(admit, queued, now_ms);
}

/*
 * Revokes a call, also one that has not arrived yet.  Returns false when it has or
 * may have started, and when there is no space for a record that keeps it from
 * starting later.
 */
bool cw_admit_revoke(cw_admit_t *admit, const cw_call_id_t *id, int64_t now_ms, uint64_t *cookie)
{
	cw_record_state_t state = cw_records_find(admit->records, id);

	*cookie = 0;
	switch (state) {
	case CW_RECORD_STARTED:
	case CW_RECORD_FORGOTTEN:
		return false;
	case CW_RECORD_WAITING:
		*cookie = remove_queued(admit, id, now_ms);
		break;
	case CW_RECORD_REFUSED:
		*cookie = remove_call(admit->displaced, id);
		break;
	case CW_RECORD_NONE:
		break;
	}
	return cw_records_set(admit->records, id, CW_RECORD_REFUSED, now_ms) == CW_OK;
}

/* While draining, new calls are refused; queued calls still start, until cw_admit_set_start_until(). */
void cw_admit_set_draining(cw_admit_t *admit, bool draining)
{
	admit->draining = draining;
}

/* Sets until when queued calls start; later they are refused as draining.  INT64_MAX: without limit. */
void cw_admit_set_start_until(cw_admit_t *admit, int64_t start_until_ms)
{
	admit->start_until_ms = start_until_ms;
}

/* Sets the number of slots: calls that the target runs at once. */
void cw_admit_set_slots(cw_admit_t *admit, uint32_t slots)
{
	admit->options.slots = slots;
}

/* Returns the number of slots. */
uint32_t cw_admit_slots(const cw_admit_t *admit)
{
	return admit->options.slots;
}

/*
 * Estimates the wait of a call of a priority that overtakes those of lower priority; 0 while a slot is free.
 * By cost, only the calls ahead are summed: their estimate is corrected, so work of others cannot be subtracted.
 */
uint32_t cw_admit_wait_ms(const cw_admit_t *admit, uint32_t priority, int64_t now_ms)
{
	guint queued = admit->queue->len;
	double overtaken_ms = 0;
	double ahead_ms = 0;

	if (admit->running < cw_admit_limit(admit, now_ms))
		return 0;
	for (guint i = 0; i < queued; i++) {
		const queued_call_t *call = admit->queue->pdata[i];

		if (call->call.priority > priority)
			overtaken_ms += call->expected_ms;
		else
			ahead_ms += call->expected_ms;
	}
	if (estimates_by_cost(admit))
		return (uint32_t)cost_wait_ms(admit, ahead_ms, now_ms);
	return (uint32_t)(queue_wait_ms(admit, queued, 0, now_ms) -
			  overtaken_ms / cw_admit_limit(admit, now_ms));
}

/* Returns the expected time until all present work is done, per slot; 0 unless cost-aware. */
uint32_t cw_admit_work_ms(const cw_admit_t *admit, int64_t now_ms)
{
	double work_ms;

	if (!admit->cost)
		return 0;
	work_ms = running_estimate((cw_admit_t *)admit, now_ms)->work_ms;
	for (guint i = 0; i < admit->queue->len; i++)
		work_ms += ((const queued_call_t *)admit->queue->pdata[i])->expected_ms;
	return (uint32_t)(work_ms / cw_admit_limit(admit, now_ms));
}

/* Returns the speed of the target of late, in percent of its usual one; 0 unless cost-aware. */
uint32_t cw_admit_speed_percent(const cw_admit_t *admit)
{
	return admit->cost ? (uint32_t)(PERCENT * cw_cost_speed(admit->cost)) : 0;
}

/* Returns the number of running and queued calls, and of those that cw_admit_next() has to refuse. */
uint32_t cw_admit_load(const cw_admit_t *admit)
{
	return admit->running + admit->queue->len + admit->displaced->len;
}

/*
 * Returns when the first queued call has to be refused: 0 if one has been displaced, and INT64_MAX when the
 * queue is empty.
 */
int64_t cw_admit_next_check_ms(const cw_admit_t *admit)
{
	int64_t deadline_ms = admit->queue->len ? admit->start_until_ms : INT64_MAX;

	if (admit->displaced->len)
		return 0;
	for (guint i = 0; i < admit->queue->len; i++)
		deadline_ms =
			MIN(deadline_ms, ((const queued_call_t *)admit->queue->pdata[i])->call.deadline_ms);
	return deadline_ms;
}
