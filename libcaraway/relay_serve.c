/* The relay as a parent: admits children, and holds and answers their pulls (long polling). */
#include "relay_internal.h"

/*
 * Time after the last pull of a child until it is removed when another process
 * asks to be admitted.  It is counted from the receipt of the pull, not from
 * its answer; a child whose pull is held is not removed.
 */
enum { CHILD_TIMEOUT_MS = 1000 };

void cw_relay_child_free(void *data)
{
	relay_child_t *child = data;

	g_free(child->vm);
	g_free(child->zone);
	g_free(child->feed_address);
	if (child->peer)
		g_bytes_unref(child->peer);
	g_free(child);
}

/* Counter of each reason for a refusal. */
static const cw_relay_counter_t refusal_counters[] = {
	[CARAWAY__PULL_REASON__PULL_FULL] = CW_RELAY_PULL_REFUSED_FULL,
	[CARAWAY__PULL_REASON__PULL_STALE] = CW_RELAY_PULL_REFUSED_STALE,
	[CARAWAY__PULL_REASON__PULL_STOPPING] = CW_RELAY_PULL_REFUSED_STOPPING,
	[CARAWAY__PULL_REASON__PULL_UNKNOWN_POSITION] = CW_RELAY_PULL_REFUSED_POSITION,
	[CARAWAY__PULL_REASON__PULL_NOT_READY] = CW_RELAY_PULL_REFUSED_NOT_READY,
};

/* Adds an answer to a peer; the caller sets the body of the message returned. */
static Caraway__Message *add_answer(cw_relay_actions_t *actions, GBytes *peer)
{
	cw_relay_action_t *action = cw_relay_add_action(actions, CW_RELAY_AC_ANSWER);

	action->peer = g_bytes_ref(peer);
	action->message = g_new(Caraway__Message, 1);
	caraway__message__init(action->message);
	return action->message;
}

/* Adds the children in a zone to a refusal: the refused proxy may pull from them. */
static void add_hints(const cw_relay_t *relay, const char *zone, Caraway__PullRefused *refused)
{
	GHashTableIter iter;
	void *data;

	refused->parents = g_new0(Caraway__Endpoint *, g_hash_table_size(relay->children) + 1);
	g_hash_table_iter_init(&iter, relay->children);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const relay_child_t *child = data;
		Caraway__Endpoint *endpoint;

		if (!*child->feed_address || !g_str_equal(child->zone, zone))
			continue;
		endpoint = g_new(Caraway__Endpoint, 1);
		caraway__endpoint__init(endpoint);
		endpoint->vm = g_strdup(child->vm);
		endpoint->feed_address = g_strdup(child->feed_address);
		refused->parents[refused->n_parents++] = endpoint;
	}
}

/* Refuses a pull of a peer; hint_zone: suggest the children in this zone as parents, NULL: none. */
static void refuse_pull(const cw_relay_t *relay, GBytes *peer, uint64_t request, const char *hint_zone,
			Caraway__PullReason reason, cw_relay_actions_t *actions)
{
	Caraway__Message *message = add_answer(actions, peer);
	Caraway__PullRefused *refused = g_new(Caraway__PullRefused, 1);

	caraway__pull_refused__init(refused);
	refused->request = request;
	refused->reason = reason;
	if (hint_zone)
		add_hints(relay, hint_zone, refused);
	message->body_case = CARAWAY__MESSAGE__BODY_PULL_REFUSED;
	message->pull_refused = refused;
	cw_relay_add_count(actions, refusal_counters[reason]);
}

