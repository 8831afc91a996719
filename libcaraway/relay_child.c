/* The relay as a child: pulls from a parent, applies its updates, and moves to another parent. */
#include "relay_internal.h"

enum {
	CONNECT_MS = 600,      /* timeout for sending the first pull to a parent */
	CONNECT_WAIT_MS = 10,  /* delay before the second attempt; doubled with each */
	ANSWER_SLACK_MS = 500, /* allowed for an answer beyond the hold time of a pull */
	BACKOFF_MS = 40,       /* delay before the next parent is tried; doubled with each one left */
	BACKOFF_MAX_MS = 1000,
	HINT_BACKOFF_MS = 20,  /* delay before a parent suggested by a refusal is tried; not doubled */
	OTHER_ZONE_MS = 30000, /* longest time with a parent in another availability zone */
	NO_CANDIDATE_MS = 400, /* delay before the next choice when every parent is being avoided */
	AVOID_MS = 500, /* time for which a parent that was left is avoided; doubled with each one left */
	AVOID_MAX_MS = 4000,
	AVOID_DAMAGED_MS =
		30000,	  /* the same for one that sent an update that could not be applied; not doubled */
	MAX_DOUBLINGS = 8 /* of a backoff, so that its shift cannot overflow */
};

/* Returns a random time between half of a value and the value. */
static int64_t jitter(cw_relay_t *relay, int64_t value_ms)
{
	return value_ms / 2 + g_rand_int_range(relay->random, 0, (gint32)(value_ms / 2 + 1));
}

/* Returns a value doubled for each parent left, up to a maximum, with jitter. */
static int64_t backoff(cw_relay_t *relay, int64_t value_ms, int64_t max_ms)
{
	return jitter(relay, MIN(value_ms << MIN(relay->failed_parents, MAX_DOUBLINGS), max_ms));
}

/* Clears the parent; the next is chosen at retry_ms. */
static void clear_parent(cw_relay_t *relay, int64_t retry_ms, cw_relay_actions_t *actions)
{
	if (relay->parent.address)
		cw_relay_add_action(actions, CW_RELAY_AC_DISCONNECT)->address = relay->parent.address;
	relay->parent = (relay_parent_t){.state = PARENT_NONE, .retry_ms = retry_ms};
	relay->floor_pending = false;
	cw_relay_up_mark_unsent(relay);
}

void cw_relay_leave_parent(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	clear_parent(relay, now_ms, actions);
}

/* Leaves the parent for a reason and avoids it for a time. */
static void leave_and_avoid(cw_relay_t *relay, cw_relay_counter_t reason, int64_t now_ms,
			    cw_relay_actions_t *actions)
{
	int64_t avoid_ms = backoff(relay, AVOID_MS, AVOID_MAX_MS);

	if (reason == CW_RELAY_PARENT_LEFT_NEWS)
		avoid_ms = jitter(relay, AVOID_DAMAGED_MS);
	cw_relay_avoid_parent(relay, relay->parent.address, now_ms, avoid_ms);
	cw_relay_add_count(actions, reason);
	clear_parent(relay, now_ms + backoff(relay, BACKOFF_MS, BACKOFF_MAX_MS), actions);
	relay->failed_parents++;
}

/* Returns the number of the pending floor request, after starting one if any is unanswered; 0: none. */
static uint64_t start_floor_request(cw_relay_t *relay)
{
	if (!relay->floor_pending) {
		if (relay->floor_requests <= relay->floor_answered)
			return 0;
		relay->floor_pending = true;
		relay->floor_sent_number++;
		relay->floor_sent_covers = relay->floor_requests;
	}
	return relay->floor_sent_number;
}

/* Returns a message with a copy of a pull. */
static Caraway__Message *pull_message(const Caraway__Pull *pull)
{
	Caraway__Message *message = g_new(Caraway__Message, 1);

	caraway__message__init(message);
	message->body_case = CARAWAY__MESSAGE__BODY_PULL;
	message->pull = cw_message_copy(&pull->base);
	return message;
}

