/* Runs a relay over the sockets of a process. */
#include "relay_io.h"

#include "clock.h"
#include "counters.h"

static const counter_t counter_of[CW_RELAY_COUNTER_COUNT] = {
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

/* Counts the bytes of a message of the feed. */
static void count_bytes(counter_t counter, const Caraway__Message *message)
{
	counter_add(counter, caraway__message__get_packed_size(message));
}

/* Sends a message to a parent; the next tick tells the relay when nobody took it. */
static void send_message(relay_io_t *io, const cw_relay_action_t *action)
{
	if (link_clients_send(io->clients, action->address, action->message) == CW_OK)
		count_bytes(COUNTER_FEED_BYTES_SENT, action->message);
	else
		g_ptr_array_add(io->unsent, g_strdup(action->address));
}

/* Answers a child; one that is gone asks again elsewhere. */
static void answer_child(relay_io_t *io, const cw_relay_action_t *action)
{
	if (link_server_send(io->server, action->peer, action->message) == CW_OK)
		count_bytes(COUNTER_FEED_BYTES_SENT, action->message);
}

/* Carries out one action of the relay. */
static void carry_out(relay_io_t *io, const cw_relay_action_t *action)
{
	switch (action->type) {
	case CW_RELAY_AC_SEND:
		send_message(io, action);
		break;
	case CW_RELAY_AC_ANSWER:
		answer_child(io, action);
		break;
	case CW_RELAY_AC_DISCONNECT:
		link_clients_drop(io->clients, action->address);
		break;
	case CW_RELAY_AC_COUNT:
		counter_add(counter_of[action->count], 1);
		break;
	case CW_RELAY_AC_CONFIGURATION:
	case CW_RELAY_AC_ENDPOINTS:
	case CW_RELAY_AC_ANNOUNCED:
	case CW_RELAY_AC_CONFIRM:
	case CW_RELAY_AC_PARENT:
		io->action(io->data, action);
		break;
	}
}

/* Gives an event to the relay and carries out its actions in order. */
void relay_io_step(relay_io_t *io, const cw_relay_event_t *event)
{
	cw_relay_actions_t actions;

	cw_relay_actions_init(&actions);
	cw_relay_step(io->relay, event, clock_now_ms(), &actions);
	for (guint i = 0; i < actions.items->len; i++)
		carry_out(io, &g_array_index(actions.items, cw_relay_action_t, i));
	cw_relay_actions_clear(&actions);
}

/* Takes a child's pull. */
void relay_io_pull(relay_io_t *io, GBytes *peer, const Caraway__Pull *pull)
{
	cw_relay_event_t event = {.type = CW_RELAY_EV_PULL, .peer = peer, .pull = pull};

	event.utc_ms = clock_utc_ms();
	relay_io_step(io, &event);
}

/*
 * Takes a parent's answer; any other message is counted and dropped.  The
 * address is copied, as the relay may drop the connection that it belongs to.
 */
void relay_io_answer(relay_io_t *io, const char *address, const Caraway__Message *message)
{
	g_autofree char *from = g_strdup(address);
	cw_relay_event_t event = {.address = from};

	switch (message->body_case) {
	case CARAWAY__MESSAGE__BODY_NEWS:
		event.type = CW_RELAY_EV_NEWS;
		event.news = message->news;
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

/* Tells the relay of the messages that nobody took. */
static void report_unsent(relay_io_t *io)
{
	GPtrArray *unsent = io->unsent;

	if (!unsent->len)
		return;
	io->unsent = g_ptr_array_new_with_free_func(g_free);
	for (guint i = 0; i < unsent->len; i++) {
		cw_relay_event_t event = {.type = CW_RELAY_EV_SEND_FAILED};

		event.address = g_ptr_array_index(unsent, i);
		relay_io_step(io, &event);
	}
	g_ptr_array_unref(unsent);
}

/* Tells the relay of messages that nobody took and lets it do what its clock asks for. */
void relay_io_tick(relay_io_t *io)
{
	cw_relay_event_t event = {.type = CW_RELAY_EV_TICK};

	report_unsent(io);
	if (cw_relay_deadline_ms(io->relay) <= clock_now_ms())
		relay_io_step(io, &event);
}

/* Prepares to run a relay, which is taken over; the sockets are borrowed. */
void relay_io_init(relay_io_t *io, cw_relay_t *relay, link_server_t *server, link_clients_t *clients)
{
	io->relay = relay;
	io->server = server;
	io->clients = clients;
	io->unsent = g_ptr_array_new_with_free_func(g_free);
}

/* Frees the relay; allowed when relay_io_init() was never called. */
void relay_io_clear(relay_io_t *io)
{
	if (!io->relay)
		return;
	cw_relay_free(io->relay);
	g_ptr_array_unref(io->unsent);
}
