/*
 * Roll-outs: how much of a service's load its new targets get, and whether they are as good as the old ones.
 *
 * The exposure is bounded by an account at each origin.  The judgement is a sequential test: each interval
 * adds to a cumulative sum (CUSUM) how much more likely the answers of the new targets are under a fault than
 * under the rates that the old targets have in the same seconds.  It therefore does not respond to errors or
 * delays that both versions show, and does respond to a fault that begins late.
 */
#include "internal.h"

#include <math.h>
#include <string.h>

enum {
	PERMILLE = 1000,
	/* The bound of the platform is 100; an origin and the platform may count some answers differently. */
	EXPOSED_PERMILLE = 90,
	MAX_PACE =
		2, /* of a step's share, so that credit of the steps before it does not come as one burst */
	PROBE_PERMILLE = 20,
	SPREAD_PERMILLE = 60,
	/* Times of the steps, in thousandths of the duration. */
	PROBE_END = 100,
	SPREAD_END = 300,
	LOAD_END = 750,
	LOAD_LATEST_END = 850,
	HANDOVER_END = 950,
	HANDOVER_TIME = 100,
	MIN_HANDOVER_MS = 3000, /* a state reaches all proxies in touch within 2 s, and calls end */
	COLD_MS = 4000,		/* new targets have half their speed for 3 s, and then a queue to work off */
	FIRST_BUCKET_MS = 12,	/* bound of the lowest */
	MIN_RECENT = 10,	/* answers of old targets by which an interval is judged alone */
	FEW_ANSWERS = 100	/* of new targets since LOAD began */
};

static const double bucket_factor = 1.5; /* bounds from 12 ms to 3.5 s */

/*
 * By which the counts of the old targets are aged in each interval: time constants of 3 s and 20 s.  The shorter one
 * follows a service that begins to fail as a whole; the longer one shows low rates.
 */
static const double recent_ageing = 0.8465;
static const double lasting_ageing = 0.9753;

/* A failure rate this much above that of the old targets is a fault. */
static const double failure_excess = 0.09;
static const double min_failure_rate = 0.01;

/* What counts as a slow answer, and how many of them are a fault. */
typedef struct {
	double quantile; /* of the old targets' answers that may be slow */
	size_t gap;	 /* buckets between the median of the old targets and slow answers */
	double min_rate;
	double excess; /* a share of slow answers this much above that of the old targets is a fault */
} slow_test_t;

/*
 * The first test is for a version that is slow throughout, the second for one that answers a part of its requests several
 * times slower.  Both accept targets with 0.6 of the mean speed, which LOAD may happen to use.
 */
enum { SLOW_TESTS = 2 };
static const slow_test_t slow_tests[SLOW_TESTS] = {
	{.quantile = 0.08, .gap = 3, .min_rate = 0.05, .excess = 0.5},
	{.quantile = 0.02, .gap = 5, .min_rate = 0.02, .excess = 0.12},
};

/* Limits of the sums of log-likelihood ratios. */
typedef struct {
	double failure, slow;
} limits_t;

/*
 * A sum of a good version exceeds a limit L in about exp(-L) of its intervals; tests of several routes over some
 * hundred intervals need 14 for one wrong verdict in 1,000.
 */
static const limits_t certain = {.failure = 14, .slow = 16};
/* At the end of LOAD lower sums count, so that few requests are enough: three errors where there are usually none. */
static const limits_t suspicion = {.failure = 5, .slow = 9};

/* ---- steps --------------------------------------------------------------------------------------------- */

/* Returns the name of a step, as logged. */
const char *cw_rollout_step_name(cw_rollout_step_t step)
{
	static const char *const names[] = {"none",	"probe",     "spread",	   "load",
					    "handover", "succeeded", "rolled-back"};

	return step < G_N_ELEMENTS(names) ? names[step] : "unknown";
}

/* Returns whether a step is a verdict. */
bool cw_rollout_is_verdict(cw_rollout_step_t step)
{
	return step == CW_ROLLOUT_SUCCEEDED || step == CW_ROLLOUT_ROLLED_BACK;
}

/* ---- exposure ------------------------------------------------------------------------------------------ */

/* Records the step that a quorum confirmed, and the time until which it may be relied on. */
void cw_rollout_account_confirm(cw_rollout_account_t *account, uint64_t rollout, cw_rollout_step_t step,
				int64_t lease_until_ms)
{
	if (account->rollout != rollout)
		*account = (cw_rollout_account_t){.rollout = rollout};
	if (step < account->step)
		return;
	account->step = step;
	account->lease_until_ms = MAX(account->lease_until_ms, lease_until_ms);
}

