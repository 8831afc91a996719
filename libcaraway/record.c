/*
 * Records of received calls by call id, in bounded memory.  A receiver uses them
 * to detect duplicates and to answer revocations.
 *
 * Each origin has a sliding window over its highest sequences, with two bits of
 * state for each.  A sequence below the window is "forgotten": whether the call
 * was run is no longer known, and a request with that sequence is not run.
 */
#include "internal.h"

#include <string.h>

enum {
	WINDOW_CALLS = 4096, /* sequences in the window of an origin */
	BITS_PER_CALL = 2,
	CALLS_PER_BYTE = 8 / BITS_PER_CALL,
	CALL_MASK = (1 << BITS_PER_CALL) - 1,
	ORIGIN_IDLE_MS = 60 * 60 * 1000 /* an origin without calls for this long may be removed */
};

/* The window of an origin. */
typedef struct {
	uint64_t origin;
	uint64_t newest;			       /* highest sequence in the window */
	int64_t used_ms;			       /* when a state was last recorded */
	uint8_t states[WINDOW_CALLS / CALLS_PER_BYTE]; /* at sequence % WINDOW_CALLS, BITS_PER_CALL each */
} origin_t;

struct cw_records {
	GHashTable *origins; /* origin -> origin_t */
	size_t max_origins;
};

/* Creates an empty table for the calls of at most max_origins origins. */
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

/* Returns whether a sequence is below the window of its origin. */
static bool is_below_window(const origin_t *origin, uint64_t sequence)
{
	return origin->newest >= WINDOW_CALLS && sequence <= origin->newest - WINDOW_CALLS;
}

/* Returns the state of a sequence in the window. */
static cw_record_state_t read_state(const origin_t *origin, uint64_t sequence)
{
	size_t position = sequence % WINDOW_CALLS;
	unsigned shift = position % CALLS_PER_BYTE * BITS_PER_CALL;

	return (cw_record_state_t)(origin->states[position / CALLS_PER_BYTE] >> shift & CALL_MASK);
}

/* Stores the state of a sequence in the window. */
static void write_state(origin_t *origin, uint64_t sequence, cw_record_state_t state)
{
	size_t position = sequence % WINDOW_CALLS;
	unsigned shift = position % CALLS_PER_BYTE * BITS_PER_CALL;
	uint8_t *byte = &origin->states[position / CALLS_PER_BYTE];

	*byte = (uint8_t)((*byte & ~(CALL_MASK << shift)) | (unsigned)state << shift);
}

/* Advances the window to include a sequence; sequences that enter it have no record. */
static void advance_window(origin_t *origin, uint64_t sequence)
{
	if (sequence <= origin->newest)
		return;
	if (sequence - origin->newest >= WINDOW_CALLS)
		memset(origin->states, 0, sizeof(origin->states));
	else
		for (uint64_t i = origin->newest; i < sequence; i++)
			write_state(origin, i + 1, CW_RECORD_NONE);
	origin->newest = sequence;
}

/* Returns the recorded state of a call. */
cw_record_state_t cw_records_find(const cw_records_t *records, const cw_call_id_t *id)
{
	const origin_t *origin = g_hash_table_lookup(records->origins, &id->origin);

	if (!origin || id->sequence > origin->newest)
		return CW_RECORD_NONE;
	if (is_below_window(origin, id->sequence))
		return CW_RECORD_FORGOTTEN;
	return read_state(origin, id->sequence);
}

/* Returns whether an origin has been idle for more than ORIGIN_IDLE_MS at the time *data. */
static gboolean is_idle(gpointer key, gpointer value, gpointer data)
{
	const origin_t *origin = value;
	const int64_t *now_ms = data;

	(void)key;
	return *now_ms - origin->used_ms > ORIGIN_IDLE_MS;
}

/* Returns the window of an origin, created if needed; NULL when the table is full. */
static origin_t *find_or_add_origin(cw_records_t *records, uint64_t id, int64_t now_ms)
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
 * Records the state of a call; a call below the window stays forgotten.  Returns
 * CW_ERR_FULL, and records nothing, when there are too many origins.
 */
cw_status_t cw_records_set(cw_records_t *records, const cw_call_id_t *id, cw_record_state_t state,
			   int64_t now_ms)
{
	origin_t *origin = find_or_add_origin(records, id->origin, now_ms);

	if (!origin)
		return cw_fail(CW_ERR_FULL, "call record table is full: %zu origins", records->max_origins);
	origin->used_ms = now_ms;
	advance_window(origin, id->sequence);
	if (!is_below_window(origin, id->sequence))
		write_state(origin, id->sequence, state);
	return CW_OK;
}
