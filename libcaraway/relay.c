/*
 * The relay: distributes feed, members and stamps down a tree of proxies, and
 * collects endpoints and reports from it.
 *
 * Freshness: only a leader whose leadership a quorum has confirmed issues a
 * stamp, and stamps are forwarded unchanged.  A process that has received no
 * newer stamp within the freshness bound leaves its parent, even when the
 * connection works: a cycle of parents or an isolated replica cannot produce
 * new stamps.  A stamp counts only when the feed has reached the index named by
 * the last one that counted, so a parent that forwards stamps but no records is
 * left too.
 *
 * Floor: a proxy that starts uses no configuration until its feed contains
 * everything that was committed when it started.  It sends a numbered floor
 * request, which is forwarded up the tree to the leader.  The leader answers
 * after a confirmation that started after the request arrived, and the answer,
 * the index that the feed must reach, returns the same way.
 */
#include "relay_internal.h"

/* A confirmation that is not answered within this many stamp intervals is restarted. */
enum { CONFIRM_TIMEOUT_STAMPS = 3 };

/* Delay before a refused confirmation is restarted. */
enum { CONFIRM_RETRY_MS = 50 };

/* The feed counts as the newest for this time after the confirmation of a stamp that covers no more than it has. */
enum { CURRENT_MS = 1500 };

void cw_relay_add_count(cw_relay_actions_t *actions, cw_relay_counter_t counter)
{
	cw_relay_add_action(actions, CW_RELAY_AC_COUNT)->counter = counter;
}

cw_relay_action_t *cw_relay_add_action(cw_relay_actions_t *actions, cw_relay_action_type_t type)
{
	cw_relay_action_t action = {.type = type};

	g_array_append_val(actions->items, action);
	return &g_array_index(actions->items, cw_relay_action_t, actions->items->len - 1);
}

/* Frees the contents of an action. */
static void action_clear(void *data)
{
	cw_relay_action_t *action = data;

	cw_message_free(action->message);
	cw_message_free(action->endpoint);
	g_free(action->address);
	if (action->peer)
		g_bytes_unref(action->peer);
}

/* Initializes an empty list of actions. */
void cw_relay_actions_init(cw_relay_actions_t *actions)
{
	actions->items = g_array_new(FALSE, FALSE, sizeof(cw_relay_action_t));
	g_array_set_clear_func(actions->items, action_clear);
}

/* Frees a list of actions and their contents. */
void cw_relay_actions_clear(cw_relay_actions_t *actions)
{
	g_array_unref(actions->items);
	actions->items = NULL;
}

/* Replaces the addresses of the control replicas. */
void cw_relay_set_control_addresses(cw_relay_t *relay, const char *const *controls, size_t count)
{
	g_strfreev(relay->control_addresses);
	relay->control_addresses = g_new0(char *, count + 1);
	for (size_t i = 0; i < count; i++)
		relay->control_addresses[i] = g_strdup(controls[i]);
	relay->options.control_address_count = count;
}

/* Copies the strings of the options into the relay. */
static void copy_options(cw_relay_t *relay, const cw_relay_options_t *options)
{
	relay->options = *options;
	relay->options.vm = g_strdup(options->vm);
	relay->options.zone = g_strdup(options->zone);
	relay->options.control_addresses = NULL;
	cw_relay_set_control_addresses(relay, options->control_addresses, options->control_address_count);
}

/* Returns a relay without parent or children. */
cw_relay_t *cw_relay_new(const cw_relay_options_t *options, cw_feed_t *feed, cw_members_t *members,
			 int64_t now_ms)
{
	cw_relay_t *relay = g_new0(cw_relay_t, 1);

	copy_options(relay, options);
	relay->feed = feed;
	relay->members = members;
	relay->random = g_rand_new_with_seed((guint32)(options->seed ^ options->seed >> 32));
	caraway__stamp__init(&relay->stamp);
	relay->ready = options->kind == CW_RELAY_REPLICA;
	relay->floor_requests = relay->ready ? 0 : 1;
	/* Numbers start at the incarnation, above those of any earlier run of this process. */
	relay->floor_sent_number = options->incarnation;
	relay->request = options->incarnation;
	relay->parent.retry_ms = now_ms;
	relay->left_parents = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	relay->hints = g_ptr_array_new_with_free_func(g_free);
	relay->pending_endpoints =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, cw_relay_pending_free);
	relay->pending_reports =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, cw_relay_pending_free);
	relay->early_pull_ms = INT64_MAX;
	relay->report_by_ms = now_ms;
	relay->children = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cw_relay_child_free);
	cw_relay_rollouts_init(relay);
	cw_members_become_copy(members);
	return relay;
}