/* Returns the most requests in 1,000 that a step exposes, counted since the order. */
static uint64_t step_permille(cw_rollout_step_t step)
{
	switch (step) {
	case CW_ROLLOUT_PROBE:
		return PROBE_PERMILLE;
	case CW_ROLLOUT_SPREAD:
		return SPREAD_PERMILLE;
	case CW_ROLLOUT_LOAD:
		return EXPOSED_PERMILLE;
	case CW_ROLLOUT_NONE:
	case CW_ROLLOUT_HANDOVER:
	case CW_ROLLOUT_SUCCEEDED:
	case CW_ROLLOUT_ROLLED_BACK:
		break;
	}
	return 0;
}

/* Returns which targets may get a request now. */
cw_rollout_use_t cw_rollout_account_choose(const cw_rollout_account_t *account, int64_t now_ms)
{
	switch (account->step) {
	case CW_ROLLOUT_NONE:
		return CW_ROLLOUT_USE_ANY;
	case CW_ROLLOUT_HANDOVER:
	case CW_ROLLOUT_SUCCEEDED:
		return CW_ROLLOUT_USE_NEW;
	case CW_ROLLOUT_ROLLED_BACK:
		return CW_ROLLOUT_USE_OLD;
	case CW_ROLLOUT_PROBE:
	case CW_ROLLOUT_SPREAD:
	case CW_ROLLOUT_LOAD:
		break;
	}
	if (now_ms >= account->lease_until_ms || account->requests < account->next ||
	    (account->exposed + 1) * PERMILLE > account->requests * step_permille(account->step))
		return CW_ROLLOUT_USE_OLD;
	return CW_ROLLOUT_USE_NEW;
}

/* Counts an attempt that is sent to the new version. */
void cw_rollout_account_expose(cw_rollout_account_t *account)
{
	uint64_t permille = step_permille(account->step);

	account->exposed++;
	if (permille)
		account->next = account->requests + PERMILLE / (MAX_PACE * permille);
}

/* Counts an attempt that a target has run, of either version. */
void cw_rollout_account_earn(cw_rollout_account_t *account)
{
	account->requests++;
}

/* Returns how many of the new targets are used in a step, where each is to get at most what an old one gets. */
size_t cw_rollout_targets_in_use(cw_rollout_step_t step, size_t old_count, size_t new_count)
{
	/* While the account's credit is spent, the share may reach twice the usual one. */
	size_t loaded = (MAX_PACE * EXPOSED_PERMILLE * old_count + PERMILLE - 1) / PERMILLE;

	return step == CW_ROLLOUT_LOAD ? MIN(MAX(loaded, 1), new_count) : new_count;
}

/* ---- evidence ------------------------------------------------------------------------------------------ */

/* Returns the place of a latency in the counts. */
size_t cw_rollout_bucket(uint32_t latency_ms)
{
	double bound_ms = FIRST_BUCKET_MS;
	size_t bucket = 0;

	for (; bucket + 1 < CW_ROLLOUT_BUCKETS && latency_ms >= bound_ms; bucket++)
		bound_ms *= bucket_factor;
	return bucket;
}

/* Counts an answer; age_ms is the time since its target started. */
void cw_rollout_count(cw_rollout_counts_t *counts, bool failure, uint32_t latency_ms, int64_t age_ms)
{
	counts->answers++;
	if (failure)
		counts->failures++;
	else if (age_ms >= COLD_MS)
		counts->latency[cw_rollout_bucket(latency_ms)]++;
}

/* What is known of a route, or of all routes together. */
typedef struct {
	uint64_t route;
	cw_rollout_counts_t pending[CW_ROLLOUT_VERSIONS]; /* of the present interval */
	double recent_answers, recent_failures;		  /* of old targets */
	double lasting_answers, lasting_failures;
	double old_latency[CW_ROLLOUT_BUCKETS]; /* recent */
	double failure_sum;
	double slow_sums[SLOW_TESTS];
} comparison_t;

struct cw_rollout {
	int64_t begin_ms;
	int64_t duration_ms;
	cw_rollout_step_t step; /* committed */
	int64_t step_ms;
	int64_t interval_end_ms; /* 0: none has begun */
	uint64_t new_answers;	 /* since LOAD began */
	comparison_t total;
	comparison_t routes[CW_ROLLOUT_MAX_ROUTES];
	size_t route_count;
	cw_rollout_decision_t decision;
};

