/*
 * Member table: the endpoints known to a process, with leases and reports.
 *
 * The leading control replica is authoritative: it numbers the changes of its
 * table by (epoch, sequence).  Every other process copies that numbering, so a
 * child that moves to another parent is sent only the changes it lacks.
 */
#include "members_internal.h"

/* Frees one member. */
static void member_free(void *data)
{
	member_t *member = data;

	cw_message_free(member->endpoint);
	cw_message_free(member->report);
	g_free(member);
}

/*
 * Returns an empty, authoritative table for an epoch.  An endpoint whose lease
 * is not renewed within lease_ms is marked gone; 0: leases never expire.
 */
cw_members_t *cw_members_new(uint64_t epoch, uint32_t lease_ms)
{
	cw_members_t *members = g_new0(cw_members_t, 1);

	members->epoch = epoch;
	members->authoritative = true;
	members->lease_ms = lease_ms;
	members->next_expiry_ms = INT64_MAX;
	members->by_vm = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, member_free);
	g_queue_init(&members->changes);
	members->packed = g_new0(packed_endpoints_t, 1);
	return members;
}

/* Frees a table; NULL is allowed. */
void cw_members_free(cw_members_t *members)
{
	if (!members)
		return;
	g_hash_table_unref(members->by_vm);
	if (members->packed->bytes)
		g_bytes_unref(members->packed->bytes);
	g_free(members->packed);
	g_free(members);
}

/* Returns the expiry time of a lease that starts now. */
static int64_t lease_expiry_ms(const cw_members_t *members, int64_t now_ms)
{
	return members->lease_ms ? now_ms + members->lease_ms : INT64_MAX;
}

void cw_members_renew_lease(cw_members_t *members, member_t *member, int64_t now_ms)
{
	member->lease_expires_ms = lease_expiry_ms(members, now_ms);
	members->next_expiry_ms = MIN(members->next_expiry_ms, member->lease_expires_ms);
}

/* Returns true for a member whose endpoint is gone. */
static bool is_gone(const member_t *member)
{
	return member->endpoint && member->endpoint->state == CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE;
}

void cw_members_unlink(cw_members_t *members, member_t *member)
{
	if (!member->table_sequence)
		return;
	g_queue_unlink(&members->changes, &member->link);
	members->revision++;
	member->table_sequence = 0;
	if (is_gone(member))
		members->gone_count--;
}

/* Appends a member to the list of changes under a table sequence. */
static void append_change(cw_members_t *members, member_t *member, uint64_t sequence)
{
	member->table_sequence = sequence;
	members->revision++;
	g_queue_push_tail_link(&members->changes, &member->link);
	if (is_gone(member))
		members->gone_count++;
}

void cw_members_remove(cw_members_t *members, member_t *member)
{
	char *vm = g_strdup(member->endpoint->vm);

	cw_members_unlink(members, member);
	g_hash_table_remove(members->by_vm, vm);
	g_free(vm);
}

/* Once more than twice the limit are gone, removes the oldest gone endpoints down to the limit. */
static void prune_gone(cw_members_t *members)
{
	GList *link = members->changes.head;

	if (members->gone_count <= 2 * GONE_ENDPOINTS_KEPT)
		return;
	while (link && members->gone_count > GONE_ENDPOINTS_KEPT) {
		member_t *member = link->data;

		link = link->next;
		if (!is_gone(member))
			continue;
		members->oldest_sequence = member->table_sequence;
		cw_members_remove(members, member);
	}
}

member_t *cw_members_find_or_add(cw_members_t *members, const char *vm)
{
	member_t *member = g_hash_table_lookup(members->by_vm, vm);

	if (member)
		return member;
	member = g_new0(member_t, 1);
	member->lease_expires_ms = INT64_MAX;
	member->link.data = member;
	g_hash_table_insert(members->by_vm, g_strdup(vm), member);
	return member;
}

void cw_members_set_endpoint(cw_members_t *members, member_t *member, const Caraway__Endpoint *endpoint,
			     uint64_t sequence)
{
	Caraway__Endpoint *copy = cw_message_copy(&endpoint->base);

	cw_members_unlink(members, member);
	cw_message_free(member->endpoint);
	member->endpoint = copy;
	member->unlisted = false;
	member->expired = false;
	append_change(members, member, sequence);
	prune_gone(members);
}

/* Changes the state of an endpoint in an authoritative table. */
static void set_state(cw_members_t *members, member_t *member, Caraway__EndpointState state)
{
	cw_members_unlink(members, member);
	member->endpoint->state = state;
	append_change(members, member, ++members->sequence);
}

/* Restores the state of an endpoint that reports again after its lease has expired. */
static void restore_expired(cw_members_t *members, member_t *member)
{
	if (!member->expired)
		return;
	member->expired = false;
	set_state(members, member, member->state_before);
}

/* Compares (incarnation, sequence) with those of a stored endpoint; negative when older. */
static int compare_state(uint64_t incarnation, uint64_t sequence, const Caraway__Endpoint *stored)
{
	if (incarnation != stored->incarnation)
		return incarnation < stored->incarnation ? -1 : 1;
	if (sequence != stored->sequence)
		return sequence < stored->sequence ? -1 : 1;
	return 0;
}

