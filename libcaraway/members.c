/*
 * Members: the endpoints known to a process, with leases and reports.
 *
 * The leading control replica numbers the changes of its table by (epoch,
 * sequence).  Every other process keeps that numbering, so a child can move
 * from one parent to another and be sent only what it lacks.
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
 * Returns an empty table that numbers its own changes in an epoch.  Endpoints
 * that do not renew within lease_ms are gone; 0: they never are.
 */
cw_members_t *cw_members_new(uint64_t epoch, uint32_t lease_ms)
{
	cw_members_t *members = g_new0(cw_members_t, 1);

	members->epoch = epoch;
	members->source = true;
	members->lease_ms = lease_ms;
	members->deadline_ms = INT64_MAX;
	members->by_vm = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, member_free);
	g_queue_init(&members->changes);
	return members;
}

/* Frees a table; NULL is allowed. */
void cw_members_free(cw_members_t *members)
{
	if (!members)
		return;
	g_hash_table_unref(members->by_vm);
	g_free(members);
}

/* Returns the deadline of a lease that begins now. */
static int64_t lease_deadline(const cw_members_t *members, int64_t now_ms)
{
	return members->lease_ms ? now_ms + members->lease_ms : INT64_MAX;
}

void cw_members_renew(cw_members_t *members, member_t *member, int64_t now_ms)
{
	member->lease_ms = lease_deadline(members, now_ms);
	members->deadline_ms = MIN(members->deadline_ms, member->lease_ms);
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
	member->table_sequence = 0;
	if (is_gone(member))
		members->gone_count--;
}

/* Marks a member as changed at a table sequence. */
static void touch(cw_members_t *members, member_t *member, uint64_t sequence)
{
	member->table_sequence = sequence;
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

/* Forgets the endpoints longest gone, once there are more than twice the number to keep. */
static void prune_gone(cw_members_t *members)
{
	GList *link = members->changes.head;

	if (members->gone_count <= 2 * GONE_KEPT)
		return;
	while (link && members->gone_count > GONE_KEPT) {
		member_t *member = link->data;

		link = link->next;
		if (!is_gone(member))
			continue;
		members->oldest_sequence = member->table_sequence;
		cw_members_remove(members, member);
	}
}

member_t *cw_members_member(cw_members_t *members, const char *vm)
{
	member_t *member = g_hash_table_lookup(members->by_vm, vm);

	if (member)
		return member;
	member = g_new0(member_t, 1);
	member->lease_ms = INT64_MAX;
	member->link.data = member;
	g_hash_table_insert(members->by_vm, g_strdup(vm), member);
	return member;
}

void cw_members_set(cw_members_t *members, member_t *member, const Caraway__Endpoint *endpoint,
		    uint64_t sequence)
{
	Caraway__Endpoint *copy = cw_message_copy(&endpoint->base);

	cw_members_unlink(members, member);
	cw_message_free(member->endpoint);
	member->endpoint = copy;
	member->carried = false;
	member->expired = false;
	touch(members, member, sequence);
	prune_gone(members);
}

/* Changes the state of an endpoint, at the source. */
static void set_state(cw_members_t *members, member_t *member, Caraway__EndpointState state)
{
	cw_members_unlink(members, member);
	member->endpoint->state = state;
	touch(members, member, ++members->sequence);
}

/* Brings back an endpoint whose lease had run out, when it reports again. */
static void revive(cw_members_t *members, member_t *member)
{
	if (!member->expired)
		return;
	member->expired = false;
	set_state(members, member, member->state_before);
}

/* Orders (incarnation, sequence); negative when the first is older. */
static int compare_state(uint64_t incarnation, uint64_t sequence, const Caraway__Endpoint *held)
{
	if (incarnation != held->incarnation)
		return incarnation < held->incarnation ? -1 : 1;
	if (sequence != held->sequence)
		return sequence < held->sequence ? -1 : 1;
	return 0;
}

/*
 * Takes an endpoint's own announcement, at the source.  The newest
 * (incarnation, sequence) of a VM wins; CW_ERR_STALE for an older one.  An
 * announcement held already renews the lease and brings back an endpoint that
 * had expired.
 */
cw_status_t cw_members_announce(cw_members_t *members, const Caraway__Endpoint *endpoint, int64_t now_ms)
{
	member_t *member;
	int order;

	if (!*endpoint->vm)
		return cw_fail(CW_ERR_DAMAGED, "an endpoint names no VM");
	member = cw_members_member(members, endpoint->vm);
	order = member->endpoint ? compare_state(endpoint->incarnation, endpoint->sequence, member->endpoint)
				 : 1;
	if (order < 0)
		return cw_fail(CW_ERR_STALE, "a newer state of VM %s is held", endpoint->vm);
	if (order > 0)
		cw_members_set(members, member, endpoint, ++members->sequence);
	else
		revive(members, member);
	cw_members_renew(members, member, now_ms);
	return CW_OK;
}

/*
 * Renews the lease of an endpoint, at the source, and keeps the report;
 * utc_ms is the time to show for it.  CW_ERR_NOT_FOUND when the endpoint is
 * not known in this state and must be announced; CW_ERR_STALE when the report
 * is of an older state.
 */
cw_status_t cw_members_report(cw_members_t *members, const Caraway__Report *report, int64_t now_ms,
			      int64_t utc_ms)
{
	member_t *member = g_hash_table_lookup(members->by_vm, report->vm);
	int order;

	if (!member || !member->endpoint)
		return cw_fail(CW_ERR_NOT_FOUND, "VM %s has not announced itself", report->vm);
	order = compare_state(report->incarnation, report->sequence, member->endpoint);
	if (order > 0)
		return cw_fail(CW_ERR_NOT_FOUND, "VM %s has announced an older state", report->vm);
	if (order < 0)
		return cw_fail(CW_ERR_STALE, "report of an older state of VM %s", report->vm);
	revive(members, member);
	cw_members_renew(members, member, now_ms);
	cw_message_free(member->report);
	member->report = cw_message_copy(&report->base);
	member->reported_ms = utc_ms;
	return CW_OK;
}

/* Ends the lease of a member: its endpoint is gone and its report forgotten. */
static void expire(cw_members_t *members, member_t *member)
{
	member->lease_ms = INT64_MAX;
	cw_message_free(member->report);
	member->report = NULL;
	if (is_gone(member))
		return;
	member->expired = true;
	member->state_before = member->endpoint->state;
	set_state(members, member, CARAWAY__ENDPOINT_STATE__ENDPOINT_GONE);
}

/* Returns the members whose lease has run out, borrowed, and notes the next deadline. */
static GPtrArray *expired_members(cw_members_t *members, int64_t now_ms)
{
	GPtrArray *expired = g_ptr_array_new();
	GHashTableIter iter;
	void *data;

	members->deadline_ms = INT64_MAX;
	g_hash_table_iter_init(&iter, members->by_vm);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		member_t *member = data;

		if (member->lease_ms <= now_ms)
			g_ptr_array_add(expired, member);
		else
			members->deadline_ms = MIN(members->deadline_ms, member->lease_ms);
	}
	return expired;
}