/* Begins to judge a roll-out at a step that was committed. */
cw_rollout_t *cw_rollout_new(int64_t begin_ms, int64_t duration_ms, cw_rollout_step_t step, int64_t step_ms)
{
	cw_rollout_t *rollout = g_new0(cw_rollout_t, 1);

	rollout->begin_ms = begin_ms;
	rollout->duration_ms = duration_ms;
	rollout->step = step;
	rollout->step_ms = step_ms;
	rollout->decision = (cw_rollout_decision_t){.step = step, .reason = ""};
	return rollout;
}

/* Frees a roll-out; NULL is allowed. */
void cw_rollout_free(cw_rollout_t *rollout)
{
	g_free(rollout);
}

/* Adds counts to others. */
static void add_counts(cw_rollout_counts_t *sum, const cw_rollout_counts_t *counts)
{
	sum->answers += counts->answers;
	sum->failures += MIN(counts->failures, counts->answers);
	for (size_t i = 0; i < CW_ROLLOUT_BUCKETS; i++)
		sum->latency[i] += counts->latency[i];
}

/* Returns the comparison of a route, created if needed; NULL when there are too many. */
static comparison_t *get_route(cw_rollout_t *rollout, uint64_t route)
{
	for (size_t i = 0; i < rollout->route_count; i++)
		if (rollout->routes[i].route == route)
			return &rollout->routes[i];
	if (rollout->route_count == CW_ROLLOUT_MAX_ROUTES)
		return NULL;
	rollout->routes[rollout->route_count].route = route;
	return &rollout->routes[rollout->route_count++];
}

/* Adds the answers of a version on a route since the last call. */
void cw_rollout_add(cw_rollout_t *rollout, uint64_t route, cw_rollout_version_t version,
		    const cw_rollout_counts_t *counts)
{
	comparison_t *comparison = get_route(rollout, route);

	add_counts(&rollout->total.pending[version], counts);
	if (comparison)
		add_counts(&comparison->pending[version], counts);
	if (version == CW_ROLLOUT_NEW && rollout->step >= CW_ROLLOUT_LOAD)
		rollout->new_answers += counts->answers;
}

/* ---- judgement ----------------------------------------------------------------------------------------- */

/* Returns a rate raised by 1.5 standard deviations of the number of events; 0 without events. */
static double raised_rate(double events, double trials)
{
	return MIN((events + 1.5 * sqrt(events)) / (trials + 2), 1);
}

/* Returns an upper estimate of a rate, also without events. */
static double upper_rate(double events, double trials)
{
	return MIN(raised_rate(events, trials) + 1 / (trials + 2), 1);
}

/* Adds trials to a sum of log-likelihood ratios; the usual rate is that of the old targets. */
static double add_trials(double sum, double usual, double excess, uint32_t events, uint32_t trials)
{
	/* Near a rate of 1 nothing can be told from the old targets. */
	double faulty = MIN(usual + excess, 0.99);

	if (usual >= faulty)
		return sum;
	sum += events * log(faulty / usual) + (trials - events) * log((1 - faulty) / (1 - usual));
	return MAX(sum, 0);
}

/* Returns the lowest bucket of slow answers; CW_ROLLOUT_BUCKETS when the old targets gave too few to tell. */
static size_t slow_bucket(const comparison_t *comparison, const slow_test_t *test, double answers)
{
	double above = answers; /* in this bucket or a higher one */
	size_t median = CW_ROLLOUT_BUCKETS;
	size_t bucket = 0;

	if (answers < 1 / test->quantile)
		return CW_ROLLOUT_BUCKETS;
	for (; bucket < CW_ROLLOUT_BUCKETS; bucket++) {
		if (median == CW_ROLLOUT_BUCKETS && above <= answers / 2)
			median = bucket ? bucket - 1 : 0;
		if (above <= answers * test->quantile)
			break;
		above -= comparison->old_latency[bucket];
	}
	return MAX(bucket, median + test->gap);
}

/* Returns the sum of the aged counts of old targets from a bucket on. */
static double old_from(const comparison_t *comparison, size_t bucket)
{
	double sum = 0;

	for (; bucket < CW_ROLLOUT_BUCKETS; bucket++)
		sum += comparison->old_latency[bucket];
	return sum;
}

