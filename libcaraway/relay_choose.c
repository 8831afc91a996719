/*
 * Choice of a parent.
 *
 * The proxies of an availability zone are ranked by the hash of their VM name.
 * The first few, the zone heads, pull from control replicas.  The others form
 * levels, each a few times as large as the previous one.  A proxy pulls from a
 * proxy of the previous level, chosen by rendezvous hashing, so that the load is
 * even and few proxies change their parent when one starts or stops.
 */
#include "relay_internal.h"

#include <string.h>

/* After this many failed parents in a row, every second choice is made from all proxies. */
enum { WIDEN_FAILED_PARENTS = 3 };

/* Candidates that were left as a parent within this time are tried after the others. */
enum { FAILURE_HISTORY_MS = 60000 };

typedef struct {
	int64_t left_ms;     /* when it was left; 0: not recently */
	uint64_t score;	     /* rendezvous score, or for the ranking of a zone the hash of the VM name */
	const char *address; /* borrowed */
} candidate_t;

/* Returns the rendezvous score of a candidate's name for this proxy. */
static uint64_t score_of(const cw_relay_t *relay, const char *name)
{
	return cw_hash(name, strlen(name), cw_hash(relay->options.vm, strlen(relay->options.vm), 0));
}

/* Orders candidates: never left or left longest ago first, then by highest score. */
static gint compare_scores(gconstpointer a, gconstpointer b)
{
	const candidate_t *left = a;
	const candidate_t *right = b;

	if (left->left_ms != right->left_ms)
		return left->left_ms < right->left_ms ? -1 : 1;
	return left->score > right->score ? -1 : left->score < right->score;
}

/* Orders candidates by lowest score first: the ranking of a zone. */
static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	return compare_scores(b, a);
}

/* Returns true while an address is being avoided. */
static bool is_avoided(const cw_relay_t *relay, const char *address, int64_t now_ms)
{
	const relay_left_parent_t *record = g_hash_table_lookup(relay->left_parents, address);

	return record && now_ms < record->avoid_until_ms;
}

/* Returns true when the record of a parent that was left has expired. */
static gboolean is_history_expired(gpointer address, gpointer data, gpointer now_ms)
{
	const relay_left_parent_t *record = data;

	(void)address;
	return *(const int64_t *)now_ms >= MAX(record->avoid_until_ms, record->left_ms + FAILURE_HISTORY_MS);
}

void cw_relay_avoid_parent(cw_relay_t *relay, const char *address, int64_t now_ms, int64_t duration_ms)
{
	relay_left_parent_t *record = g_new(relay_left_parent_t, 1);

	g_hash_table_foreach_remove(relay->left_parents, is_history_expired, &now_ms);
	record->left_ms = now_ms;
	record->avoid_until_ms = now_ms + duration_ms;
	g_hash_table_replace(relay->left_parents, g_strdup(address), record);
}

/* Adds a candidate with its score for this proxy. */
static void add_candidate(const cw_relay_t *relay, GArray *candidates, const char *name, const char *address,
			  int64_t now_ms)
{
	const relay_left_parent_t *record = g_hash_table_lookup(relay->left_parents, address);
	candidate_t candidate = {0, score_of(relay, name), address};

	if (record && now_ms - record->left_ms < FAILURE_HISTORY_MS)
		candidate.left_ms = record->left_ms;
	g_array_append_val(candidates, candidate);
}

/* Returns the first candidate in order that is not being avoided, or NULL; frees the list. */
static char *choose_best(const cw_relay_t *relay, GArray *candidates, int64_t now_ms)
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

/* Returns the preferred control replica, or NULL. */
static char *choose_control(const cw_relay_t *relay, int64_t now_ms)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	for (size_t i = 0; relay->control_addresses[i]; i++)
		add_candidate(relay, candidates, relay->control_addresses[i], relay->control_addresses[i],
			      now_ms);
	return choose_best(relay, candidates, now_ms);
}

/* Returns true for another proxy that may serve children. */
static bool may_serve(const cw_relay_t *relay, const Caraway__Endpoint *endpoint)
{
	return endpoint->state == CARAWAY__ENDPOINT_STATE__ENDPOINT_UP && *endpoint->feed_address &&
	       !g_str_equal(endpoint->vm, relay->options.vm);
}

/* Returns the proxies of this availability zone by rank; *rank becomes that of this proxy. */
static GArray *zone_order(const cw_relay_t *relay, guint *rank)
{
	GPtrArray *endpoints = cw_members_endpoints(relay->members);
	GArray *order = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	uint64_t own_score = cw_hash(relay->options.vm, strlen(relay->options.vm), 0);

	*rank = 0;
	for (guint i = 0; i < endpoints->len; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);
		candidate_t candidate = {0, cw_hash(endpoint->vm, strlen(endpoint->vm), 0),
					 endpoint->feed_address};

		if (!may_serve(relay, endpoint) || !g_str_equal(endpoint->zone, relay->options.zone))
			continue;
		g_array_append_val(order, candidate);
		*rank += candidate.score < own_score;
	}
	g_array_sort(order, compare_ranks);
	g_ptr_array_unref(endpoints);
	return order;
}

