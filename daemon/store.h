/*
 * The data folder of a control replica: identity, term and vote, log and
 * snapshots, each record checksummed.  Nothing is reported done before it is
 * synced.
 */
#ifndef STORE_H
#define STORE_H

#include "libcaraway.h"

typedef struct store store_t;

/*
 * Opens a data folder and reads what it holds.  An empty folder gets a new
 * incarnation and no membership: the replica starts as a learner.  A torn tail
 * of the log is cut off; a damaged record before the tail gives CW_ERR_DAMAGED.
 * *snapshot receives the embedder's snapshot, or NULL.
 */
cw_status_t store_open(const char *folder, store_t **store, cw_raft_stored_t *stored, GBytes **snapshot);
void store_close(store_t *store);
/* Frees what stored points to; the caller keeps its own reference to the snapshot. */
void store_stored_clear(cw_raft_stored_t *stored);
uint64_t store_incarnation(const store_t *store);
/* First state of a cluster: incarnation and membership into an empty folder; CW_ERR_STATE when it holds state. */
cw_status_t store_format(const char *folder, uint64_t incarnation, const Caraway__Membership *membership);
/* Makes a new incarnation of the folder durable. */
cw_status_t store_save_incarnation(store_t *store, uint64_t incarnation);
/* Makes a term and vote durable. */
cw_status_t store_save_term(store_t *store, uint64_t term, uint32_t voted_id, uint64_t voted_incarnation);
/* Cuts the log from entries[0]->index on, appends and syncs. Caraway__Entry * items. */
cw_status_t store_append(store_t *store, const GPtrArray *entries);
/* Writes a snapshot as of index and drops the log up to it. */
cw_status_t store_snapshot(store_t *store, uint64_t index, uint64_t term,
			   const Caraway__Membership *membership, const void *data, size_t length,
			   bool keep_later_entries);

#endif