/* Returns the sum of counts from a bucket on. */
static uint32_t counts_from(const cw_rollout_counts_t *counts, size_t bucket)
{
	uint32_t sum = 0;

	for (; bucket < CW_ROLLOUT_BUCKETS; bucket++)
		sum += counts->latency[bucket];
	return sum;
}

/* Ages the counts of the old targets and adds those of the interval.  Without any, as after HANDOVER, they stay. */
static void add_old(comparison_t *comparison)
{
	const cw_rollout_counts_t *recent = &comparison->pending[CW_ROLLOUT_OLD];

	if (!recent->answers)
		return;
	comparison->recent_answers = comparison->recent_answers * recent_ageing + recent->answers;
	comparison->recent_failures = comparison->recent_failures * recent_ageing + recent->failures;
	comparison->lasting_answers = comparison->lasting_answers * lasting_ageing + recent->answers;
	comparison->lasting_failures = comparison->lasting_failures * lasting_ageing + recent->failures;
	for (size_t i = 0; i < CW_ROLLOUT_BUCKETS; i++)
		comparison->old_latency[i] = comparison->old_latency[i] * recent_ageing + recent->latency[i];
}

/* Adds the failures of an interval to their sum. */
static void judge_failures(comparison_t *comparison)
{
	const cw_rollout_counts_t *recent = &comparison->pending[CW_ROLLOUT_OLD];
	const cw_rollout_counts_t *new_counts = &comparison->pending[CW_ROLLOUT_NEW];
	double usual = MAX(upper_rate(comparison->lasting_failures, comparison->lasting_answers),
			   raised_rate(comparison->recent_failures, comparison->recent_answers));

	if (recent->answers >= MIN_RECENT)
		usual = MAX(usual, raised_rate(recent->failures, recent->answers));
	comparison->failure_sum = add_trials(comparison->failure_sum, MAX(usual, min_failure_rate),
					     failure_excess, new_counts->failures, new_counts->answers);
}

/* Adds the slow answers of an interval to the sum of a test. */
static double judge_latency(const comparison_t *comparison, const slow_test_t *test, double sum)
{
	const cw_rollout_counts_t *recent = &comparison->pending[CW_ROLLOUT_OLD];
	const cw_rollout_counts_t *new_counts = &comparison->pending[CW_ROLLOUT_NEW];
	double old_answers = old_from(comparison, 0);
	size_t bucket = slow_bucket(comparison, test, old_answers);
	double usual;

	if (bucket >= CW_ROLLOUT_BUCKETS)
		return sum;
	usual = upper_rate(old_from(comparison, bucket), old_answers);
	if (counts_from(recent, 0) >= MIN_RECENT)
		usual = MAX(usual, raised_rate(counts_from(recent, bucket), counts_from(recent, 0)));
	return add_trials(sum, MAX(usual, test->min_rate), test->excess, counts_from(new_counts, bucket),
			  counts_from(new_counts, 0));
}

/* Adds an interval to a comparison. */
static void judge_interval(comparison_t *comparison)
{
	add_old(comparison);
	judge_failures(comparison);
	for (size_t i = 0; i < SLOW_TESTS; i++)
		comparison->slow_sums[i] =
			judge_latency(comparison, &slow_tests[i], comparison->slow_sums[i]);
	memset(comparison->pending, 0, sizeof(comparison->pending));
}

/* Returns why a comparison shows a fault by these limits of its sums; NULL: it does not. */
static const char *fault_of(const comparison_t *comparison, const limits_t *limits)
{
	if (comparison->failure_sum > limits->failure)
		return "failures";
	for (size_t i = 0; i < SLOW_TESTS; i++)
		if (comparison->slow_sums[i] > limits->slow)
			return "slow answers";
	return NULL;
}

/* Returns a comparison that shows a fault; NULL when none does. */
static const comparison_t *find_fault(const cw_rollout_t *rollout, const limits_t *limits)
{
	for (size_t i = 0; i < rollout->route_count; i++)
		if (fault_of(&rollout->routes[i], limits))
			return &rollout->routes[i];
	return fault_of(&rollout->total, limits) ? &rollout->total : NULL;
}

/* Decides for a step, or for a verdict by a fault. */
static void decide(cw_rollout_t *rollout, cw_rollout_step_t step, const char *reason, uint64_t route)
{
	rollout->decision = (cw_rollout_decision_t){.step = step, .reason = reason, .route = route};
}

/* Decides for the verdict that a fault calls for. */
static void decide_fault(cw_rollout_t *rollout, const comparison_t *fault, const limits_t *limits)
{
	decide(rollout, CW_ROLLOUT_ROLLED_BACK, fault_of(fault, limits), fault->route);
}

