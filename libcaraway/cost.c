/*
 * The likely cost of calls, and the speed of a target, as its proxy observes them.
 *
 * The cost of a call is the time that it holds a slot at the usual speed of the target.  It is learned as a
 * histogram per route, and per account or length of the body in place of that where these predict better.
 * The speed is the number of answers of late over the number that the costs let expect: it shows a slow spell
 * while calls still run, and one expensive call among others does not look like one.
 * Loads that it responds to: requests that look alike and differ in work, and targets that are slow for a while.
 */
#include "internal.h"

#include <float.h>
#include <math.h>

enum {
	BUCKETS = 32, /* of a histogram; each covers times up to bucket_ratio times those of the one before */
	MAX_CLASSES = 1024 /* with a histogram */
};

/* Features of a call that its cost may depend on. */
typedef enum { FEATURE_ROUTE, FEATURE_ACCOUNT, FEATURE_BODY, FEATURES } feature_t;

/* Longest time of the first bucket, and ratio of the buckets: the last one ends at 14 s. */
static const double first_bucket_ms = 4;
static const double bucket_ratio = 1.3;
/* Each sample weighs so much of the next one: about 500 count, of which an expensive kind has several. */
static const double sample_decay = 0.998;
/* Weight, in samples, of the assumption that a call which has run for long goes on for about as long again. */
static const double prior_samples = 3;
/* A feature replaces the route if its mean error is below this ratio of that of the route. */
static const double better_ratio = 0.9;
static const double error_weight = 0.05; /* of the newest sample in the mean error */
static const double min_samples = 5;	 /* of a class before it is used in place of that of the route */

/* Time in which the counts that the speed is calculated from decay to half. */
static const double speed_half_life_ms = 200;
/* Number of answers added to both counts, so that few answers say little. */
static const double speed_prior = 4;
/* An age counts for at most this many expected answers: a call that goes on is an expensive one, no slow target. */
static const double most_answers = 2;
static const double lowest_speed = 0.25;
static const double highest_speed = 1;
/* Weight of a new sample in the usual speed: a lasting change becomes the usual speed within some hundred calls. */
static const double usual_weight = 0.02;

/* The costs of a class of calls. */
typedef struct {
	uint64_t key;
	feature_t feature;
	float counts[BUCKETS]; /* decaying */
	double samples;	       /* their sum */
	double sum_ms;
	double errors[FEATURES]; /* in the class of a route: mean error of each feature, in logarithms */
	int64_t used_ms;	 /* when a sample was last added */
} class_t;

struct cw_cost {
	GHashTable *classes; /* key -> class_t */
	double answers;	     /* decaying, as of counted_ms */
	double expected_answers;
	int64_t counted_ms;
	double usual_ratio; /* moving average of the logarithm of answers over expected_answers */
};

/* Creates the state of a target that nothing is known about. */
cw_cost_t *cw_cost_new(void)
{
	cw_cost_t *cost = g_new0(cw_cost_t, 1);

	cost->classes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return cost;
}

/* Frees the state of a target. */
void cw_cost_free(cw_cost_t *cost)
{
	g_hash_table_destroy(cost->classes);
	g_free(cost);
}

/* Returns the number of classes of calls that costs are known of. */
size_t cw_cost_count(const cw_cost_t *cost)
{
	return g_hash_table_size(cost->classes);
}

/* Returns the bits of a number, well distributed. */
static uint64_t mix(uint64_t value)
{
	value = (value ^ value >> 31) * 0x9e3779b97f4a7c15U;
	return value ^ value >> 29;
}

/* Returns the key of the class of a call by a feature; that of its route if it does not have the feature. */
static uint64_t class_key(const cw_cost_call_t *call, feature_t feature)
{
	switch (feature) {
	case FEATURE_ACCOUNT:
		return call->account ? mix(call->route ^ mix(call->account + FEATURE_ACCOUNT)) : call->route;
	case FEATURE_BODY:
		/* Lengths of the same power of four belong together. */
		return call->body_bytes ? mix(call->route ^ mix(g_bit_storage(call->body_bytes) / 2 +
								((uint64_t)FEATURE_BODY << 32)))
					: call->route;
	default:
		return call->route;
	}
}

/* Returns the class of a call by a feature; NULL if it has no samples. */
static class_t *find_class(const cw_cost_t *cost, const cw_cost_call_t *call, feature_t feature)
{
	uint64_t key = class_key(call, feature);

	return g_hash_table_lookup(cost->classes, &key);
}

