/* In-memory disks of the simulated replicas. */
#include "raft_sim.h"

/* Returns the index of the last entry on a disk. */
uint64_t raft_disk_last_index(const cw_raft_stored_t *disk)
{
	return disk->snapshot_index + disk->entries->len;
}

/* Appends entries to the log on a disk, after truncating it from the index of the first one on. */
void raft_disk_append(cw_raft_stored_t *disk, const GPtrArray *entries)
{
	const Caraway__Entry *first = g_ptr_array_index(entries, 0);

	g_ptr_array_set_size(disk->entries, (gint)(first->index - disk->snapshot_index - 1));
	for (guint i = 0; i < entries->len; i++) {
		const Caraway__Entry *entry = g_ptr_array_index(entries, i);

		g_ptr_array_add(disk->entries, cw_message_copy(&entry->base));
	}
}

/* Writes a snapshot to a disk and removes the log entries it covers, or the whole log. */
void raft_disk_save_snapshot(cw_raft_stored_t *disk, uint64_t index, uint64_t term,
			     const Caraway__Membership *membership, GBytes *state, bool keep_later_entries)
{
	guint covered = keep_later_entries ? (guint)(index - disk->snapshot_index) : disk->entries->len;

	if (covered)
		g_ptr_array_remove_range(disk->entries, 0, covered);
	cw_message_free(disk->membership);
	disk->membership = cw_message_copy(&membership->base);
	if (disk->snapshot)
		g_bytes_unref(disk->snapshot);
	disk->snapshot = g_bytes_ref(state);
	disk->snapshot_index = index;
	disk->snapshot_term = term;
}

/* Formats a disk with an initial membership; without one the replica starts as a learner. */
void raft_disk_format(cw_raft_stored_t *disk, Caraway__Membership *membership)
{
	cw_message_free(disk->membership);
	if (disk->entries)
		g_ptr_array_free(disk->entries, TRUE);
	if (disk->snapshot)
		g_bytes_unref(disk->snapshot);
	*disk = (cw_raft_stored_t){0};
	disk->entries = g_ptr_array_new_with_free_func(cw_message_free);
	disk->membership = membership;
}

/* Returns the membership in which every replica is a voter. */
Caraway__Membership *raft_sim_membership(uint32_t count)
{
	Caraway__Membership membership = CARAWAY__MEMBERSHIP__INIT;
	Caraway__Replica voters[RAFT_SIM_MAX_REPLICAS];
	Caraway__Replica *list[RAFT_SIM_MAX_REPLICAS];

	for (uint32_t i = 0; i < count; i++) {
		caraway__replica__init(&voters[i]);
		voters[i].id = i + 1;
		voters[i].incarnation = i + 1;
		list[i] = &voters[i];
	}
	membership.n_voters = count;
	membership.voters = list;
	return cw_message_copy(&membership.base);
}