/* Frees a relay, but neither its feed nor its members; NULL is allowed. */
void cw_relay_free(cw_relay_t *relay)
{
	if (!relay)
		return;
	g_free((char *)relay->options.vm);
	g_free((char *)relay->options.zone);
	g_strfreev(relay->control_addresses);
	g_rand_free(relay->random);
	cw_message_free(relay->own_endpoint);
	g_free(relay->parent.address);
	g_free(relay->leader);
	g_hash_table_unref(relay->left_parents);
	g_ptr_array_unref(relay->hints);
	g_hash_table_unref(relay->pending_endpoints);
	g_hash_table_unref(relay->pending_reports);
	g_hash_table_unref(relay->children);
	cw_relay_rollouts_clear(relay);
	g_free(relay);
}

bool cw_relay_is_newer(const cw_relay_t *relay, const Caraway__Stamp *stamp)
{
	if (stamp->term != relay->stamp.term)
		return stamp->term > relay->stamp.term;
	return stamp->sequence > relay->stamp.sequence;
}

bool cw_relay_accept_stamp(cw_relay_t *relay, const Caraway__Stamp *stamp, uint32_t age_ms, int64_t now_ms)
{
	if (!cw_relay_is_newer(relay, stamp))
		return false;
	relay->stamp.term = stamp->term;
	relay->stamp.sequence = stamp->sequence;
	relay->stamp.feed_index = stamp->feed_index;
	relay->stamp_issued_ms = now_ms - age_ms;
	relay->stamp_bound_ms = 0;
	if (cw_feed_index(relay->feed) < relay->fresh_index)
		return false;
	relay->fresh_index = stamp->feed_index;
	relay->fresh_until_ms = now_ms + relay->options.freshness_ms;
	return true;
}

void cw_relay_bound_stamp(cw_relay_t *relay, const Caraway__Stamp *stamp, int64_t bound_ms)
{
	if (stamp->term == relay->stamp.term && stamp->sequence == relay->stamp.sequence)
		relay->stamp_bound_ms = MAX(relay->stamp_bound_ms, bound_ms);
}

/* Notes the confirmation of the newest stamp once the feed has its records. */
static void note_confirmation(cw_relay_t *relay)
{
	if (relay->ready && relay->stamp.term && cw_feed_index(relay->feed) >= relay->stamp.feed_index)
		relay->confirmed_ms = MAX(relay->confirmed_ms, relay->stamp_bound_ms);
}

void cw_relay_record_floor(cw_relay_t *relay, uint64_t covers, uint64_t feed_index)
{
	relay->floor_answered = MAX(relay->floor_answered, covers);
	if (relay->floor_known)
		return;
	relay->floor_known = true;
	relay->floor_index = feed_index;
}

void cw_relay_check_ready(cw_relay_t *relay, cw_relay_actions_t *actions)
{
	if (relay->ready || !relay->floor_known || cw_feed_index(relay->feed) < relay->floor_index)
		return;
	relay->ready = true;
	cw_relay_add_action(actions, CW_RELAY_AC_CONFIGURATION);
}

/* Asks the embedding program to confirm leadership, for a new stamp. */
static void begin_confirmation(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	relay->confirm_pending = true;
	relay->confirm_covers = relay->floor_requests;
	relay->confirm_start_ms = now_ms;
	relay->confirm_due_ms = now_ms + relay->options.stamp_ms;
	relay->confirm_timeout_ms = now_ms + (int64_t)CONFIRM_TIMEOUT_STAMPS * relay->options.stamp_ms;
	cw_relay_add_action(actions, CW_RELAY_AC_CONFIRM)->cookie = ++relay->confirm_cookie;
}