/* Sends the next pull to the parent. */
static void send_pull(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	relay_parent_t *parent = &relay->parent;
	bool replica = relay->options.kind == CW_RELAY_REPLICA;
	cw_relay_action_t *action = cw_relay_add_action(actions, CW_RELAY_AC_SEND);
	Caraway__Pull pull = CARAWAY__PULL__INIT;
	GPtrArray *evidence;

	pull.vm = (char *)relay->options.vm;
	pull.zone = (char *)relay->options.zone;
	pull.incarnation = relay->options.incarnation;
	pull.request = parent->request = ++relay->request;
	relay->pull_sent_ms[relay->request % RELAY_PULLS_REMEMBERED] = now_ms;
	/* The feed of a replica comes from the replicated log: request no records. */
	pull.feed_index = replica ? UINT64_MAX : cw_feed_index(relay->feed);
	pull.chain = cw_feed_chain(relay->feed);
	pull.endpoint_epoch = cw_members_epoch(relay->members);
	pull.endpoint_sequence = cw_members_sequence(relay->members);
	pull.stamp = relay->stamp.term ? &relay->stamp : NULL;
	pull.floor = start_floor_request(relay);
	cw_relay_up_queue_own(relay, now_ms);
	cw_relay_up_attach(relay, &pull);
	evidence = cw_relay_take_evidence(relay);
	pull.n_evidence = evidence->len;
	pull.evidence = (Caraway__RolloutEvidence **)evidence->pdata;
	action->address = g_strdup(parent->address);
	action->message = pull_message(&pull);
	g_free(pull.endpoints);
	g_free(pull.reports);
	g_ptr_array_unref(evidence);
	parent->state = PARENT_PULL_SENT;
	parent->answer_by_ms = now_ms + relay->options.hold_ms + ANSWER_SLACK_MS;
}

/* Tries another parent, or waits when all are being avoided. */
static void try_next(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	relay_parent_t *parent = &relay->parent;
	char *address = cw_relay_choose_parent(relay, now_ms);

	if (!address) {
		parent->retry_ms = now_ms + jitter(relay, NO_CANDIDATE_MS);
		return;
	}
	*parent = (relay_parent_t){.address = address};
	parent->first_request = relay->request + 1;
	parent->connect_by_ms = now_ms + CONNECT_MS;
	parent->connect_wait_ms = CONNECT_WAIT_MS;
	parent->stamp_by_ms = now_ms + relay->options.freshness_ms;
	parent->zone_check_ms = now_ms + jitter(relay, OTHER_ZONE_MS);
	send_pull(relay, now_ms, actions);
}

/* Applies the feed of an update; returns false when it is invalid. */
static bool apply_feed(cw_relay_t *relay, const Caraway__News *update, cw_relay_actions_t *actions)
{
	uint64_t index = cw_feed_index(relay->feed);

	if (relay->options.kind == CW_RELAY_REPLICA)
		return true;
	switch (cw_feed_apply_update(relay->feed, update)) {
	case CW_OK:
		if (cw_feed_index(relay->feed) == index)
			return true;
		if (relay->ready)
			cw_relay_add_action(actions, CW_RELAY_AC_CONFIGURATION);
		return true;
	case CW_ERR_STALE: /* answer to an earlier pull from the same position */
		return true;
	case CW_ERR_POSITION:
		cw_relay_add_count(actions, CW_RELAY_NEWS_REFUSED_POSITION);
		return false;
	default:
		cw_relay_add_count(actions, CW_RELAY_NEWS_REFUSED_DAMAGED);
		return false;
	}
}

/*
 * Applies the endpoints of an update; returns false when they are damaged.
 * Endpoints that are stale or start at another position are ignored.
 */
