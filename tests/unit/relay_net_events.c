/* Event loop of the relay simulation: message delivery, ticks, and the actions of relays. */
#include <string.h>

#include "relay_net_internal.h"

enum {
	CONFIRM_DELAY_US = 1000,  /* until a quorum has confirmed the leader */
	REORDER_DELAY_FACTOR = 40 /* multiplies the delay of a message to be overtaken */
};

/* Orders events by time, then in the order in which they were scheduled. */
static gint compare_events(gconstpointer a, gconstpointer b, gpointer data)
{
	const net_event_t *left = a;
	const net_event_t *right = b;

	(void)data;
	if (left->time_us != right->time_us)
		return left->time_us < right->time_us ? -1 : 1;
	return left->order < right->order ? -1 : left->order > right->order;
}

/* Frees an event. */
void net_event_free(void *data)
{
	net_event_t *event = data;

	if (event->message)
		g_bytes_unref(event->message);
	g_free(event);
}

/* Schedules an event after a delay. */
void net_schedule_event(net_t *net, net_event_t event, int64_t delay_us)
{
	net_event_t *copy = g_memdup2(&event, sizeof(event));

	copy->time_us = net->now_us + delay_us;
	copy->order = net->event_count++;
	copy->to_incarnation = net_node(net, (size_t)event.to)->incarnation;
	g_sequence_insert_sorted(net->events, copy, compare_events, NULL);
}

/* Returns true if messages from one node to another are dropped. */
static bool is_link_cut(const net_t *net, int from, int to)
{
	for (guint i = 0; i < net->cut_links->len; i++) {
		const cut_link_t *cut = &g_array_index(net->cut_links, cut_link_t, i);

		if ((cut->from == from || cut->from == NET_NO_NODE) &&
		    (cut->to == to || cut->to == NET_NO_NODE))
			return true;
	}
	return false;
}

/* Returns the random delay of a message in microseconds. */
static int64_t link_delay(net_t *net)
{
	int64_t delay_us = net->options.link_delay_us;

	if (net->options.jitter_us)
		delay_us += g_rand_int_range(net->random, 0, (gint32)net->options.jitter_us);
	if (net->options.reorder_percent &&
	    (uint32_t)g_rand_int_range(net->random, 0, 100) < net->options.reorder_percent)
		delay_us *= REORDER_DELAY_FACTOR;
	return delay_us;
}

/* Sends a message over a link, which may drop, duplicate or delay it. */
void net_transmit(net_t *net, net_node_t *from, net_node_t *to, const Caraway__Message *message)
{
	bool delivered = to->relay && !is_link_cut(net, from->id, to->id);
	net_event_t event = {.type = EV_MESSAGE, .to = to->id, .from = from->id};
	bool duplicated = net->options.duplicate_percent &&
			  (uint32_t)g_rand_int_range(net->random, 0, 100) < net->options.duplicate_percent;

	event.is_answer = message->body_case != CARAWAY__MESSAGE__BODY_PULL;
	event.message = cw_message_pack(&message->base);
	from->sent_messages++;
	from->sent_bytes += g_bytes_get_size(event.message);
	if (event.is_answer)
		from->sent_answer_bytes += g_bytes_get_size(event.message);
	if (net->callbacks.message_sent)
		net->callbacks.message_sent(net->callbacks.data, from, to, message, delivered, net->now_us);
	if (delivered)
		net_schedule_event(net, event, link_delay(net));
	if (delivered && duplicated) {
		g_bytes_ref(event.message);
		net_schedule_event(net, event, link_delay(net));
	}
	if (!delivered)
		g_bytes_unref(event.message);
}

/* Schedules a tick at the deadline of a node's relay; it replaces the pending one. */
static void schedule_tick(net_t *net, net_node_t *node)
{
	int64_t deadline_us = cw_relay_next_tick_ms(node->relay) * US_PER_MS;
	net_event_t event = {.type = EV_TICK, .to = node->id, .from = node->id};

	if (deadline_us == node->tick_us)
		return;
	node->tick_us = deadline_us;
	event.token = ++node->tick_token;
	if (deadline_us < INT64_MAX / 2)
		net_schedule_event(net, event, MAX(0, deadline_us - net->now_us));
}