/* Returns a time in thousandths of the duration, from the order. */
static int64_t time_of(const cw_rollout_t *rollout, int64_t permille)
{
	return rollout->begin_ms + rollout->duration_ms * permille / PERMILLE;
}

/* Returns the time of an end of LOAD, which leaves enough for HANDOVER in a short roll-out. */
static int64_t load_end_ms(const cw_rollout_t *rollout, int64_t permille)
{
	return MIN(time_of(rollout, permille), time_of(rollout, HANDOVER_END) - MIN_HANDOVER_MS);
}

/* Decides at the end of LOAD: whether to hand over, to wait or to roll back. */
static void decide_handover(cw_rollout_t *rollout, int64_t now_ms)
{
	const comparison_t *suspect = find_fault(rollout, &suspicion);
	bool is_latest = now_ms >= load_end_ms(rollout, LOAD_LATEST_END);

	if (!is_latest && (suspect || rollout->new_answers < FEW_ANSWERS))
		return;
	if (suspect)
		decide_fault(rollout, suspect, &suspicion);
	else if (!rollout->new_answers)
		decide(rollout, CW_ROLLOUT_ROLLED_BACK, "no answers of the new version", 0);
	else
		decide(rollout, CW_ROLLOUT_HANDOVER, "", 0);
}

/* Returns when the old targets may stop: proxies have stopped to use them. */
static int64_t handover_end_ms(const cw_rollout_t *rollout)
{
	int64_t time_ms = MAX(rollout->duration_ms * HANDOVER_TIME / PERMILLE, MIN_HANDOVER_MS);

	return MIN(rollout->step_ms + time_ms, time_of(rollout, HANDOVER_END));
}

/* Decides whether the time of the present step is over. */
static void decide_by_time(cw_rollout_t *rollout, int64_t now_ms)
{
	if (rollout->step < CW_ROLLOUT_HANDOVER && now_ms >= time_of(rollout, PERMILLE)) {
		decide(rollout, CW_ROLLOUT_ROLLED_BACK, "out of time", 0);
		return;
	}
	switch (rollout->step) {
	case CW_ROLLOUT_PROBE:
		if (now_ms >= time_of(rollout, PROBE_END))
			decide(rollout, CW_ROLLOUT_SPREAD, "", 0);
		break;
	case CW_ROLLOUT_SPREAD:
		if (now_ms >= time_of(rollout, SPREAD_END))
			decide(rollout, CW_ROLLOUT_LOAD, "", 0);
		break;
	case CW_ROLLOUT_LOAD:
		if (now_ms >= load_end_ms(rollout, LOAD_END))
			decide_handover(rollout, now_ms);
		break;
	case CW_ROLLOUT_HANDOVER:
		if (now_ms >= handover_end_ms(rollout))
			decide(rollout, CW_ROLLOUT_SUCCEEDED, "", 0);
		break;
	case CW_ROLLOUT_NONE:
	case CW_ROLLOUT_SUCCEEDED:
	case CW_ROLLOUT_ROLLED_BACK:
		break;
	}
}

/* Records that a step was committed. */
void cw_rollout_committed(cw_rollout_t *rollout, cw_rollout_step_t step, int64_t now_ms)
{
	if (step <= rollout->step)
		return;
	rollout->step = step;
	rollout->step_ms = now_ms;
	decide(rollout, step, "", 0);
}

/* Judges the evidence of the interval that has ended. */
static void end_interval(cw_rollout_t *rollout, int64_t now_ms)
{
	rollout->interval_end_ms = now_ms + CW_ROLLOUT_INTERVAL_MS;
	judge_interval(&rollout->total);
	for (size_t i = 0; i < rollout->route_count; i++)
		judge_interval(&rollout->routes[i]);
}

/* Judges the evidence; the decision stays the same until it is committed or a fault shows. */
cw_rollout_decision_t cw_rollout_judge(cw_rollout_t *rollout, int64_t now_ms)
{
	const comparison_t *fault;

	if (now_ms < rollout->interval_end_ms || cw_rollout_is_verdict(rollout->step))
		return rollout->decision;
	end_interval(rollout, now_ms);
	fault = find_fault(rollout, &certain);
	if (fault)
		decide_fault(rollout, fault, &certain);
	else if (rollout->decision.step == rollout->step)
		decide_by_time(rollout, now_ms);
	return rollout->decision;
}
