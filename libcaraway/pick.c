/*
 * Choice of an endpoint: power of two choices over the load seen on answers,
 * the own availability zone first, and endpoints that fail set aside.
 */
#include "internal.h"

enum {
	LOAD_AGE_MS = 1000,	/* a load seen this long ago counts for nothing */
	FAILURES_ASIDE = 3,	/* in a row, until an endpoint is set aside */
	ERRORS_ASIDE = 5,	/* 5xx answers in a row, until it is */
	ASIDE_MS = 1000,	/* first time set aside; doubled each further time */
	ASIDE_MAX_MS = 30000,	/* longest time set aside */
	ASIDE_MAX_PERCENT = 50, /* of the endpoints of a call */
	LEAVING_MS = 3000,	/* an endpoint that refuses everything is left alone */
	PERCENT = 100
};

static const double spill_score = 0.8; /* load from which other zones are considered */

/* What is known of one endpoint. */
typedef struct {
	uint64_t incarnation;
	uint32_t outstanding; /* calls of this proxy */
	uint32_t seen_in_use;
	uint32_t seen_slots;
	int64_t seen_ms;
	uint32_t failures; /* in a row */
	uint32_t errors;   /* in a row */
	uint32_t asides;   /* in a row */
	int64_t aside_until_ms;
	int64_t leaving_until_ms;
	int64_t used_ms;
} known_t;

struct cw_pick {
	char *zone;
	uint64_t random;
	GHashTable *known; /* of known_t by VM */
};

/* Makes a chooser for a proxy in a zone. */
cw_pick_t *cw_pick_new(const char *zone, uint64_t seed)
{
	cw_pick_t *pick = g_new0(cw_pick_t, 1);

	pick->zone = g_strdup(zone);
	pick->random = seed;
	pick->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pick;
}

/* Frees a chooser. */
void cw_pick_free(cw_pick_t *pick)
{
	g_hash_table_destroy(pick->known);
	g_free(pick->zone);
	g_free(pick);
}

/* Returns the next number of the splitmix64 sequence. */
static uint64_t next_random(cw_pick_t *pick)
{
	uint64_t value = pick->random += 0x9e3779b97f4a7c15;

	value = (value ^ value >> 30) * 0xbf58476d1ce4e5b9;
	value = (value ^ value >> 27) * 0x94d049bb133111eb;
	return value ^ value >> 31;
}

/* Returns what is known of an endpoint; a new incarnation starts without a past. */
static known_t *known_for(cw_pick_t *pick, const char *vm, uint64_t incarnation)
{
	known_t *known = g_hash_table_lookup(pick->known, vm);

	if (!known) {
		known = g_new0(known_t, 1);
		known->incarnation = incarnation;
		g_hash_table_insert(pick->known, g_strdup(vm), known);
	} else if (known->incarnation != incarnation) {
		*known = (known_t){.incarnation = incarnation};
	}
	return known;
}

/* Returns the load of an endpoint as a share of its slots: what was seen of it fades, own calls count. */
static double score(const known_t *known, const cw_candidate_t *candidate, int64_t now_ms)
{
	int64_t age_ms = MIN(now_ms - known->seen_ms, LOAD_AGE_MS);
	double weight = (double)(LOAD_AGE_MS - age_ms) / LOAD_AGE_MS;
	double seen = known->seen_slots ? known->seen_in_use * weight : 0;

	return MAX(seen, known->outstanding) / MAX(candidate->slots, 1);
}

/* One endpoint in a choice. */
typedef struct {
	int position;
	double score;
	bool local;
	known_t *known;
} option_t;

/* Collects the endpoints that may be chosen; those that leave only when asked for. */
static GArray *options_for(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count, bool leaving,
			   int64_t now_ms)
{
	GArray *options = g_array_new(FALSE, FALSE, sizeof(option_t));

	for (size_t i = 0; i < count; i++) {
		known_t *known = known_for(pick, candidates[i].vm, candidates[i].incarnation);
		option_t option = {.position = (int)i,
				   .score = score(known, &candidates[i], now_ms),
				   .local = g_str_equal(candidates[i].zone, pick->zone),
				   .known = known};

		if (!candidates[i].excluded && (leaving || known->leaving_until_ms <= now_ms))
			g_array_append_val(options, option);
	}
	return options;
}

/* Orders options by the time until which they are set aside. */
static gint compare_aside(gconstpointer a, gconstpointer b)
{
	const option_t *left = a, *right = b;

	return (left->known->aside_until_ms > right->known->aside_until_ms) -
	       (left->known->aside_until_ms < right->known->aside_until_ms);
}