/*
 * Makes a proxy use the configuration in its feed and reports it to the callback, if its VM is registered
 * and its relay is ready; the variant with ignore_floor does not wait for the relay.
 */
static void use_configuration(net_t *net, net_node_t *node)
{
	const cw_catalog_t *catalog = cw_feed_catalog(node->feed);
	const Caraway__Vm *vm = cw_catalog_vm(catalog, node->name);
	cw_config_t *config;

	if (!vm || (!cw_relay_is_ready(node->relay) && !net->options.ignore_floor))
		return;
	node->used_version = cw_feed_version(node->feed);
	if (!net->callbacks.config_used)
		return;
	config = cw_catalog_resolve(catalog, vm);
	net->callbacks.config_used(net->callbacks.data, node, config, net->now_us);
	cw_config_free(config);
}

/* Sends a pull to the parent; the send fails if its process is down. */
static void send_pull(net_t *net, net_node_t *node, const cw_relay_action_t *action)
{
	net_node_t *to = net_find_node(net, action->address);
	net_event_t event = {.type = EV_SEND_FAILED, .to = node->id, .from = to->id};

	if (to->relay)
		net_transmit(net, node, to, action->message);
	else
		net_schedule_event(net, event, net->options.link_delay_us);
}

/* Starts a confirmation of the leader by a quorum, which ends after a fixed delay. */
static void start_confirmation(net_t *net, const net_node_t *node, uint64_t cookie)
{
	net_event_t event = {.type = EV_CONFIRMATION_END, .to = node->id, .from = node->id};

	event.token = cookie;
	event.read_index = net->log->len;
	net_schedule_event(net, event, CONFIRM_DELAY_US);
}

/* Performs an action returned by the relay of a node. */
static void run_action(net_t *net, net_node_t *node, const cw_relay_action_t *action)
{
	switch (action->type) {
	case CW_RELAY_AC_SEND:
		send_pull(net, node, action);
		break;
	case CW_RELAY_AC_ANSWER:
		net_transmit(net, node, net_find_node(net, g_bytes_get_data(action->peer, NULL)),
			     action->message);
		break;
	case CW_RELAY_AC_CONFIGURATION:
		use_configuration(net, node);
		break;
	case CW_RELAY_AC_CONFIRM:
		start_confirmation(net, node, action->cookie);
		break;
	case CW_RELAY_AC_DISCONNECT:
		if (net->callbacks.disconnected && !node->is_control_replica)
			net->callbacks.disconnected(net->callbacks.data, node);
		break;
	case CW_RELAY_AC_COUNT:
		node->counters[action->counter]++;
		break;
	default:
		break;
	}
}

/* Steps the relay of a node and performs the actions that it returns. */
void net_step(net_t *net, net_node_t *node, const cw_relay_event_t *event)
{
	cw_relay_actions_t actions;
	uint64_t index = cw_feed_index(node->feed);

	cw_relay_actions_init(&actions);
	cw_relay_step(node->relay, event, net->now_us / US_PER_MS, &actions);
	for (guint i = 0; i < actions.items->len; i++)
		run_action(net, node, &g_array_index(actions.items, cw_relay_action_t, i));
	cw_relay_actions_clear(&actions);
	if (net->options.ignore_floor && !node->is_control_replica && cw_feed_index(node->feed) != index)
		use_configuration(net, node);
	schedule_tick(net, node);
}

/* Corrupts the snapshot and the last record of an update, so that their checksums no longer match. */
static void corrupt_message(Caraway__Message *message)
{
	Caraway__News *news;

	if (message->body_case != CARAWAY__MESSAGE__BODY_NEWS)
		return;
	news = message->news;
	if (news->snapshot.len)
		news->snapshot.data[news->snapshot.len / 2] ^= 1;
	if (news->n_records)
		news->records[news->n_records - 1]->chain ^= 1;
}

