/* Member table: builds updates for children and applies updates from a parent. */
#include "members_internal.h"

#include <string.h>

/* The endpoints of an update are sent compressed when there are more than this. */
enum { MAX_UNCOMPRESSED_ENDPOINTS = 32 };

/* Returns the first change after a table sequence, NULL if there is none, and the number of them. */
static const GList *changes_after(const cw_members_t *members, uint64_t sequence, size_t *count)
{
	const GList *link = members->changes.tail;

	*count = 0;
	while (link && ((const member_t *)link->data)->table_sequence > sequence) {
		link = link->prev;
		(*count)++;
	}
	return link ? link->next : members->changes.head;
}

/* Copies endpoints from a change on into an update, in order of change. */
static void put_endpoints(const GList *link, size_t count, Caraway__News *update)
{
	update->n_endpoints = count;
	update->endpoints = g_new0(Caraway__Endpoint *, count);
	for (size_t i = 0; i < count; i++, link = link->next)
		update->endpoints[i] = cw_message_copy(&((const member_t *)link->data)->endpoint->base);
}

/* Returns endpoints from a change on in compressed form, borrowed. */
static GBytes *compress_endpoints(const cw_members_t *members, const GList *link, size_t count)
{
	packed_endpoints_t *packed = members->packed;
	uint64_t first = ((const member_t *)link->data)->table_sequence;
	Caraway__News update = CARAWAY__NEWS__INIT;

	if (packed->bytes && packed->revision == members->revision && packed->first == first)
		return packed->bytes;
	if (packed->bytes)
		g_bytes_unref(packed->bytes);
	update.n_endpoints = count;
	update.endpoints = g_new(Caraway__Endpoint *, count);
	for (size_t i = 0; i < count; i++, link = link->next)
		update.endpoints[i] = ((const member_t *)link->data)->endpoint;
	*packed = (packed_endpoints_t){
		.revision = members->revision, .first = first, .bytes = cw_message_compress(&update.base)};
	g_free(update.endpoints);
	return packed->bytes;
}

/* Puts the endpoints changed after a table sequence into an update; many of them are compressed. */
static void put_endpoints_after(const cw_members_t *members, uint64_t sequence, Caraway__News *update)
{
	size_t count;
	const GList *link = changes_after(members, sequence, &count);
	const void *data;
	gsize length;

	if (count <= MAX_UNCOMPRESSED_ENDPOINTS) {
		put_endpoints(link, count, update);
		return;
	}
	data = g_bytes_get_data(compress_endpoints(members, link, count), &length);
	update->endpoints_packed.data = g_memdup2(data, length);
	update->endpoints_packed.len = length;
}

/* Returns true when a child at a position of the previous epoch needs only the changes made since. */
static bool continues_base_epoch(const cw_members_t *members, uint64_t epoch, uint64_t sequence)
{
	return epoch && epoch == members->base_epoch && sequence <= members->base_sequence &&
	       sequence >= members->oldest_sequence;
}

/*
 * Fills an update for a child at position (epoch, sequence): the endpoints
 * changed since, or the whole table when the changes since then are not known.
 */
void cw_members_fill_update(const cw_members_t *members, uint64_t epoch, uint64_t sequence,
			    Caraway__News *update)
{
	update->endpoint_epoch = members->epoch;
	update->endpoint_sequence = members->sequence;
	if (epoch != members->epoch && continues_base_epoch(members, epoch, sequence)) {
		update->endpoint_base_epoch = epoch;
		update->endpoint_base_sequence = sequence;
	} else {
		update->endpoints_whole = epoch != members->epoch || sequence > members->sequence ||
					  sequence < members->oldest_sequence;
	}
	put_endpoints_after(members, update->endpoints_whole ? 0 : sequence, update);
}

/* Keeps an endpoint for one more lease, although the authoritative table no longer lists it. */
static void keep_unlisted(cw_members_t *members, member_t *member, int64_t now_ms)
{
	if (member->unlisted)
		return;
	cw_members_unlink(members, member);
	member->unlisted = true;
	cw_members_renew_lease(members, member, now_ms);
}

/*
 * Keeps, for one more lease, the endpoints that a received whole table does not
 * list: a control replica that restarted with an empty table learns of them
 * again within that time.
 */