/* Returns when the next confirmation starts; a pending one is first given its timeout. */
static int64_t next_confirmation_ms(const cw_relay_t *relay)
{
	return relay->confirm_pending ? relay->confirm_timeout_ms : relay->confirm_due_ms;
}

/* Starts a confirmation when a stamp is due or a floor request is pending; expires leases. */
static void leader_tick(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions)
{
	bool floor_due = !relay->confirm_pending && relay->floor_requests > relay->floor_answered &&
			 now_ms >= relay->confirm_not_before_ms;

	if (floor_due || now_ms >= next_confirmation_ms(relay))
		begin_confirmation(relay, now_ms, actions);
	if (cw_members_expire(relay->members, now_ms))
		cw_relay_add_action(actions, CW_RELAY_AC_ENDPOINTS);
}

/* Issues a stamp and answers the floor requests that arrived before the confirmation started. */
static void handle_confirmed(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms)
{
	Caraway__Stamp stamp = CARAWAY__STAMP__INIT;

	if (!relay->leading || event->cookie != relay->confirm_cookie || !relay->confirm_pending)
		return;
	relay->confirm_pending = false;
	stamp.term = relay->lead_term;
	stamp.sequence = ++relay->lead_sequence;
	stamp.feed_index = cw_feed_index(relay->feed);
	cw_relay_accept_stamp(relay, &stamp, (uint32_t)(now_ms - relay->confirm_start_ms), now_ms);
	cw_relay_bound_stamp(relay, &stamp, relay->confirm_start_ms);
	cw_relay_record_floor(relay, relay->confirm_covers, stamp.feed_index);
}

/* Schedules a retry of a refused confirmation: a new leader is refused until it has committed an entry. */
static void handle_unconfirmed(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms)
{
	if (!relay->leading || event->cookie != relay->confirm_cookie || !relay->confirm_pending)
		return;
	relay->confirm_pending = false;
	relay->confirm_due_ms = now_ms + CONFIRM_RETRY_MS;
	relay->confirm_not_before_ms = relay->confirm_due_ms;
}

/* Starts to issue stamps and makes the member table authoritative. */
static void become_leader(cw_relay_t *relay, uint64_t term, int64_t now_ms, cw_relay_actions_t *actions)
{
	cw_relay_leave_parent(relay, now_ms, actions);
	relay->leading = true;
	relay->confirm_pending = false;
	relay->confirm_due_ms = now_ms;
	relay->lead_term = term;
	relay->lead_sequence = 0;
	cw_members_become_authoritative(relay->members, term, now_ms);
	g_hash_table_remove_all(relay->pending_endpoints);
	g_hash_table_remove_all(relay->pending_reports);
}

/* Stops leading, leaves the parent and stores the address of the leader to pull from; NULL: none is known. */
static void follow_leader(cw_relay_t *relay, const char *address, int64_t now_ms, cw_relay_actions_t *actions)
{
	if (!relay->leading && !g_strcmp0(address, relay->leader))
		return;
	if (relay->leading)
		cw_members_become_copy(relay->members);
	relay->leading = false;
	cw_relay_leave_parent(relay, now_ms, actions);
	g_free(relay->leader);
	relay->leader = g_strdup(address);
	g_hash_table_remove_all(relay->left_parents);
	relay->failed_parents = 0;
}

/* Stores a new state of this proxy's endpoint and queues it for the parent. */
static void set_own_endpoint(cw_relay_t *relay, const Caraway__Endpoint *endpoint, int64_t now_ms)
{
	cw_message_free(relay->own_endpoint);
	relay->own_endpoint = cw_message_copy(&endpoint->base);
	cw_relay_up_queue_endpoint(relay, endpoint, now_ms);
}