/* Delivers a message to the relay of a node. */
static void deliver(net_t *net, net_node_t *node, const net_event_t *event)
{
	net_node_t *from = net_node(net, (size_t)event->from);
	gsize length;
	const void *data = g_bytes_get_data(event->message, &length);
	Caraway__Message *message = caraway__message__unpack(NULL, length, data);
	cw_relay_event_t relay_event = {.address = from->name};

	node->received_bytes += length;
	if (from->corrupts_messages && event->is_answer)
		corrupt_message(message);
	switch (message->body_case) {
	case CARAWAY__MESSAGE__BODY_PULL:
		relay_event.type = CW_RELAY_EV_PULL;
		relay_event.pull = message->pull;
		relay_event.peer = g_bytes_new(from->name, strlen(from->name) + 1);
		relay_event.utc_ms = net->now_us / US_PER_MS;
		break;
	case CARAWAY__MESSAGE__BODY_NEWS:
		relay_event.type = CW_RELAY_EV_UPDATE;
		relay_event.update = message->news;
		break;
	default:
		relay_event.type = CW_RELAY_EV_REFUSED;
		relay_event.refused = message->pull_refused;
		break;
	}
	net_step(net, node, &relay_event);
	if (relay_event.peer)
		g_bytes_unref(relay_event.peer);
	cw_message_free(message);
}

/* Returns true if a replica leads and can exchange messages with a majority, itself included. */
static bool has_quorum(const net_t *net, const net_node_t *node)
{
	uint32_t reached = 1;

	for (uint32_t i = 0; i < net->options.control_replicas; i++) {
		const net_node_t *other = net_node(net, i);

		if (other != node && other->relay && !is_link_cut(net, node->id, other->id) &&
		    !is_link_cut(net, other->id, node->id))
			reached++;
	}
	return net->leader == node->id && 2 * reached > net->options.control_replicas;
}

/* Ends a confirmation; it fails if the replica has no quorum, or is no longer the leader. */
static void end_confirmation(net_t *net, net_node_t *node, const net_event_t *event)
{
	cw_relay_event_t result = {.type = CW_RELAY_EV_CONFIRMED, .cookie = event->token};

	if (!has_quorum(net, node)) {
		result.type = CW_RELAY_EV_UNCONFIRMED;
		net_step(net, node, &result);
		return;
	}
	net_apply_log(net, node, event->read_index);
	net_step(net, node, &result);
}

/* Processes an event. */
static void handle_event(net_t *net, const net_event_t *event)
{
	net_node_t *node = net_node(net, (size_t)event->to);
	cw_relay_event_t relay_event = {.type = CW_RELAY_EV_TICK};

	/* Only messages may reach a process that was started after the event was scheduled. */
	if (!node->relay || (event->type != EV_MESSAGE && node->incarnation != event->to_incarnation))
		return;
	switch (event->type) {
	case EV_TICK:
		if (event->token != node->tick_token)
			return;
		node->tick_us = -1;
		break;
	case EV_MESSAGE:
		deliver(net, node, event);
		return;
	case EV_SEND_FAILED:
		relay_event.type = CW_RELAY_EV_SEND_FAILED;
		relay_event.address = net_node(net, (size_t)event->from)->name;
		break;
	case EV_CONFIRMATION_END:
		end_confirmation(net, node, event);
		return;
	case EV_APPLY:
		if (node->log_paused || is_link_cut(net, net->leader, node->id))
			return;
		net_apply_log(net, node, event->read_index);
		relay_event.type = CW_RELAY_EV_FEED;
		break;
	}
	net_step(net, node, &relay_event);
}

/* Runs the simulation for a duration of virtual time. */
void net_run(net_t *net, int64_t duration_us)
{
	int64_t end_us = net->now_us + duration_us;

	for (;;) {
		GSequenceIter *first = g_sequence_get_begin_iter(net->events);
		net_event_t *event;

		if (g_sequence_iter_is_end(first))
			break;
		event = g_sequence_get(first);
		if (event->time_us > end_us)
			break;
		net->now_us = event->time_us;
		handle_event(net, event);
		g_sequence_remove(first);
	}
	net->now_us = end_us;
}
