/*
 * The data folder of a control replica: incarnation, term and vote, log and
 * snapshot, each record with a checksum.  A write returns CW_OK only after its
 * data has been synced to disk.
 */
#ifndef STORE_H
#define STORE_H

#include "libcaraway.h"

typedef struct store store_t;

/*
 * Opens a data folder and loads its state.  An empty folder gets a new
 * incarnation and no membership: the replica starts as a learner.  An
 * incomplete record at the end of the log is discarded; a damaged record before
 * the end gives CW_ERR_DAMAGED.  *snapshot receives the application state of
 * the snapshot, or NULL.
 */
cw_status_t store_open(const char *folder, store_t **store, cw_raft_stored_t *stored, GBytes **snapshot);
void store_close(store_t *store);
/* Frees the members of stored; the reference that store_open() returned in *snapshot stays valid. */
void store_clear_raft_state(cw_raft_stored_t *stored);
uint64_t store_incarnation(const store_t *store);
/* Writes the initial state of a replica into an empty folder; CW_ERR_STATE when the folder holds state. */
cw_status_t store_format(const char *folder, uint64_t incarnation, const Caraway__Membership *membership);
/* Writes and syncs a new incarnation of the data folder. */
cw_status_t store_save_incarnation(store_t *store, uint64_t incarnation);
/* Writes and syncs the term and vote. */
cw_status_t store_save_term(store_t *store, uint64_t term, uint32_t voted_id, uint64_t voted_incarnation);
/* Removes the log entries from entries[0]->index on, appends entries (Caraway__Entry *) and syncs. */
cw_status_t store_append_entries(store_t *store, const GPtrArray *entries);
/*
 * Writes a snapshot of the application state as of index and removes the log
 * entries up to index; the later ones too, unless keep_later_entries.  CW_ERR_STALE
 * when the folder holds a newer snapshot.
 */
cw_status_t store_save_snapshot(store_t *store, uint64_t index, uint64_t term,
				const Caraway__Membership *membership, const void *data, size_t length,
				bool keep_later_entries);

#endif