/* Removes the children that have not pulled again in time. */
static void drop_inactive_children(cw_relay_t *relay, int64_t now_ms)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, relay->children);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const relay_child_t *child = data;

		if (!child->held && now_ms - child->last_pull_ms >= CHILD_TIMEOUT_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Returns the number of children in an availability zone. */
static size_t count_zone(const cw_relay_t *relay, const char *zone)
{
	GHashTableIter iter;
	void *data;
	size_t count = 0;

	g_hash_table_iter_init(&iter, relay->children);
	while (g_hash_table_iter_next(&iter, NULL, &data))
		count += g_str_equal(((const relay_child_t *)data)->zone, zone);
	return count;
}

/* Returns true when one more child may be admitted. */
static bool has_capacity(cw_relay_t *relay, const Caraway__Pull *pull, int64_t now_ms)
{
	drop_inactive_children(relay, now_ms);
	if (g_hash_table_size(relay->children) >= relay->options.max_children)
		return false;
	/* Other replicas have no zone and are not subject to the limit per zone. */
	return relay->options.kind == CW_RELAY_PROXY || !*pull->zone ||
	       count_zone(relay, pull->zone) < relay->options.zone_heads;
}

/* Updates the feed address of a child from its endpoint, when the pull contains it. */
static void update_feed_address(relay_child_t *child, const Caraway__Pull *pull)
{
	for (size_t i = 0; i < pull->n_endpoints; i++) {
		if (!g_str_equal(pull->endpoints[i]->vm, child->vm))
			continue;
		g_free(child->feed_address);
		child->feed_address = g_strdup(pull->endpoints[i]->feed_address);
	}
}

/* Adds a child; its feed address, if known, comes from the member table. */
static relay_child_t *add_child(cw_relay_t *relay, const Caraway__Pull *pull)
{
	const Caraway__Endpoint *endpoint = cw_members_endpoint(relay->members, pull->vm);
	relay_child_t *child = g_new0(relay_child_t, 1);

	child->vm = g_strdup(pull->vm);
	child->zone = g_strdup(pull->zone);
	child->feed_address = g_strdup(endpoint ? endpoint->feed_address : "");
	child->incarnation = pull->incarnation;
	g_hash_table_replace(relay->children, child->vm, child);
	return child;
}

/*
 * Records the floor request of a child, once for each number.  An early pull
 * forwards it, unless the answer to an earlier request is pending.
 */
static void record_floor_request(cw_relay_t *relay, relay_child_t *child, uint64_t floor, int64_t now_ms)
{
	if (floor == child->floor)
		return;
	child->floor = floor;
	if (!floor)
		return;
	child->floor_position = ++relay->floor_requests;
	if (!relay->floor_pending)
		relay->early_pull_ms = now_ms;
}

/* Records the position of a child and holds its pull. */
static void hold_pull(cw_relay_t *relay, relay_child_t *child, const cw_relay_event_t *event, int64_t now_ms)
{
	const Caraway__Pull *pull = event->pull;

	if (child->peer)
		g_bytes_unref(child->peer);
	child->peer = g_bytes_ref(event->peer);
	child->held = true;
	child->request = pull->request;
	child->feed_index = pull->feed_index;
	child->chain = pull->chain;
	child->endpoint_epoch = pull->endpoint_epoch;
	child->endpoint_sequence = pull->endpoint_sequence;
	child->stamp_term = pull->stamp ? pull->stamp->term : 0;
	child->stamp_sequence = pull->stamp ? pull->stamp->sequence : 0;
	child->last_pull_ms = now_ms;
	child->answer_by_ms = now_ms + relay->options.hold_ms;
	child->endpoints_due_ms = INT64_MAX;
	update_feed_address(child, pull);
	record_floor_request(relay, child, pull->floor, now_ms);
}

/* Returns true for a pull of an earlier incarnation of the child, or one not newer than its newest. */
static bool is_outdated(const relay_child_t *child, const Caraway__Pull *pull)
{
	if (pull->incarnation != child->incarnation)
		return pull->incarnation < child->incarnation;
	return pull->request <= child->request;
}

void cw_relay_handle_pull(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			  cw_relay_actions_t *actions)
{
	const Caraway__Pull *pull = event->pull;
	relay_child_t *child = g_hash_table_lookup(relay->children, pull->vm);

	if (child && is_outdated(child, pull)) {
		cw_relay_add_count(actions, CW_RELAY_PULL_CROSSED);
		return;
	}
	if (relay->stopping) {
		refuse_pull(relay, event->peer, pull->request, NULL, CARAWAY__PULL_REASON__PULL_STOPPING,
			    actions);
		return;
	}
	if (child && child->incarnation != pull->incarnation) {
		g_hash_table_remove(relay->children, pull->vm);
		child = NULL;
	}
	if (!child && !has_capacity(relay, pull, now_ms)) {
		refuse_pull(relay, event->peer, pull->request, pull->zone, CARAWAY__PULL_REASON__PULL_FULL,
			    actions);
		return;
	}
	cw_relay_up_receive(relay, event, now_ms, actions);
	if (!child)
		child = add_child(relay, pull);
	hold_pull(relay, child, event, now_ms);
}

/* Returns true when the newest stamp is newer than that of a child. */
static bool has_newer_stamp(const cw_relay_t *relay, const relay_child_t *child)
{
	if (relay->stamp.term != child->stamp_term)
		return relay->stamp.term > child->stamp_term;
	return relay->stamp.sequence > child->stamp_sequence;
}

/* Returns true when the member table has changes that a child lacks. */
static bool has_newer_endpoints(const cw_relay_t *relay, const relay_child_t *child)
{
	if (cw_members_epoch(relay->members) != child->endpoint_epoch)
		return cw_members_epoch(relay->members) > child->endpoint_epoch;
	return cw_members_sequence(relay->members) > child->endpoint_sequence;
}

/* Returns true when the floor request of a child can be answered. */
static bool has_floor_answer(const cw_relay_t *relay, const relay_child_t *child)
{
	return child->floor && child->floor_position <= relay->floor_answered;
}

/*
 * Returns true when the held pull of a child must be answered now.  Changed
 * endpoints wait for the batch time, which starts here, unless the child has no
 * member table yet.
 */
static bool is_due(const cw_relay_t *relay, relay_child_t *child, int64_t now_ms)
{
	if (cw_feed_index(relay->feed) > child->feed_index || has_newer_stamp(relay, child) ||
	    has_floor_answer(relay, child) || now_ms >= child->answer_by_ms)
		return true;
	if (!has_newer_endpoints(relay, child))
		return false;
	if (!child->endpoint_epoch)
		return true;
	if (child->endpoints_due_ms == INT64_MAX)
		child->endpoints_due_ms = now_ms + relay->options.batch_ms;
	return now_ms >= child->endpoints_due_ms;
}

/* Adds the endpoints that a child lacks to an answer. */
static void fill_endpoints(const cw_relay_t *relay, const relay_child_t *child, Caraway__News *update)
{
	if (has_newer_endpoints(relay, child)) {
		cw_members_fill_update(relay->members, child->endpoint_epoch, child->endpoint_sequence,
				       update);
		return;
	}
	update->endpoint_epoch = child->endpoint_epoch;
	update->endpoint_sequence = child->endpoint_sequence;
}

/* Answers the held pull of a child; takes ownership of update, which contains the records that it lacks. */
static void answer_pull(const cw_relay_t *relay, relay_child_t *child, Caraway__News *update, int64_t now_ms,
			cw_relay_actions_t *actions)
{
	Caraway__Message *message = add_answer(actions, child->peer);

	update->request = child->request;
	update->depth = cw_relay_depth(relay);
	if (relay->stamp.term) {
		update->stamp = cw_message_copy(&relay->stamp.base);
		update->stamp_age_ms = (uint32_t)CLAMP(now_ms - relay->stamp_issued_ms, 0, UINT32_MAX);
		if (relay->stamp_bound_ms)
			update->stamp_max_age_ms =
				(uint32_t)CLAMP(now_ms - relay->stamp_bound_ms + 1, 1, UINT32_MAX);
	}
	fill_endpoints(relay, child, update);
	cw_relay_fill_rollouts(relay, update);
	if (has_floor_answer(relay, child)) {
		update->floor = child->floor;
		child->floor = 0;
	}
	message->body_case = CARAWAY__MESSAGE__BODY_NEWS;
	message->news = update;
	child->held = false;
	cw_relay_add_count(actions, CW_RELAY_PULL_SERVED);
}

/*
 * Returns the reason to refuse a child that is due, or PULL_OK to answer it.
 * feed_status is the result of filling update with records; its failure is no
 * reason to refuse a child ahead of this feed, or a replica, which needs none.
 */
static Caraway__PullReason refusal_reason(const cw_relay_t *relay, const relay_child_t *child,
					  cw_status_t feed_status, const Caraway__News *update,
					  int64_t now_ms)
{
	if (feed_status != CW_OK && child->feed_index <= cw_feed_index(relay->feed))
		return CARAWAY__PULL_REASON__PULL_UNKNOWN_POSITION;
	if (update->n_records || update->records_packed.len || update->snapshot.len ||
	    has_newer_stamp(relay, child) || has_floor_answer(relay, child) ||
	    has_newer_endpoints(relay, child))
		return CARAWAY__PULL_REASON__PULL_OK;
	if (!relay->stamp.term)
		return CARAWAY__PULL_REASON__PULL_NOT_READY;
	if (!cw_relay_is_fresh(relay, now_ms))
		return CARAWAY__PULL_REASON__PULL_STALE;
	return CARAWAY__PULL_REASON__PULL_OK;
}

/* Answers or refuses a child that is due; returns true when it is refused. */
static bool serve_child(const cw_relay_t *relay, relay_child_t *child, int64_t now_ms,
			cw_relay_actions_t *actions)
{
	Caraway__News *update = g_new(Caraway__News, 1);
	Caraway__PullReason reason;
	cw_status_t status;

	caraway__news__init(update);
	status = cw_feed_fill_update(relay->feed, child->feed_index, child->chain,
				     relay->options.max_update_bytes, update);
	reason = refusal_reason(relay, child, status, update, now_ms);
	if (reason == CARAWAY__PULL_REASON__PULL_OK) {
		answer_pull(relay, child, update, now_ms, actions);
		return false;
	}
	cw_message_free(update);
	refuse_pull(relay, child->peer, child->request, NULL, reason, actions);
	return true;
}

/* Returns true when all held pulls must be answered or refused now: this process is no longer fresh. */
static bool is_stale(const cw_relay_t *relay, int64_t now_ms)
{
	return relay->stamp.term && !cw_relay_is_fresh(relay, now_ms);
}

void cw_relay_serve(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	bool stale = is_stale(relay, now_ms);
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, relay->children);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		relay_child_t *child = data;

		if (!child->held || (!is_due(relay, child, now_ms) && !stale))
			continue;
		if (serve_child(relay, child, now_ms, actions))
			g_hash_table_iter_remove(&iter);
	}
}

void cw_relay_refuse_all(cw_relay_t *relay, Caraway__PullReason reason, cw_relay_actions_t *actions)
{
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, relay->children);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const relay_child_t *child = data;

		if (child->held)
			refuse_pull(relay, child->peer, child->request, NULL, reason, actions);
		g_hash_table_iter_remove(&iter);
	}
}

/* Returns when the next held pull is due; INT64_MAX when none is held. */
int64_t cw_relay_serve_next_tick_ms(const cw_relay_t *relay)
{
	int64_t deadline_ms = INT64_MAX;
	GHashTableIter iter;
	void *data;

	g_hash_table_iter_init(&iter, relay->children);
	while (g_hash_table_iter_next(&iter, NULL, &data)) {
		const relay_child_t *child = data;

		if (!child->held)
			continue;
		deadline_ms = MIN(deadline_ms, MIN(child->answer_by_ms, child->endpoints_due_ms));
		if (relay->stamp.term)
			deadline_ms = MIN(deadline_ms, relay->fresh_until_ms);
	}
	return deadline_ms;
}