static void keep_all_unlisted(cw_members_t *members, const Caraway__News *update, int64_t now_ms)
{
	GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
	GHashTableIter iter;
	void *key;
	void *data;

	for (size_t i = 0; i < update->n_endpoints; i++)
		g_hash_table_add(listed, update->endpoints[i]->vm);
	g_hash_table_iter_init(&iter, members->by_vm);
	while (g_hash_table_iter_next(&iter, &key, &data))
		if (!g_hash_table_contains(listed, key))
			keep_unlisted(members, data, now_ms);
	g_hash_table_unref(listed);
}

/* Returns true when an update can be applied at the current position. */
static bool can_apply(const cw_members_t *members, const Caraway__News *update)
{
	if (update->endpoints_whole || update->endpoint_epoch == members->epoch)
		return true;
	return update->endpoint_base_epoch == members->epoch &&
	       update->endpoint_base_sequence == members->sequence;
}

/* Applies an update whose endpoints are not compressed. */
static cw_status_t apply_uncompressed(cw_members_t *members, const Caraway__News *update, int64_t now_ms)
{
	if (update->endpoint_epoch < members->epoch ||
	    (update->endpoint_epoch == members->epoch && update->endpoint_sequence < members->sequence))
		return cw_fail(CW_ERR_STALE, "endpoint update is older than the member table");
	if (!can_apply(members, update))
		return cw_fail(CW_ERR_POSITION,
			       "endpoint update does not start at the position of the member table");
	for (size_t i = 0; i < update->n_endpoints; i++)
		if (!*update->endpoints[i]->vm)
			return cw_fail(CW_ERR_DAMAGED, "endpoint without a VM name");
	if (update->endpoints_whole) {
		keep_all_unlisted(members, update, now_ms);
		members->oldest_sequence = update->endpoint_sequence;
	}
	members->authoritative = false;
	members->epoch = update->endpoint_epoch;
	members->sequence = update->endpoint_sequence;
	for (size_t i = 0; i < update->n_endpoints; i++) {
		member_t *member = cw_members_find_or_add(members, update->endpoints[i]->vm);

		member->lease_expires_ms = INT64_MAX;
		cw_members_set_endpoint(members, member, update->endpoints[i], update->endpoint_sequence);
	}
	return CW_OK;
}

/*
 * Applies the endpoints of an update from a parent, all or none.  CW_ERR_STALE
 * when its (epoch, sequence) is older than that of the table; CW_ERR_POSITION
 * when its changes do not start at the position of the table; CW_ERR_DAMAGED
 * when it cannot be decompressed or an endpoint has no VM name.
 */
cw_status_t cw_members_apply_update(cw_members_t *members, const Caraway__News *update, int64_t now_ms)
{
	Caraway__News uncompressed = *update;
	Caraway__News *unpacked;
	cw_status_t status;

	if (!update->endpoints_packed.len)
		return apply_uncompressed(members, update, now_ms);
	unpacked = cw_message_decompress(&caraway__news__descriptor, &update->endpoints_packed);
	if (!unpacked)
		return CW_ERR_DAMAGED;
	uncompressed.n_endpoints = unpacked->n_endpoints;
	uncompressed.endpoints = unpacked->endpoints;
	status = apply_uncompressed(members, &uncompressed, now_ms);
	cw_message_free(unpacked);
	return status;
}

/* Returns the endpoint of a VM in any state, or NULL. */
const Caraway__Endpoint *cw_members_endpoint(const cw_members_t *members, const char *vm)
{
	const member_t *member = g_hash_table_lookup(members->by_vm, vm);

	return member ? member->endpoint : NULL;
}

/* Compares endpoints by VM name. */
static gint compare_vms(gconstpointer a, gconstpointer b)
{
	const Caraway__Endpoint *left = *(Caraway__Endpoint *const *)a;
	const Caraway__Endpoint *right = *(Caraway__Endpoint *const *)b;

	return strcmp(left->vm, right->vm);
}

/* Returns the endpoints that are not gone, borrowed, sorted by VM name. */
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

/* Returns the last report of a VM and its time of receipt, UTC ms; NULL when none came within the lease. */
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
