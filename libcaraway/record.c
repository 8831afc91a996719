/*
 * What a receiver knows of the calls sent to it, by call id, in bounded memory.
 *
 * Each origin has a window over its newest sequences with a few bits for each.
 * A sequence that has left the window is "forgotten": nothing is said of it,
 * neither that it ran nor that it did not, and a request with it is not run.
 */
#include "internal.h"

#include <string.h>

enum {
	WINDOW_CALLS = 4096, /* sequences kept for an origin */
	BITS_PER_CALL = 2,
	CALLS_PER_BYTE = 8 / BITS_PER_CALL,
	CALL_MASK = (1 << BITS_PER_CALL) - 1,
	ORIGIN_IDLE_MS = 60 * 60 * 1000 /* an origin silent for this long may be dropped */
};

typedef struct {
	uint64_t origin;
	uint64_t newest; /* highest sequence in the window */
	int64_t used_ms;
	uint8_t states[WINDOW_CALLS / CALLS_PER_BYTE];
} origin_t;

struct cw_records {
	GHashTable *origins; /* of origin_t by origin */
	size_t max_origins;
};

/* Makes an empty table for at most max_origins senders. */
cw_records_t *cw_records_new(size_t max_origins)
{
	cw_records_t *records = g_new0(cw_records_t, 1);

	records->origins = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
	records->max_origins = max_origins;
	return records;
}

/* Frees a table. */
void cw_records_free(cw_records_t *records)
{
	g_hash_table_destroy(records->origins);
	g_free(records);
}

/* Returns whether a sequence lies below the window of its origin. */
static bool below_window(const origin_t *origin, uint64_t sequence)
{
	return sequence + WINDOW_CALLS <= origin->newest;
}

/* Returns the state kept for a sequence within the window. */
static cw_record_state_t read_state(const origin_t *origin, uint64_t sequence)
{
	size_t position = sequence % WINDOW_CALLS;
	unsigned shift = position % CALLS_PER_BYTE * BITS_PER_CALL;

	return (cw_record_state_t)(origin->states[position / CALLS_PER_BYTE] >> shift & CALL_MASK);
}

/* Stores the state of a sequence within the window. */
static void write_state(origin_t *origin, uint64_t sequence, cw_record_state_t state)
{
	size_t position = sequence % WINDOW_CALLS;
	unsigned shift = position % CALLS_PER_BYTE * BITS_PER_CALL;
	uint8_t *byte = &origin->states[position / CALLS_PER_BYTE];

	*byte = (uint8_t)((*byte & ~(CALL_MASK << shift)) | (unsigned)state << shift);
}

/* Moves the window up so that it holds a sequence, emptying what enters it. */
static void advance(origin_t *origin, uint64_t sequence)
{
	if (sequence <= origin->newest)
		return;
	if (sequence - origin->newest >= WINDOW_CALLS)
		memset(origin->states, 0, sizeof(origin->states));
	else
		for (uint64_t i = origin->newest + 1; i <= sequence; i++)
			write_state(origin, i, CW_RECORD_NONE);
	origin->newest = sequence;
}

/* Returns what is known of a call. */
cw_record_state_t cw_records_find(const cw_records_t *records, const cw_call_id_t *id)
{
	const origin_t *origin = g_hash_table_lookup(records->origins, &id->origin);

	if (!origin || id->sequence > origin->newest)
		return CW_RECORD_NONE;
	if (below_window(origin, id->sequence))
		return CW_RECORD_FORGOTTEN;
	return read_state(origin, id->sequence);
}

/* Tells whether an origin has been silent for long, at the time *data. */
static gboolean is_idle(gpointer key, gpointer value, gpointer data)
{
	const origin_t *origin = value;
	const int64_t *now_ms = data;

	(void)key;
	return *now_ms - origin->used_ms > ORIGIN_IDLE_MS;
}

/* Returns the window of an origin, made when there is none; NULL when the table is full. */
static origin_t *origin_for(cw_records_t *records, uint64_t id, int64_t now_ms)
{
	origin_t *origin = g_hash_table_lookup(records->origins, &id);

	if (origin)
		return origin;
	if (g_hash_table_size(records->origins) >= records->max_origins)
		g_hash_table_foreach_remove(records->origins, is_idle, &now_ms);
	if (g_hash_table_size(records->origins) >= records->max_origins)
		return NULL;
	origin = g_new0(origin_t, 1);
	origin->origin = id;
	g_hash_table_insert(records->origins, &origin->origin, origin);
	return origin;
}

/*
 * Records the state of a call.  A call below the window stays forgotten.
 * CW_ERR_FULL when there are too many origins; nothing is recorded then.
 */
cw_status_t cw_records_set(cw_records_t *records, const cw_call_id_t *id, cw_record_state_t state,
			   int64_t now_ms)
{
	origin_t *origin = origin_for(records, id->origin, now_ms);

	if (!origin)
		return cw_fail(CW_ERR_FULL, "calls of %zu origins are recorded", records->max_origins);
	origin->used_ms = now_ms;
	advance(origin, id->sequence);
	if (!below_window(origin, id->sequence))
		write_state(origin, id->sequence, state);
	return CW_OK;
}
