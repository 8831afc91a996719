/*
 * Choice of a parent.
 *
 * The proxies of an availability zone are ordered by the hash of their VM.
 * The first few, the heads, pull from control replicas.  The rest form levels,
 * each a few times as large as the one before; a proxy pulls from one of the
 * level before its own, by rendezvous hashing, so that the load spreads evenly
 * and few proxies move when one comes or goes.
 */
#include "relay_internal.h"

#include <string.h>

/* After this many parents in a row every other choice goes beyond the usual ones. */
enum { WIDEN_ATTEMPTS = 3 };

/* A parent left within this time comes after those that were not. */
enum { FAILURE_MEMORY_MS = 60000 };

typedef struct {
	int64_t left_ms; /* when it was left; 0: not of late */
	uint64_t score;
	const char *address;
} candidate_t;

/* Returns the rendezvous score of a place for this proxy. */
static uint64_t score_of(const cw_relay_t *relay, const char *place)
{
	return cw_hash(place, strlen(place), cw_hash(relay->options.vm, strlen(relay->options.vm), 0));
}

/* Orders candidates: those left longest ago before others, then the highest score first. */
static gint compare_scores(gconstpointer a, gconstpointer b)
{
	const candidate_t *left = a;
	const candidate_t *right = b;

	if (left->left_ms != right->left_ms)
		return left->left_ms < right->left_ms ? -1 : 1;
	return left->score > right->score ? -1 : left->score < right->score;
}

/* Orders candidates by score, the lowest first: the order of a zone. */
static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	return compare_scores(b, a);
}

/* Returns true while an address is to be avoided. */
static bool is_avoided(const cw_relay_t *relay, const char *address, int64_t now_ms)
{
	const relay_left_t *left = g_hash_table_lookup(relay->avoid, address);

	return left && now_ms < left->avoid_until_ms;
}

/* Returns true for a parent left so long ago that it no longer matters. */
static gboolean is_forgotten(gpointer address, gpointer data, gpointer now_ms)
{
	const relay_left_t *left = data;

	(void)address;
	return *(const int64_t *)now_ms >= MAX(left->avoid_until_ms, left->left_ms + FAILURE_MEMORY_MS);
}

void cw_relay_avoid(cw_relay_t *relay, const char *address, int64_t now_ms, int64_t duration_ms)
{
	relay_left_t *left = g_new(relay_left_t, 1);

	g_hash_table_foreach_remove(relay->avoid, is_forgotten, &now_ms);
	left->left_ms = now_ms;
	left->avoid_until_ms = now_ms + duration_ms;
	g_hash_table_replace(relay->avoid, g_strdup(address), left);
}

/* Adds a candidate with its score for this proxy. */
static void add_candidate(const cw_relay_t *relay, GArray *candidates, const char *name, const char *address,
			  int64_t now_ms)
{
	const relay_left_t *left = g_hash_table_lookup(relay->avoid, address);
	candidate_t candidate = {0, score_of(relay, name), address};

	if (left && now_ms - left->left_ms < FAILURE_MEMORY_MS)
		candidate.left_ms = left->left_ms;
	g_array_append_val(candidates, candidate);
}

/* Returns the first candidate by score that is not to be avoided, and frees the list. */
static char *take_best(const cw_relay_t *relay, GArray *candidates, int64_t now_ms)
{
	char *address = NULL;

	g_array_sort(candidates, compare_scores);
	for (guint i = 0; i < candidates->len && !address; i++) {
		const candidate_t *candidate = &g_array_index(candidates, candidate_t, i);

		if (!is_avoided(relay, candidate->address, now_ms))
			address = g_strdup(candidate->address);
	}
	g_array_unref(candidates);
	return address;
}

/* Returns the best control replica. */
static char *choose_control(const cw_relay_t *relay, int64_t now_ms)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	for (size_t i = 0; relay->controls[i]; i++)
		add_candidate(relay, candidates, relay->controls[i], relay->controls[i], now_ms);
	return take_best(relay, candidates, now_ms);
}

/* Returns true for an endpoint that may serve children, other than this proxy. */
static bool may_serve(const cw_relay_t *relay, const Caraway__Endpoint *endpoint)
{
	return endpoint->state == CARAWAY__ENDPOINT_STATE__ENDPOINT_UP && *endpoint->feed_address &&
	       !g_str_equal(endpoint->vm, relay->options.vm);
}

/* Returns the proxies of this availability zone in its order; *rank becomes this proxy's place. */
static GArray *zone_order(const cw_relay_t *relay, guint *rank)
{
	GPtrArray *endpoints = cw_members_endpoints(relay->members);
	GArray *order = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	uint64_t own = cw_hash(relay->options.vm, strlen(relay->options.vm), 0);

	*rank = 0;
	for (guint i = 0; i < endpoints->len; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);
		candidate_t candidate = {0, cw_hash(endpoint->vm, strlen(endpoint->vm), 0),
					 endpoint->feed_address};

		if (!may_serve(relay, endpoint) || !g_str_equal(endpoint->zone, relay->options.zone))
			continue;
		g_array_append_val(order, candidate);
		*rank += candidate.score < own;
	}
	g_array_sort(order, compare_ranks);
	g_ptr_array_unref(endpoints);
	return order;
}

