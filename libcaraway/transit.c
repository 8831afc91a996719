/* Estimates the delay that a queueing transport adds to messages, without synchronized clocks. */
#include "internal.h"

/* The fastest message of two windows counts as undelayed: clocks drift little in that time. */
enum { WINDOW_MS = 30000 };

/* Least difference between the receive time and the send time of a message, each by the clock of its side. */
typedef struct {
	uint64_t sender;
	int64_t min_difference_ms;	    /* in the current window */
	int64_t previous_min_difference_ms; /* in the previous window */
	int64_t window_end_ms;		    /* by the receiver's clock */
} sender_t;

struct cw_transit {
	size_t max_senders;
	GHashTable *senders; /* sender -> sender_t */
};

/* Creates an estimator without senders. */
cw_transit_t *cw_transit_new(size_t max_senders)
{
	cw_transit_t *transit = g_new0(cw_transit_t, 1);

	transit->max_senders = max_senders;
	transit->senders = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	return transit;
}

/* Frees an estimator. */
void cw_transit_free(cw_transit_t *transit)
{
	g_hash_table_destroy(transit->senders);
	g_free(transit);
}

/* Returns whether no message of a sender was received in the last window or longer. */
static gboolean is_idle(gpointer key, gpointer value, gpointer now_ms)
{
	const sender_t *sender = value;

	(void)key;
	return *(const int64_t *)now_ms >= sender->window_end_ms + WINDOW_MS;
}

/* Returns the state of a sender, created at its first message; NULL when the table is full. */
static sender_t *find_sender(cw_transit_t *transit, uint64_t id, int64_t difference_ms, int64_t now_ms)
{
	sender_t *sender = g_hash_table_lookup(transit->senders, &id);

	if (sender)
		return sender;
	if (g_hash_table_size(transit->senders) >= transit->max_senders)
		g_hash_table_foreach_remove(transit->senders, is_idle, &now_ms);
	if (g_hash_table_size(transit->senders) >= transit->max_senders)
		return NULL;
	sender = g_new(sender_t, 1);
	*sender = (sender_t){.sender = id,
			     .min_difference_ms = difference_ms,
			     .previous_min_difference_ms = difference_ms,
			     .window_end_ms = now_ms + WINDOW_MS};
	g_hash_table_insert(transit->senders, &sender->sender, sender);
	return sender;
}

/* Returns the delay of a message relative to the fastest recent one of its sender; 0 if the table is full. */
int64_t cw_transit_delay_ms(cw_transit_t *transit, uint64_t id, int64_t sent_ms, int64_t now_ms)
{
	int64_t difference_ms = now_ms - sent_ms;
	sender_t *sender = find_sender(transit, id, difference_ms, now_ms);

	if (!sender)
		return 0;
	if (now_ms >= sender->window_end_ms) {
		sender->previous_min_difference_ms = sender->min_difference_ms;
		sender->min_difference_ms = difference_ms;
		sender->window_end_ms = now_ms + WINDOW_MS;
	}
	sender->min_difference_ms = MIN(sender->min_difference_ms, difference_ms);
	return difference_ms - MIN(sender->min_difference_ms, sender->previous_min_difference_ms);
}
