/* See raft_network.h. */
#include "raft_network.h"

#include <stdlib.h>

typedef struct {
	int64_t deliver_ms;
	uint64_t sequence; /* orders messages that are delivered at the same time */
	uint32_t to;	   /* id of the receiver */
	GBytes *packed;
} raft_network_message_t;

/* Frees a message in flight. */
static void message_free(gpointer data)
{
	raft_network_message_t *message = data;

	g_bytes_unref(message->packed);
	g_free(message);
}

/* Orders messages by delivery time, then by the order in which they were sent. */
static gint compare_messages(gconstpointer a, gconstpointer b, gpointer unused G_GNUC_UNUSED)
{
	const raft_network_message_t *x = a;
	const raft_network_message_t *y = b;

	if (x->deliver_ms != y->deliver_ms)
		return x->deliver_ms < y->deliver_ms ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

/* Returns true with the given probability in percent. */
static bool random_chance(raft_sim_t *sim, uint32_t percent)
{
	return (uint32_t)g_rand_int_range(sim->random, 0, 100) < percent;
}

/* Queues one copy of a message with a random delay. */
static void enqueue_message(raft_sim_t *sim, uint32_t to, GBytes *packed)
{
	raft_network_message_t *message = g_new0(raft_network_message_t, 1);
	uint32_t delay_ms = random_chance(sim, sim->network.long_delay_percent) ? sim->network.long_delay_ms
										: sim->network.delay_ms;

	message->deliver_ms = sim->now_ms + 1 + g_rand_int_range(sim->random, 0, (gint32)delay_ms + 1);
	message->sequence = ++sim->last_cookie;
	message->to = to;
	message->packed = g_bytes_ref(packed);
	g_sequence_insert_sorted(sim->messages, message, compare_messages, NULL);
}

/* Sends a message, which the network may lose or duplicate. */
void raft_network_send(raft_sim_t *sim, uint32_t from, const cw_raft_action_t *action)
{
	uint32_t to = (uint32_t)atoi(action->address);
	GBytes *packed;

	sim->messages_sent++;
	sim->bytes_sent += protobuf_c_message_get_packed_size(&action->message->base);
	if (sim->blocked[from][to] || random_chance(sim, sim->network.drop_percent))
		return;
	packed = cw_message_pack(&action->message->base);
	enqueue_message(sim, to, packed);
	if (random_chance(sim, sim->network.duplicate_percent))
		enqueue_message(sim, to, packed);
	g_bytes_unref(packed);
}

GSequence *raft_network_new(void)
{
	return g_sequence_new(message_free);
}

int64_t raft_network_next_delivery_ms(const raft_sim_t *sim)
{
	GSequenceIter *first = g_sequence_get_begin_iter(sim->messages);

	return g_sequence_iter_is_end(first) ? INT64_MAX
					     : ((raft_network_message_t *)g_sequence_get(first))->deliver_ms;
}

/* Delivers the first message, or delays it until its receiver is no longer frozen. */
void raft_network_deliver(raft_sim_t *sim)
{
	GSequenceIter *first = g_sequence_get_begin_iter(sim->messages);
	raft_network_message_t *message = g_sequence_get(first);
	raft_sim_replica_t *replica = &sim->replicas[message->to];
	cw_raft_event_t event = {.type = CW_RAFT_EV_MESSAGE};
	Caraway__RaftMessage *unpacked;
	gsize length;
	const uint8_t *data = g_bytes_get_data(message->packed, &length);

	if (replica->frozen_until_ms > sim->now_ms) {
		message->deliver_ms = replica->frozen_until_ms;
		g_sequence_sort_changed(first, compare_messages, NULL);
		return;
	}
	unpacked = caraway__raft_message__unpack(NULL, length, data);
	event.message = unpacked;
	g_sequence_remove(first);
	raft_sim_step(sim, replica->id, &event);
	cw_message_free(unpacked);
}
