/* Connects a relay to the sockets of a process: delivers events and executes its actions. */
#include "relay_io.h"

#include "clock.h"
#include "counters.h"

static const counter_t counter_by_relay_counter[CW_RELAY_COUNTER_COUNT] = {
	[CW_RELAY_PULL_SERVED] = COUNTER_PULL_SERVED,
	[CW_RELAY_PULL_REFUSED_FULL] = COUNTER_PULL_REFUSED_FULL,
	[CW_RELAY_PULL_REFUSED_STALE] = COUNTER_PULL_REFUSED_STALE,
	[CW_RELAY_PULL_REFUSED_STOPPING] = COUNTER_PULL_REFUSED_STOPPING,
	[CW_RELAY_PULL_REFUSED_POSITION] = COUNTER_PULL_REFUSED_POSITION,
	[CW_RELAY_PULL_REFUSED_NOT_READY] = COUNTER_PULL_REFUSED_NOT_READY,
	[CW_RELAY_PULL_CROSSED] = COUNTER_PULL_CROSSED,
	[CW_RELAY_NEWS_CROSSED] = COUNTER_NEWS_CROSSED,
	[CW_RELAY_NEWS_REFUSED_DAMAGED] = COUNTER_NEWS_REFUSED_DAMAGED,
	[CW_RELAY_NEWS_REFUSED_POSITION] = COUNTER_NEWS_REFUSED_POSITION,
	[CW_RELAY_PARENT_LEFT_STALE] = COUNTER_PARENT_LEFT_STALE,
	[CW_RELAY_PARENT_LEFT_REFUSED] = COUNTER_PARENT_LEFT_REFUSED,
	[CW_RELAY_PARENT_LEFT_SILENT] = COUNTER_PARENT_LEFT_SILENT,
	[CW_RELAY_PARENT_LEFT_NEWS] = COUNTER_PARENT_LEFT_NEWS,
	[CW_RELAY_PARENT_LEFT_FOREIGN] = COUNTER_PARENT_LEFT_FOREIGN,
};

/* Adds the encoded size of a feed message to a counter. */
static void count_bytes(counter_t counter, const Caraway__Message *message)
{
	counter_add(counter, caraway__message__get_packed_size(message));
}

/* Sends a message to a parent; the next tick reports a failed send to the relay. */
static void send_to_parent(relay_io_t *io, const cw_relay_action_t *action)
{
	if (link_clients_send(io->clients, action->address, action->message) == CW_OK)
		count_bytes(COUNTER_FEED_BYTES_SENT, action->message);
	else
		g_ptr_array_add(io->failed_sends, g_strdup(action->address));
}

/* Answers a child's pull; a child that has disconnected retries with another parent. */
static void send_answer(relay_io_t *io, const cw_relay_action_t *action)
{
	if (link_server_send(io->server, action->peer, action->message) == CW_OK)
		count_bytes(COUNTER_FEED_BYTES_SENT, action->message);
}

/* Executes one action of the relay. */
static void execute_action(relay_io_t *io, const cw_relay_action_t *action)
{
	switch (action->type) {
	case CW_RELAY_AC_SEND:
		send_to_parent(io, action);
		break;
	case CW_RELAY_AC_ANSWER:
		send_answer(io, action);
		break;
	case CW_RELAY_AC_DISCONNECT:
		link_clients_disconnect(io->clients, action->address);
		break;
	case CW_RELAY_AC_COUNT:
		counter_add(counter_by_relay_counter[action->counter], 1);
		break;
	case CW_RELAY_AC_CONFIGURATION:
	case CW_RELAY_AC_ENDPOINTS:
	case CW_RELAY_AC_ANNOUNCED:
	case CW_RELAY_AC_CONFIRM:
	case CW_RELAY_AC_PARENT:
		io->on_action(io->data, action);
		break;
	}
}

/* Passes an event to the relay and executes its actions in order. */
void relay_io_step(relay_io_t *io, const cw_relay_event_t *event)
{
	cw_relay_actions_t actions;

	cw_relay_actions_init(&actions);
	cw_relay_step(io->relay, event, clock_now_ms(), &actions);
	for (guint i = 0; i < actions.items->len; i++)
		execute_action(io, &g_array_index(actions.items, cw_relay_action_t, i));
	cw_relay_actions_clear(&actions);
}

/* Handles a pull from a child. */
void relay_io_handle_pull(relay_io_t *io, GBytes *peer, const Caraway__Pull *pull)
{
	cw_relay_event_t event = {.type = CW_RELAY_EV_PULL, .peer = peer, .pull = pull};

	event.utc_ms = clock_utc_ms();
	relay_io_step(io, &event);
}

/*
 * Handles a parent's answer to a pull; any other message is counted and dropped.
 * The address is copied, as the relay may drop the connection that owns it.
 */
void relay_io_handle_answer(relay_io_t *io, const char *address, const Caraway__Message *message)
{
	g_autofree char *from = g_strdup(address);
	cw_relay_event_t event = {.address = from};

	switch (message->body_case) {
	case CARAWAY__MESSAGE__BODY_NEWS:
		event.type = CW_RELAY_EV_UPDATE;
		event.update = message->news;
		break;
	case CARAWAY__MESSAGE__BODY_PULL_REFUSED:
		event.type = CW_RELAY_EV_REFUSED;
		event.refused = message->pull_refused;
		break;
	default:
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		return;
	}
	count_bytes(COUNTER_FEED_BYTES_RECEIVED, message);
	relay_io_step(io, &event);
}

/* Reports failed sends to the relay. */
static void report_failed_sends(relay_io_t *io)
{
	GPtrArray *failed_sends = io->failed_sends;

	if (!failed_sends->len)
		return;
	io->failed_sends = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < failed_sends->len; i++) {
		cw_relay_event_t event = {.type = CW_RELAY_EV_SEND_FAILED};

		event.address = g_ptr_array_index(failed_sends, i);
		relay_io_step(io, &event);
	}
	g_ptr_array_unref(failed_sends);
}

/* Reports failed sends to the relay and runs its timers. */
void relay_io_tick(relay_io_t *io)
{
	cw_relay_event_t event = {.type = CW_RELAY_EV_TICK};

	report_failed_sends(io);
	if (cw_relay_next_tick_ms(io->relay) <= clock_now_ms())
		relay_io_step(io, &event);
}

/* Takes ownership of a relay; server and clients are borrowed. */
void relay_io_init(relay_io_t *io, cw_relay_t *relay, link_server_t *server, link_clients_t *clients)
{
	io->relay = relay;
	io->server = server;
	io->clients = clients;
	io->failed_sends = g_ptr_array_new_with_free_func(g_free);
}

/* Frees the relay; does nothing if relay_io_init() was never called. */
void relay_io_clear(relay_io_t *io)
{
	if (!io->relay)
		return;
	cw_relay_free(io->relay);
	g_ptr_array_unref(io->failed_sends);
}