/* Returns the class that predicts the cost of a call best; NULL if none is known. */
static const class_t *best_class(const cw_cost_t *cost, const cw_cost_call_t *call)
{
	const class_t *route = find_class(cost, call, FEATURE_ROUTE);
	const class_t *best = route;
	double least = route ? better_ratio * route->errors[FEATURE_ROUTE] : 0;

	for (feature_t feature = FEATURE_ACCOUNT; route && feature < FEATURES; feature++) {
		const class_t *other = find_class(cost, call, feature);

		if (other && other->samples >= min_samples && route->errors[feature] < least) {
			least = route->errors[feature];
			best = other;
		}
	}
	return best;
}

/* Returns the mean cost of a class. */
static double mean_ms(const class_t *class)
{
	return class->sum_ms / class->samples;
}

/* Returns the bucket of a time. */
static int bucket_of(double ms)
{
	if (ms <= first_bucket_ms)
		return 0;
	return MIN((int)(log(ms / first_bucket_ms) / log(bucket_ratio)) + 1, BUCKETS - 1);
}

/* What is known of the calls of a class that take longer than a time. */
typedef struct {
	double samples; /* of these, the assumed ones included */
	double rest_ms; /* mean time beyond that */
} survivors_t;

/* Returns what is known of the calls of a class that take longer than ran_ms. */
static survivors_t survivors(const class_t *class, double ran_ms)
{
	double mean = mean_ms(class);
	double assumed = prior_samples * exp(-ran_ms / mean);
	survivors_t result = {.samples = assumed, .rest_ms = assumed * MAX(mean, ran_ms)};
	int first = bucket_of(ran_ms);
	double end_ms = first_bucket_ms * pow(bucket_ratio, first);

	for (int i = first; i < BUCKETS; i++, end_ms *= bucket_ratio) {
		double start_ms = i ? end_ms / bucket_ratio : 0;
		double from_ms = CLAMP(ran_ms, start_ms, end_ms);
		double samples = class->counts[i] * (end_ms - from_ms) / (end_ms - start_ms);

		result.samples += samples;
		result.rest_ms += samples * ((from_ms + end_ms) / 2 - ran_ms);
	}
	/* Beyond about 700 means the assumed samples vanish too, but a call that hangs is not about to end. */
	result.rest_ms = result.samples > DBL_MIN ? result.rest_ms / result.samples : MAX(mean, ran_ms);
	return result;
}

/* Returns the expected cost of a call, in milliseconds at the usual speed; 0: not known. */
double cw_cost_expected_ms(const cw_cost_t *cost, const cw_cost_call_t *call)
{
	const class_t *class = best_class(cost, call);

	return class ? mean_ms(class) : 0;
}

/* Returns the expected rest of the cost of a call that has run for a time; 0: not known. */
double cw_cost_rest_ms(const cw_cost_t *cost, const cw_cost_call_t *call, double ran_ms)
{
	const class_t *class = best_class(cost, call);

	return class ? survivors(class, ran_ms).rest_ms : 0;
}

/* Lets the counts of answers decay to a time. */
static void decay_answers(cw_cost_t *cost, int64_t now_ms)
{
	double decay = exp2(-(double)(now_ms - cost->counted_ms) / speed_half_life_ms);

	cost->answers *= decay;
	cost->expected_answers *= decay;
	cost->counted_ms = now_ms;
}

/*
 * Returns how many answers of a call like this one are expected by an age, if each answer were followed by such a
 * call: the negative logarithm of the share of calls that run longer.  0: not known.
 */
double cw_cost_answers_by(const cw_cost_t *cost, const cw_cost_call_t *call, double ran_ms)
{
	const class_t *class = best_class(cost, call);

	if (!class)
		return 0;
	return MIN(log((class->samples + prior_samples) / MAX(survivors(class, ran_ms).samples, DBL_MIN)),
		   most_answers);
}

/* Adds to the number of answers that are expected, for the speed. */
void cw_cost_expect_answers(cw_cost_t *cost, double answers, int64_t now_ms)
{
	decay_answers(cost, now_ms);
	cost->expected_answers += MAX(answers, 0);
}

/* Returns the number of answers of late over the expected one. */
static double answer_ratio(const cw_cost_t *cost)
{
	return (cost->answers + speed_prior) / (cost->expected_answers + speed_prior);
}

/* Returns the speed of the target of late, relative to its usual one. */
double cw_cost_speed(const cw_cost_t *cost)
{
	return CLAMP(answer_ratio(cost) / exp(cost->usual_ratio), lowest_speed, highest_speed);
}