/* Leaves out endpoints set aside, at most a share of the candidates: those longest aside first. */
static void drop_aside(GArray *options, size_t count, int64_t now_ms)
{
	size_t most = count * ASIDE_MAX_PERCENT / PERCENT;

	g_array_sort(options, compare_aside);
	while (options->len > 1 && most > 0) {
		const option_t *last = &g_array_index(options, option_t, options->len - 1);

		if (last->known->aside_until_ms <= now_ms)
			return;
		g_array_set_size(options, options->len - 1);
		most--;
	}
}

/* Returns the less loaded of two options drawn at random, of one zone side or of all; NULL for none. */
static const option_t *two_choices(cw_pick_t *pick, const GArray *options, bool local_only)
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
		else if (next_random(pick) % seen < 2)
			drawn[next_random(pick) % 2] = option;
	}
	if (!drawn[1])
		return drawn[0];
	if (drawn[0]->score == drawn[1]->score)
		return drawn[next_random(pick) % 2];
	return drawn[0]->score < drawn[1]->score ? drawn[0] : drawn[1];
}

/*
 * Chooses an endpoint: the own zone unless it is loaded and another is less so.
 * When only endpoints that were leaving are left one of them is tried: it may
 * have come back, and its refusal costs nothing.
 */
int cw_pick_choose(cw_pick_t *pick, const cw_candidate_t *candidates, size_t count, int64_t now_ms)
{
	GArray *options = options_for(pick, candidates, count, false, now_ms);
	const option_t *chosen, *other;
	int position;

	if (!options->len) {
		g_array_free(options, TRUE);
		options = options_for(pick, candidates, count, true, now_ms);
	}
	drop_aside(options, count, now_ms);
	chosen = two_choices(pick, options, true);
	if (!chosen || chosen->score >= spill_score) {
		other = two_choices(pick, options, false);
		if (other && (!chosen || other->score < chosen->score))
			chosen = other;
	}
	position = chosen ? chosen->position : -1;
	g_array_free(options, TRUE);
	return position;
}

/* Counts a call sent to an endpoint. */
void cw_pick_sent(cw_pick_t *pick, const char *vm, uint64_t incarnation)
{
	known_for(pick, vm, incarnation)->outstanding++;
}

/* Sets an endpoint aside, longer each time in a row. */
static void set_aside(cw_pick_t *pick, known_t *known, int64_t now_ms)
{
	int64_t time_ms = MIN((int64_t)ASIDE_MS << MIN(known->asides, 5), ASIDE_MAX_MS);

	known->asides++;
	known->aside_until_ms = now_ms + time_ms + (int64_t)(next_random(pick) % (uint64_t)(time_ms / 4));
}

/* Learns from how a call ended. */
static void learn(cw_pick_t *pick, known_t *known, cw_pick_result_t result, int64_t now_ms)
{
	switch (result) {
	case CW_PICK_ANSWERED:
		known->failures = 0;
		known->errors = 0;
		known->asides = 0;
		break;
	case CW_PICK_SHED:
		known->seen_in_use = MAX(known->seen_in_use, known->seen_slots);
		break;
	case CW_PICK_ERROR:
		known->failures = 0;
		if (++known->errors >= ERRORS_ASIDE)
			set_aside(pick, known, now_ms);
		break;
	case CW_PICK_LEAVING:
		known->leaving_until_ms = now_ms + LEAVING_MS;
		break;
	case CW_PICK_FAILED:
		if (++known->failures >= FAILURES_ASIDE)
			set_aside(pick, known, now_ms);
		break;
	case CW_PICK_REFUSED:
	case CW_PICK_DROPPED:
		break;
	}
}

/* Counts the end of a call and takes in what its answer showed; ends of an earlier incarnation tell nothing. */
void cw_pick_ended(cw_pick_t *pick, const char *vm, uint64_t incarnation, cw_pick_result_t result,
		   uint32_t in_use, uint32_t slots, int64_t now_ms)
{
	known_t *known = g_hash_table_lookup(pick->known, vm);

	if (!known || known->incarnation != incarnation)
		return;
	if (known->outstanding > 0)
		known->outstanding--;
	known->used_ms = now_ms;
	if (slots) {
		known->seen_in_use = in_use;
		known->seen_slots = slots;
		known->seen_ms = now_ms;
	}
	learn(pick, known, result, now_ms);
}

/* Tells whether an endpoint was not heard of since *data and has no calls. */
static gboolean is_old(gpointer key, gpointer value, gpointer data)
{
	const known_t *known = value;
	const int64_t *before_ms = data;

	(void)key;
	return !known->outstanding && known->used_ms < *before_ms;
}

/* Drops what is known of endpoints that are no longer used. */
void cw_pick_expire(cw_pick_t *pick, int64_t before_ms)
{
	g_hash_table_foreach_remove(pick->known, is_old, &before_ms);
}