static bool apply_endpoints(cw_relay_t *relay, const Caraway__News *update, int64_t now_ms,
			    cw_relay_actions_t *actions)
{
	cw_status_t status;

	if (!update->endpoint_epoch)
		return true;
	status = cw_members_apply_update(relay->members, update, now_ms);
	if (status == CW_ERR_DAMAGED) {
		cw_relay_add_count(actions, CW_RELAY_NEWS_REFUSED_DAMAGED);
		return false;
	}
	if (status == CW_OK &&
	    (update->n_endpoints || update->endpoints_packed.len || update->endpoints_whole))
		cw_relay_add_action(actions, CW_RELAY_AC_ENDPOINTS);
	return true;
}

/*
 * Bounds when the confirmation of an update's stamp began.  The parent made the update after it had received
 * the pull, so after the pull was sent; how long the update was on its way, or waited here, is not known.
 */
static void bound_stamp(cw_relay_t *relay, const Caraway__News *update)
{
	int64_t pull_sent_ms = relay->pull_sent_ms[update->request % RELAY_PULLS_REMEMBERED];

	if (update->stamp_max_age_ms && update->request + RELAY_PULLS_REMEMBERED > relay->request)
		cw_relay_bound_stamp(relay, update->stamp,
				     pull_sent_ms - (int64_t)(update->stamp_max_age_ms - 1));
}

/* Applies the stamp and floor of an update; advanced: the update has extended the feed. */
static void apply_stamp(cw_relay_t *relay, const Caraway__News *update, bool advanced, int64_t now_ms,
			cw_relay_actions_t *actions)
{
	bool newer;

	if (!update->stamp)
		return;
	newer = cw_relay_is_newer(relay, update->stamp);
	if (cw_relay_accept_stamp(relay, update->stamp, update->stamp_age_ms, now_ms)) {
		relay->parent.stamp_by_ms = now_ms + relay->options.freshness_ms;
		relay->failed_parents = 0;
	} else if (newer && advanced) {
		/* Catching up may take longer than the freshness bound: keep a parent that makes progress. */
		relay->parent.stamp_by_ms = now_ms + relay->options.freshness_ms;
	}
	bound_stamp(relay, update);
	if (relay->floor_pending && update->floor == relay->floor_sent_number) {
		relay->floor_pending = false;
		cw_relay_record_floor(relay, relay->floor_sent_covers, update->stamp->feed_index);
	}
	if (!relay->parent.answered)
		cw_relay_add_action(actions, CW_RELAY_AC_PARENT)->address = g_strdup(relay->parent.address);
	relay->parent.answered = true;
	relay->parent.depth = update->depth + 1;
}

/* Returns true for an answer from the current parent to one of the pulls sent to it. */
static bool is_expected(const cw_relay_t *relay, const char *address, uint64_t request)
{
	const relay_parent_t *parent = &relay->parent;

	return parent->address && g_str_equal(parent->address, address) && request >= parent->first_request &&
	       request <= parent->request;
}

void cw_relay_handle_update(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			    cw_relay_actions_t *actions)
{
	const Caraway__News *update = event->update;
	uint64_t index = cw_feed_index(relay->feed);

	if (!is_expected(relay, event->address, update->request)) {
		cw_relay_add_count(actions, CW_RELAY_NEWS_CROSSED);
		return;
	}
	if (!apply_feed(relay, update, actions) || !apply_endpoints(relay, update, now_ms, actions)) {
		leave_and_avoid(relay, CW_RELAY_PARENT_LEFT_NEWS, now_ms, actions);
		return;
	}
	cw_relay_up_acknowledge(relay, update->request);
	apply_stamp(relay, update, cw_feed_index(relay->feed) != index, now_ms, actions);
	cw_relay_apply_rollouts(relay, update);
	cw_relay_check_ready(relay, actions);
	/* An answer to an older pull triggers no new one: the newest is still pending. */
	if (update->request == relay->parent.request)
		send_pull(relay, now_ms, actions);
}

