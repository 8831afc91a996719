/* Reading a table of members for children, and taking one from a parent. */
#include "members_internal.h"

#include <string.h>

/* A table of more endpoints than this is sent compressed. */
enum { PLAIN_ENDPOINTS = 32 };

/* Fills in the endpoints changed after a table sequence, in order of change. */
static void read_after(const cw_members_t *members, uint64_t sequence, Caraway__News *news)
{
	const GList *link = members->changes.tail;
	size_t count = 0;

	while (link && ((const member_t *)link->data)->table_sequence > sequence) {
		link = link->prev;
		count++;
	}
	link = link ? link->next : members->changes.head;
	news->n_endpoints = count;
	news->endpoints = g_new0(Caraway__Endpoint *, count);
	for (size_t i = 0; i < count; i++, link = link->next)
		news->endpoints[i] = cw_message_copy(&((const member_t *)link->data)->endpoint->base);
}

/* Replaces many endpoints of a news by their compressed form. */
static void compress_endpoints(Caraway__News *news)
{
	Caraway__News only = CARAWAY__NEWS__INIT;
	GBytes *bytes;
	gsize length;

	if (news->n_endpoints <= PLAIN_ENDPOINTS)
		return;
	only.n_endpoints = news->n_endpoints;
	only.endpoints = news->endpoints;
	bytes = cw_message_compress(&only.base);
	for (size_t i = 0; i < news->n_endpoints; i++)
		cw_message_free(news->endpoints[i]);
	g_free(news->endpoints);
	news->n_endpoints = 0;
	news->endpoints = NULL;
	news->endpoints_packed.data = g_bytes_unref_to_data(bytes, &length);
	news->endpoints_packed.len = length;
}

/* Returns true when a child at a position of the epoch before this one lacks only what came since. */
static bool continues(const cw_members_t *members, uint64_t epoch, uint64_t sequence)
{
	return epoch && epoch == members->base_epoch && sequence <= members->base_sequence &&
	       sequence >= members->oldest_sequence;
}

/*
 * Fills a news with the endpoints a child lacks that holds (epoch, sequence):
 * those changed since, or the whole table when the position is of no use.
 */
void cw_members_read(const cw_members_t *members, uint64_t epoch, uint64_t sequence, Caraway__News *news)
{
	news->endpoint_epoch = members->epoch;
	news->endpoint_sequence = members->sequence;
	if (epoch != members->epoch && continues(members, epoch, sequence)) {
		news->endpoint_base_epoch = epoch;
		news->endpoint_base_sequence = sequence;
	} else {
		news->endpoints_whole = epoch != members->epoch || sequence > members->sequence ||
					sequence < members->oldest_sequence;
	}
	read_after(members, news->endpoints_whole ? 0 : sequence, news);
	compress_endpoints(news);
}

/* Keeps an endpoint that the source no longer names until the lease given runs out. */
static void carry(cw_members_t *members, member_t *member, int64_t now_ms)
{
	if (member->carried)
		return;
	cw_members_unlink(members, member);
	member->carried = true;
	cw_members_renew(members, member, now_ms);
}

/*
 * Carries over the endpoints that a whole table does not name: a source that
 * has lost its table hears of them again within their lease.
 */
static void carry_unnamed(cw_members_t *members, const Caraway__News *news, int64_t now_ms)
{
	GHashTable *named = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	void *key;
	void *data;

	for (size_t i = 0; i < news->n_endpoints; i++)
		g_hash_table_add(named, news->endpoints[i]->vm);
	g_hash_table_iter_init(&iter, members->by_vm);
	while (g_hash_table_iter_next(&iter, &key, &data))
		if (!g_hash_table_contains(named, key))
			carry(members, data, now_ms);
	g_hash_table_unref(named);
}

/* Returns true when the endpoints of a news follow the position held. */
static bool follows(const cw_members_t *members, const Caraway__News *news)
{
	if (news->endpoints_whole || news->endpoint_epoch == members->epoch)
		return true;
	return news->endpoint_base_epoch == members->epoch &&
	       news->endpoint_base_sequence == members->sequence;
}