/* Handles one event, without the work that is due by time. */
static void handle_event(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			 cw_relay_actions_t *actions)
{
	switch (event->type) {
	case CW_RELAY_EV_TICK:
	case CW_RELAY_EV_FEED:
		break;
	case CW_RELAY_EV_PULL:
		cw_relay_handle_pull(relay, event, now_ms, actions);
		break;
	case CW_RELAY_EV_UPDATE:
		cw_relay_handle_update(relay, event, now_ms, actions);
		break;
	case CW_RELAY_EV_REFUSED:
		cw_relay_handle_refused(relay, event, now_ms, actions);
		break;
	case CW_RELAY_EV_SEND_FAILED:
		cw_relay_handle_send_failed(relay, event, now_ms, actions);
		break;
	case CW_RELAY_EV_ENDPOINT:
		set_own_endpoint(relay, event->endpoint, now_ms);
		break;
	case CW_RELAY_EV_STOPPING:
		relay->stopping = true;
		cw_relay_refuse_all(relay, CARAWAY__PULL_REASON__PULL_STOPPING, actions);
		break;
	case CW_RELAY_EV_LEAD:
		become_leader(relay, event->term, now_ms, actions);
		break;
	case CW_RELAY_EV_FOLLOW:
		follow_leader(relay, event->address, now_ms, actions);
		break;
	case CW_RELAY_EV_CONFIRMED:
		handle_confirmed(relay, event, now_ms);
		break;
	case CW_RELAY_EV_UNCONFIRMED:
		handle_unconfirmed(relay, event, now_ms);
		break;
	}
}

/* Handles an event, then does all work that is due. */
void cw_relay_step(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
		   cw_relay_actions_t *actions)
{
	handle_event(relay, event, now_ms, actions);
	if (relay->leading) {
		leader_tick(relay, now_ms, actions);
	} else {
		if (cw_members_expire(relay->members, now_ms))
			cw_relay_add_action(actions, CW_RELAY_AC_ENDPOINTS);
		cw_relay_pull_tick(relay, now_ms, actions);
	}
	note_confirmation(relay);
	cw_relay_serve(relay, now_ms, actions);
}

/* Returns the latest time at which the next event or TICK must be passed to cw_relay_step. */
int64_t cw_relay_next_tick_ms(const cw_relay_t *relay)
{
	int64_t deadline_ms =
		MIN(cw_relay_serve_next_tick_ms(relay), cw_members_next_expiry_ms(relay->members));

	if (relay->leading)
		return MIN(deadline_ms, next_confirmation_ms(relay));
	return MIN(deadline_ms, cw_relay_pull_next_tick_ms(relay));
}

/* Returns true once the configuration may be used; always for a replica. */
bool cw_relay_is_ready(const cw_relay_t *relay)
{
	return relay->ready;
}

/* Returns true while the newest stamp that counts is younger than the freshness bound. */
bool cw_relay_is_fresh(const cw_relay_t *relay, int64_t now_ms)
{
	return now_ms < relay->fresh_until_ms;
}

/* Returns until when the feed counts as the newest; 0 while it is not ready or lacks records of the newest stamp. */
int64_t cw_relay_current_until_ms(const cw_relay_t *relay)
{
	if (!relay->ready || !relay->stamp.term || cw_feed_index(relay->feed) < relay->stamp.feed_index)
		return 0;
	return relay->stamp_issued_ms + CURRENT_MS;
}

/*
 * Returns a lower bound of the time at which a quorum confirmed that the feed was the newest; 0: none is
 * known.  Unlike the time of cw_relay_current_until_ms() it does not depend on how long messages were on
 * their way or this process was suspended.
 */
int64_t cw_relay_confirmed_ms(const cw_relay_t *relay)
{
	return relay->confirmed_ms;
}

/* Returns the address of the parent, or NULL before it has sent an update with a stamp. */
const char *cw_relay_parent(const cw_relay_t *relay)
{
	return relay->parent.answered ? relay->parent.address : NULL;
}

/* Returns the depth in the tree, derived from that of the parent; 0 for a control replica. */
uint32_t cw_relay_depth(const cw_relay_t *relay)
{
	return relay->options.kind == CW_RELAY_REPLICA ? 0 : relay->parent.depth;
}

/* Returns the number of children. */
size_t cw_relay_child_count(const cw_relay_t *relay)
{
	return g_hash_table_size(relay->children);
}

/* Returns the newest stamp received or issued; its term is 0 before the first. */
const Caraway__Stamp *cw_relay_stamp(const cw_relay_t *relay)
{
	return &relay->stamp;
}