/*
 * Stores the announced state of an endpoint in an authoritative table.  The
 * newest (incarnation, sequence) of a VM wins; CW_ERR_STALE for an older one.
 * An announcement of the stored state renews the lease and restores an endpoint
 * whose lease has expired.
 */
cw_status_t cw_members_announce(cw_members_t *members, const Caraway__Endpoint *endpoint, int64_t now_ms)
{
	member_t *member;
	int order;

	if (!*endpoint->vm)
		return cw_fail(CW_ERR_DAMAGED, "endpoint without a VM name");
	member = cw_members_find_or_add(members, endpoint->vm);
	order = member->endpoint ? compare_state(endpoint->incarnation, endpoint->sequence, member->endpoint)
				 : 1;
	if (order < 0)
		return cw_fail(CW_ERR_STALE, "announcement of VM %s is older than its stored state",
			       endpoint->vm);
	if (order > 0)
		cw_members_set_endpoint(members, member, endpoint, ++members->sequence);
	else
		restore_expired(members, member);
	cw_members_renew_lease(members, member, now_ms);
	return CW_OK;
}

/*
 * Renews the lease of an endpoint in an authoritative table and stores the
 * report; utc_ms is the time of receipt shown to operators.  CW_ERR_NOT_FOUND
 * when the reported state has not been announced yet; CW_ERR_STALE when the
 * report refers to an older state than the stored one.
 */
cw_status_t cw_members_report(cw_members_t *members, const Caraway__Report *report, int64_t now_ms,
			      int64_t utc_ms)
{
	member_t *member = g_hash_table_lookup(members->by_vm, report->vm);
	int order;

	if (!member || !member->endpoint)
		return cw_fail(CW_ERR_NOT_FOUND, "VM %s has not been announced", report->vm);
	order = compare_state(report->incarnation, report->sequence, member->endpoint);
	if (order > 0)
		return cw_fail(CW_ERR_NOT_FOUND, "the reported state of VM %s has not been announced",
			       report->vm);
	if (order < 0)
		return cw_fail(CW_ERR_STALE, "report of VM %s refers to an older state than the stored one",
			       report->vm);
	restore_expired(members, member);
	cw_members_renew_lease(members, member, now_ms);
	cw_message_free(member->report);
	member->report = cw_message_copy(&report->base);
	member->reported_ms = utc_ms;
	return CW_OK;
}

/* Expires the lease of a member: marks its endpoint gone and discards its report. */
static void expire(cw_members_t *members, member_t *member)
{
	member->lease_expires_ms = INT64_MAX;
	cw_message_free(member->report);
	member->report = NULL;
	if (is_gone(member))
		return;
	member->expired = true;
	member->state_before = member->endpoint->state;
	set_state(members, member, CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE);
}

/* Returns the members whose lease has expired, borrowed, and updates the next expiry time. */
static GPtrArray *expired_members(cw_members_t *members, int64_t now_ms)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	void *data;

	members->next_expiry_ms = INT64_MAX;
	g_hash_table_iter_init(&iter, members->by_vm);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		member_t *member = data;

		if (member->lease_expires_ms <= now_ms)
			g_ptr_array_add(expired, member);
		else
			members->next_expiry_ms = MIN(members->next_expiry_ms, member->lease_expires_ms);
	}
	return expired;
}

/*
 * Marks endpoints whose lease has expired as gone, and removes those that the
 * authoritative table no longer lists; returns the number of expired leases.
 */
size_t cw_members_expire(cw_members_t *members, int64_t now_ms)
{
	GPtrArray *expired;
	size_t count;

	if (now_ms < members->next_expiry_ms)
		return 0;
	expired = expired_members(members, now_ms);
	count = expired->len;
	for (size_t i = 0; i < count; i++) {
		member_t *member = g_ptr_array_index(expired, i);

		if (member->unlisted)
			cw_members_remove(members, member);
		else if (members->authoritative)
			expire(members, member);
		else
			member->lease_expires_ms = INT64_MAX;
	}
	g_ptr_array_unref(expired);
	prune_gone(members);
	return count;
}

/* Returns when the next lease may expire; INT64_MAX when there is none. */
int64_t cw_members_next_expiry_ms(const cw_members_t *members)
{
	return members->next_expiry_ms;
}

/*
 * Makes this table authoritative for a new epoch.  Its endpoints are kept, also
 * those that the table of the previous leader did not list, and each that is not
 * gone gets a new lease.  The sequence continues from the previous epoch, so
 * that children at a position of that epoch are sent only the changes they lack.
 */
void cw_members_become_authoritative(cw_members_t *members, uint64_t epoch, int64_t now_ms)
{
	GHashTableIter iter;
	void *data;

	members->base_epoch = members->epoch;
	members->base_sequence = members->sequence;
	members->epoch = epoch;
	members->authoritative = true;
	members->next_expiry_ms = INT64_MAX;
	g_hash_table_iter_init(&iter, members->by_vm);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		member_t *member = data;

		if (member->unlisted)
			append_change(members, member, ++members->sequence);
		member->unlisted = false;
		if (!is_gone(member))
			cw_members_renew_lease(members, member, now_ms);
	}
}

/* Makes this table a copy: from now on it changes only by updates from a parent. */
void cw_members_become_copy(cw_members_t *members)
{
	members->authoritative = false;
}