/* Takes endpoints that are not compressed. */
static cw_status_t accept_plain(cw_members_t *members, const Caraway__News *news, int64_t now_ms)
{
	if (news->endpoint_epoch < members->epoch ||
	    (news->endpoint_epoch == members->epoch && news->endpoint_sequence < members->sequence))
		return cw_fail(CW_ERR_STALE, "a newer table of endpoints is held");
	if (!follows(members, news))
		return cw_fail(CW_ERR_POSITION, "the endpoints do not follow the table held");
	for (size_t i = 0; i < news->n_endpoints; i++)
		if (!*news->endpoints[i]->vm)
			return cw_fail(CW_ERR_DAMAGED, "an endpoint names no VM");
	if (news->endpoints_whole) {
		carry_unnamed(members, news, now_ms);
		members->oldest_sequence = news->endpoint_sequence;
	}
	members->source = false;
	members->epoch = news->endpoint_epoch;
	members->sequence = news->endpoint_sequence;
	for (size_t i = 0; i < news->n_endpoints; i++) {
		member_t *member = cw_members_member(members, news->endpoints[i]->vm);

		member->lease_ms = INT64_MAX;
		cw_members_set(members, member, news->endpoints[i], news->endpoint_sequence);
	}
	return CW_OK;
}

/*
 * Takes endpoints from a parent, all or none.  CW_ERR_STALE when the epoch or
 * the sequence is older than what is held; CW_ERR_POSITION when the changes do
 * not follow what is held; CW_ERR_DAMAGED when an endpoint names no VM.
 */
cw_status_t cw_members_accept(cw_members_t *members, const Caraway__News *news, int64_t now_ms)
{
	Caraway__News plain = *news;
	Caraway__News *only;
	cw_status_t status;

	if (!news->endpoints_packed.len)
		return accept_plain(members, news, now_ms);
	only = cw_message_decompress(&caraway__news__descriptor, &news->endpoints_packed);
	if (!only)
		return CW_ERR_DAMAGED;
	plain.n_endpoints = only->n_endpoints;
	plain.endpoints = only->endpoints;
	status = accept_plain(members, &plain, now_ms);
	cw_message_free(only);
	return status;
}

/* Returns the endpoint of a VM in whatever state, or NULL. */
const Caraway__Endpoint *cw_members_endpoint(const cw_members_t *members, const char *vm)
{
	const member_t *member = g_hash_table_lookup(members->by_vm, vm);

	return member ? member->endpoint : NULL;
}

/* Orders endpoints by VM. */
static gint compare_vms(gconstpointer a, gconstpointer b)
{
	const Caraway__Endpoint *left = *(Caraway__Endpoint *const *)a;
	const Caraway__Endpoint *right = *(Caraway__Endpoint *const *)b;

	return strcmp(left->vm, right->vm);
}

/* Returns the endpoints that are not gone, borrowed, by VM. */
GPtrArray *cw_members_endpoints(const cw_members_t *members)
{
	GPtrArray *endpoints = g_ptr_array_new();
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, members->by_vm);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const member_t *member = data;

		if (member->endpoint->state != CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE)
			g_ptr_array_add(endpoints, member->endpoint);
	}
	g_ptr_array_sort(endpoints, compare_vms);
	return endpoints;
}

/* Returns the last report of a VM and when it came, UTC ms; NULL when none came within the lease. */
const Caraway__Report *cw_members_last_report(const cw_members_t *members, const char *vm,
					      int64_t *reported_ms)
{
	const member_t *member = g_hash_table_lookup(members->by_vm, vm);

	if (!member || !member->report)
		return NULL;
	*reported_ms = member->reported_ms;
	return member->report;
}

/* Returns the epoch of the table: the term of the leader that numbers it. */
uint64_t cw_members_epoch(const cw_members_t *members)
{
	return members->epoch;
}

/* Returns the sequence of the table within its epoch. */
uint64_t cw_members_sequence(const cw_members_t *members)
{
	return members->sequence;
}
