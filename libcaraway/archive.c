/* Archive of changes that finished long ago: number, hash and state, 16 bytes each, kept permanently. */
#include "ledger.h"

#include <string.h>

enum { STATE_MASK = 7 }; /* low bits of an identity, which hold the Caraway__ChangeState */

/* Returns the hash of a change's digest and of the operator that booked it, with the state bits cleared. */
uint64_t archive_booking_hash(uint64_t digest, const char *operator_name)
{
	return cw_hash(operator_name, strlen(operator_name), digest) & ~(uint64_t)STATE_MASK;
}

/* Returns the hash of a finished change, with its state in the low bits. */
uint64_t archive_identity(const Caraway__Change *change)
{
	return archive_booking_hash(change->digest, change->booked_by) | (uint64_t)change->state;
}

/* Returns whether an archived change has a hash from archive_booking_hash(). */
bool archive_matches_booking(const archived_t *archived, uint64_t hash)
{
	return (archived->identity & ~(uint64_t)STATE_MASK) == hash;
}

/* Returns the final state of an archived change. */
Caraway__ChangeState archive_state(const archived_t *archived)
{
	return (Caraway__ChangeState)(archived->identity & STATE_MASK);
}

/* Returns the index of the first archived change whose number is not below the given one, or the length. */
static guint lower_bound(const GArray *archive, uint64_t number)
{
	guint low = 0;
	guint high = archive->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (g_array_index(archive, archived_t, middle).number < number)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/* Adds a finished change that is not archived yet, in order of number. */
void archive_add(GArray *archive, const Caraway__Change *change)
{
	const archived_t archived = {.number = change->number, .identity = archive_identity(change)};

	g_array_insert_val(archive, lower_bound(archive, change->number), archived);
}

/* Returns an archived change by number, borrowed; NULL when there is none. */
const archived_t *archive_find(const GArray *archive, uint64_t number)
{
	guint position = lower_bound(archive, number);

	if (position == archive->len || g_array_index(archive, archived_t, position).number != number)
		return NULL;
	return &g_array_index(archive, archived_t, position);
}

/* Returns an archive as a message. */
Caraway__Archive *archive_save(const GArray *archive)
{
	Caraway__Archive *saved = malloc(sizeof(*saved));

	caraway__archive__init(saved);
	saved->numbers = calloc(archive->len + 1, sizeof(*saved->numbers));
	saved->identities = calloc(archive->len + 1, sizeof(*saved->identities));
	for (guint i = 0; i < archive->len; i++) {
		saved->numbers[i] = g_array_index(archive, archived_t, i).number;
		saved->identities[i] = g_array_index(archive, archived_t, i).identity;
	}
	saved->n_numbers = archive->len;
	saved->n_identities = archive->len;
	return saved;
}

/* Fills an empty archive from a message; CW_ERR_DECODE unless its numbers ascend and all states are final. */
cw_status_t archive_load(const Caraway__Archive *saved, GArray *archive)
{
	uint64_t previous = 0;

	if (saved->n_numbers != saved->n_identities)
		return cw_fail(CW_ERR_DECODE, "ledger snapshot: the lists of the archive differ in length");
	for (size_t i = 0; i < saved->n_numbers; i++) {
		const archived_t archived = {.number = saved->numbers[i], .identity = saved->identities[i]};
		Caraway__ChangeState state = archive_state(&archived);

		if (archived.number <= previous || state < CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE ||
		    state > CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN)
			return cw_fail(CW_ERR_DECODE,
				       "ledger snapshot: archived change %" G_GUINT64_FORMAT " is not valid",
				       archived.number);
		g_array_append_val(archive, archived);
		previous = archived.number;
	}
	return CW_OK;
}