/*
 * Marks endpoints whose lease has run out as gone, and forgets those carried
 * over from an earlier epoch that nobody has named since; returns how many.
 */
size_t cw_members_expire(cw_members_t *members, int64_t now_ms)
{
	GPtrArray *expired;
	size_t count;

	if (now_ms < members->deadline_ms)
		return 0;
	expired = expired_members(members, now_ms);
	count = expired->len;
	for (size_t i = 0; i < count; i++) {
		member_t *member = g_ptr_array_index(expired, i);

		if (member->carried)
			cw_members_remove(members, member);
		else if (members->source)
			expire(members, member);
		else
			member->lease_ms = INT64_MAX;
	}
	g_ptr_array_unref(expired);
	prune_gone(members);
	return count;
}

/* Returns when the next lease may run out; INT64_MAX when none can. */
int64_t cw_members_deadline_ms(const cw_members_t *members)
{
	return members->deadline_ms;
}

/*
 * Begins an epoch in which this table is the source: every endpoint held keeps
 * its place and gets a whole lease.  The numbering goes on, so that children
 * that hold a position of the epoch before are sent only what they lack.
 */
void cw_members_lead(cw_members_t *members, uint64_t epoch, int64_t now_ms)
{
	GHashTableIter iter;
	void *data;

	members->base_epoch = members->epoch;
	members->base_sequence = members->sequence;
	members->epoch = epoch;
	members->source = true;
	members->deadline_ms = INT64_MAX;
	g_hash_table_iter_init(&iter, members->by_vm);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		member_t *member = data;

		if (member->carried)
			touch(members, member, ++members->sequence);
		member->carried = false;
		if (!is_gone(member))
			cw_members_renew(members, member, now_ms);
	}
}

/* Ends the part of this table as the source: it changes only by what a parent sends. */
void cw_members_follow(cw_members_t *members)
{
	members->source = false;
}