/* Returns the best proxy among a range of the zone's order. */
static char *choose_among(const cw_relay_t *relay, const GArray *order, guint first, guint end,
			  int64_t now_ms)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	for (guint i = first; i < MIN(end, order->len); i++) {
		const char *address = g_array_index(order, candidate_t, i).address;

		add_candidate(relay, candidates, address, address, now_ms);
	}
	return take_best(relay, candidates, now_ms);
}

/* Returns how many proxies of a zone pull from control replicas. */
static guint zone_heads(const cw_relay_t *relay)
{
	return MAX(1, relay->options.heads * (guint)relay->options.control_count);
}

/* Returns the first place of the level that a place belongs to; *before becomes that of the level before. */
static guint level_start(const cw_relay_t *relay, guint rank, guint *before)
{
	guint fan_out = MAX(2, relay->options.children / 2);
	guint size = zone_heads(relay);
	guint start = 0;

	*before = 0;
	while (rank >= start + size) {
		*before = start;
		start += size;
		size *= fan_out;
	}
	return start;
}

/* Returns the best proxy of this zone: of the level before, then of any place before this one, then any. */
static char *choose_in_zone(const cw_relay_t *relay, const GArray *order, guint rank, int64_t now_ms)
{
	guint before;
	guint start = level_start(relay, rank, &before);
	char *address = choose_among(relay, order, before, start, now_ms);

	if (!address)
		address = choose_among(relay, order, 0, rank, now_ms);
	return address;
}

/* Returns the best proxy of any other availability zone. */
static char *choose_elsewhere(const cw_relay_t *relay, int64_t now_ms)
{
	GPtrArray *endpoints = cw_members_endpoints(relay->members);
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	char *address;

	for (guint i = 0; i < endpoints->len; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);

		if (may_serve(relay, endpoint) && !g_str_equal(endpoint->zone, relay->options.zone))
			add_candidate(relay, candidates, endpoint->vm, endpoint->feed_address, now_ms);
	}
	address = take_best(relay, candidates, now_ms);
	g_ptr_array_unref(endpoints);
	return address;
}

/* Takes the next address named by a refusal, at random. */
static char *take_hint(cw_relay_t *relay, int64_t now_ms)
{
	while (relay->hints->len) {
		guint i = (guint)g_rand_int_range(relay->random, 0, (gint32)relay->hints->len);
		char *address = g_ptr_array_steal_index_fast(relay->hints, i);

		if (!is_avoided(relay, address, now_ms))
			return address;
		g_free(address);
	}
	return NULL;
}

/* Returns the best parent for a proxy by its place in the zone. */
static char *choose_by_place(const cw_relay_t *relay, const GArray *order, guint rank, int64_t now_ms)
{
	char *address = NULL;

	if (rank >= zone_heads(relay))
		address = choose_in_zone(relay, order, rank, now_ms);
	return address ? address : choose_control(relay, now_ms);
}

/* Returns any proxy of this zone or, in turn, of another. */
static char *choose_widely(const cw_relay_t *relay, const GArray *order, int64_t now_ms)
{
	char *address = NULL;

	if (relay->attempts % 4 == 1)
		address = choose_among(relay, order, 0, order->len, now_ms);
	return address ? address : choose_elsewhere(relay, now_ms);
}

/* Returns the best parent for a proxy. */
static char *choose_for_proxy(const cw_relay_t *relay, int64_t now_ms)
{
	guint rank;
	GArray *order = zone_order(relay, &rank);
	char *address = NULL;

	if (relay->attempts >= WIDEN_ATTEMPTS && relay->attempts % 2)
		address = choose_widely(relay, order, now_ms);
	if (!address)
		address = choose_by_place(relay, order, rank, now_ms);
	if (!address)
		address = choose_among(relay, order, 0, order->len, now_ms);
	if (!address)
		address = choose_elsewhere(relay, now_ms);
	g_array_unref(order);
	return address;
}

char *cw_relay_choose(cw_relay_t *relay, int64_t now_ms)
{
	char *address;

	if (relay->options.kind == CW_RELAY_REPLICA)
		return relay->leader && !is_avoided(relay, relay->leader, now_ms) ? g_strdup(relay->leader)
										  : NULL;
	address = take_hint(relay, now_ms);
	return address ? address : choose_for_proxy(relay, now_ms);
}

bool cw_relay_is_foreign(const cw_relay_t *relay, const char *address)
{
	GPtrArray *endpoints = cw_members_endpoints(relay->members);
	bool foreign = false;

	for (guint i = 0; i < endpoints->len && !foreign; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);

		foreign = g_str_equal(endpoint->feed_address, address) &&
			  !g_str_equal(endpoint->zone, relay->options.zone);
	}
	g_ptr_array_unref(endpoints);
	return foreign;
}