/* Stores the addresses of other parents that a refusal suggests. */
static void store_hints(cw_relay_t *relay, const Caraway__PullRefused *refused)
{
	g_ptr_array_set_size(relay->hints, 0);
	for (size_t i = 0; i < refused->n_parents; i++) {
		const Caraway__Endpoint *parent = refused->parents[i];

		if (*parent->feed_address && !g_str_equal(parent->vm, relay->options.vm))
			g_ptr_array_add(relay->hints, g_strdup(parent->feed_address));
	}
}

void cw_relay_handle_refused(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			     cw_relay_actions_t *actions)
{
	const Caraway__PullRefused *refused = event->refused;

	if (!is_expected(relay, event->address, refused->request)) {
		cw_relay_add_count(actions, CW_RELAY_NEWS_CROSSED);
		return;
	}
	store_hints(relay, refused);
	leave_and_avoid(relay, CW_RELAY_PARENT_LEFT_REFUSED, now_ms, actions);
	if (relay->hints->len)
		relay->parent.retry_ms = now_ms + jitter(relay, HINT_BACKOFF_MS);
}

void cw_relay_handle_send_failed(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
				 cw_relay_actions_t *actions)
{
	relay_parent_t *parent = &relay->parent;

	if (!parent->address || !g_str_equal(parent->address, event->address))
		return;
	if (parent->answered || now_ms >= parent->connect_by_ms) {
		leave_and_avoid(relay, CW_RELAY_PARENT_LEFT_SILENT, now_ms, actions);
		return;
	}
	cw_relay_up_mark_unsent(relay);
	parent->state = PARENT_CONNECTING;
	parent->retry_ms = now_ms + parent->connect_wait_ms;
	parent->connect_wait_ms *= 2;
}

/* Leaves a parent in another availability zone, to choose one in this zone. */
static void return_to_own_zone(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	relay->parent.zone_check_ms = now_ms + OTHER_ZONE_MS;
	if (!cw_relay_is_in_other_zone(relay, relay->parent.address))
		return;
	cw_relay_add_count(actions, CW_RELAY_PARENT_LEFT_FOREIGN);
	relay->failed_parents = 0;
	clear_parent(relay, now_ms, actions);
}

/* Leaves the parent, or sends an early pull, when that is due while a pull is pending. */
static void pull_sent_tick(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	if (now_ms >= relay->parent.answer_by_ms)
		leave_and_avoid(relay, CW_RELAY_PARENT_LEFT_SILENT, now_ms, actions);
	else if (now_ms >= relay->parent.stamp_by_ms)
		leave_and_avoid(relay, CW_RELAY_PARENT_LEFT_STALE, now_ms, actions);
	else if (now_ms >= relay->parent.zone_check_ms)
		return_to_own_zone(relay, now_ms, actions);
	else if (now_ms >= relay->early_pull_ms)
		send_pull(relay, now_ms, actions);
}

/* Chooses or leaves a parent, or sends a pull, when that is due. */
void cw_relay_pull_tick(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	switch (relay->parent.state) {
	case PARENT_NONE:
		if (now_ms >= relay->parent.retry_ms)
			try_next(relay, now_ms, actions);
		break;
	case PARENT_CONNECTING:
		if (now_ms >= relay->parent.retry_ms)
			send_pull(relay, now_ms, actions);
		break;
	case PARENT_PULL_SENT:
		pull_sent_tick(relay, now_ms, actions);
		break;
	}
}

/* Returns when cw_relay_pull_tick() has work to do next. */
int64_t cw_relay_pull_next_tick_ms(const cw_relay_t *relay)
{
	const relay_parent_t *parent = &relay->parent;

	if (parent->state != PARENT_PULL_SENT)
		return parent->retry_ms;
	return MIN(MIN(parent->answer_by_ms, parent->stamp_by_ms),
		   MIN(parent->zone_check_ms, relay->early_pull_ms));
}