/* Returns the preferred proxy in a range of ranks, from first to before end, or NULL. */
static char *choose_in_ranks(const cw_relay_t *relay, const GArray *order, guint first, guint end,
			     int64_t now_ms)
{
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));

	for (guint i = first; i < MIN(end, order->len); i++) {
		const char *address = g_array_index(order, candidate_t, i).address;

		add_candidate(relay, candidates, address, address, now_ms);
	}
	return choose_best(relay, candidates, now_ms);
}

/* Returns the number of proxies of a zone that pull from control replicas. */
static guint zone_heads(const cw_relay_t *relay)
{
	return MAX(1, relay->options.zone_heads * (guint)relay->options.control_address_count);
}

/* Returns the first rank of the level of a rank; *previous becomes the first rank of the previous level. */
static guint level_start(const cw_relay_t *relay, guint rank, guint *previous)
{
	guint fan_out = MAX(2, relay->options.max_children / 2);
	guint size = zone_heads(relay);
	guint start = 0;

	*previous = 0;
	while (rank >= start + size) {
		*previous = start;
		start += size;
		size *= fan_out;
	}
	return start;
}

/* Returns the preferred proxy of the previous level, else of any lower rank in this zone, or NULL. */
static char *choose_in_zone(const cw_relay_t *relay, const GArray *order, guint rank, int64_t now_ms)
{
	guint previous;
	guint start = level_start(relay, rank, &previous);
	char *address = choose_in_ranks(relay, order, previous, start, now_ms);

	if (!address)
		address = choose_in_ranks(relay, order, 0, rank, now_ms);
	return address;
}

/* Returns the preferred proxy of all other availability zones, or NULL. */
static char *choose_in_other_zone(const cw_relay_t *relay, int64_t now_ms)
{
	GPtrArray *endpoints = cw_members_endpoints(relay->members);
	GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
	char *address;

	for (guint i = 0; i < endpoints->len; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);

		if (may_serve(relay, endpoint) && !g_str_equal(endpoint->zone, relay->options.zone))
			add_candidate(relay, candidates, endpoint->vm, endpoint->feed_address, now_ms);
	}
	address = choose_best(relay, candidates, now_ms);
	g_ptr_array_unref(endpoints);
	return address;
}

/* Removes and returns a random address, not being avoided, of those suggested by a refusal, or NULL. */
static char *pop_hint(cw_relay_t *relay, int64_t now_ms)
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

/*
 * Returns the preferred control replica for a zone head; for another proxy, one
 * of lower rank in this zone, else a control replica; NULL: none, or all avoided.
 */
static char *choose_by_rank(const cw_relay_t *relay, const GArray *order, guint rank, int64_t now_ms)
{
	char *address = NULL;

	if (rank >= zone_heads(relay))
		address = choose_in_zone(relay, order, rank, now_ms);
	return address ? address : choose_control(relay, now_ms);
}

/* Returns a proxy of any rank, alternately of this zone and of the others, or NULL. */
static char *choose_any_proxy(const cw_relay_t *relay, const GArray *order, int64_t now_ms)
{
	char *address = NULL;

	if (relay->failed_parents % 4 == 1)
		address = choose_in_ranks(relay, order, 0, order->len, now_ms);
	return address ? address : choose_in_other_zone(relay, now_ms);
}

/*
 * Returns the preferred parent of a proxy, or NULL: by its rank, else any proxy
 * of this zone, else of another.  After several failed parents in a row, every
 * second choice considers the proxies of all ranks and zones first.
 */
static char *choose_for_proxy(const cw_relay_t *relay, int64_t now_ms)
{
	guint rank;
	GArray *order = zone_order(relay, &rank);
	char *address = NULL;

	if (relay->failed_parents >= WIDEN_FAILED_PARENTS && relay->failed_parents % 2)
		address = choose_any_proxy(relay, order, now_ms);
	if (!address)
		address = choose_by_rank(relay, order, rank, now_ms);
	if (!address)
		address = choose_in_ranks(relay, order, 0, order->len, now_ms);
	if (!address)
		address = choose_in_other_zone(relay, now_ms);
	g_array_unref(order);
	return address;
}

char *cw_relay_choose_parent(cw_relay_t *relay, int64_t now_ms)
{
	char *address;

	if (relay->options.kind == CW_RELAY_REPLICA)
		return relay->leader && !is_avoided(relay, relay->leader, now_ms) ? g_strdup(relay->leader)
										  : NULL;
	address = pop_hint(relay, now_ms);
	return address ? address : choose_for_proxy(relay, now_ms);
}

bool cw_relay_is_in_other_zone(const cw_relay_t *relay, const char *address)
{
	GPtrArray *endpoints = cw_members_endpoints(relay->members);
	bool in_other_zone = false;

	for (guint i = 0; i < endpoints->len && !in_other_zone; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);

		in_other_zone = g_str_equal(endpoint->feed_address, address) &&
				!g_str_equal(endpoint->zone, relay->options.zone);
	}
	g_ptr_array_unref(endpoints);
	return in_other_zone;
}