/* Classes that may be removed. */
typedef struct {
	bool routes;	   /* also those of routes */
	int64_t before_ms; /* not used since */
} removable_t;

/* Returns whether a class, the value, is one of *data. */
static gboolean is_removable(gpointer key, gpointer value, gpointer data)
{
	const class_t *class = value;
	const removable_t *removable = data;

	(void)key;
	return (removable->routes || class->feature != FEATURE_ROUTE) &&
	       class->used_ms < removable->before_ms;
}

/*
 * Removes classes that were not used in the second half of the time that samples are from: those of accounts and
 * lengths of the body, or all kinds.
 */
static void remove_unused(cw_cost_t *cost, bool routes, int64_t now_ms)
{
	removable_t removable = {.routes = routes};
	int64_t oldest_ms = now_ms;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, cost->classes);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const class_t *class = value;

		if (routes || class->feature != FEATURE_ROUTE)
			oldest_ms = MIN(oldest_ms, class->used_ms);
	}
	removable.before_ms = oldest_ms + (now_ms - oldest_ms) / 2 + 1;
	g_hash_table_foreach_remove(cost->classes, is_removable, &removable);
}

/*
 * Makes room for a class.  Those of routes are removed last: each of them stands in for calls whose account or
 * length has no class, and without it nothing is known of these.
 */
static void make_room(cw_cost_t *cost, int64_t now_ms)
{
	remove_unused(cost, false, now_ms);
	if (g_hash_table_size(cost->classes) >= MAX_CLASSES)
		remove_unused(cost, true, now_ms);
	if (g_hash_table_size(cost->classes) >= MAX_CLASSES)
		g_hash_table_remove_all(cost->classes);
}

/* Adds a sample to the class of a call by a feature. */
static void add_sample(cw_cost_t *cost, const cw_cost_call_t *call, feature_t feature, double cost_ms,
		       int64_t now_ms)
{
	class_t *class = find_class(cost, call, feature);

	if (!class) {
		if (g_hash_table_size(cost->classes) >= MAX_CLASSES)
			make_room(cost, now_ms);
		class = g_new0(class_t, 1);
		class->key = class_key(call, feature);
		class->feature = feature;
		g_hash_table_insert(cost->classes, &class->key, class);
	}
	for (int i = 0; i < BUCKETS; i++)
		class->counts[i] *= (float)sample_decay;
	class->counts[bucket_of(cost_ms)]++;
	class->samples = sample_decay * class->samples + 1;
	class->sum_ms = sample_decay * class->sum_ms + cost_ms;
	class->used_ms = now_ms;
}

/* Updates how well each feature predicts the costs of the route of a call. */
static void update_errors(const cw_cost_t *cost, const cw_cost_call_t *call, double cost_ms)
{
	class_t *route = find_class(cost, call, FEATURE_ROUTE);

	for (feature_t feature = FEATURE_ROUTE; route && feature < FEATURES; feature++) {
		const class_t *class = find_class(cost, call, feature);
		double *error = &route->errors[feature];

		if (class)
			*error += error_weight * (fabs(log(cost_ms / mean_ms(class))) - *error);
	}
}

/* Adds the cost of a call to the classes that it belongs to. */
static void learn(cw_cost_t *cost, const cw_cost_call_t *call, double took_ms, int64_t now_ms)
{
	double cost_ms = MAX(took_ms, 1) * cw_cost_speed(cost);

	cost->usual_ratio += usual_weight * (log(answer_ratio(cost)) - cost->usual_ratio);
	update_errors(cost, call, cost_ms);
	for (feature_t feature = FEATURE_ROUTE; feature < FEATURES; feature++)
		if (feature == FEATURE_ROUTE || class_key(call, feature) != call->route)
			add_sample(cost, call, feature, cost_ms, now_ms);
}

/* Records a call that the target answered after took_ms. */
void cw_cost_answered(cw_cost_t *cost, const cw_cost_call_t *call, double took_ms, int64_t now_ms)
{
	decay_answers(cost, now_ms);
	cost->answers++;
	learn(cost, call, took_ms, now_ms);
}

/*
 * Records a call that ended without an answer, or with an error, after took_ms: a lower bound of its cost.
 * Shorter times than the mean are ignored, as a target that fails at once would appear to be fast.
 */
void cw_cost_failed(cw_cost_t *cost, const cw_cost_call_t *call, double took_ms, int64_t now_ms)
{
	double expected_ms = cw_cost_expected_ms(cost, call);

	if (expected_ms > 0 && took_ms > expected_ms)
		learn(cost, call, took_ms, now_ms);
}
