/* The log entries in memory and the memberships they contain. */
#include "raft.h"

/* Returns the index of the last entry, or of the snapshot when none follows it. */
uint64_t raft_last_index(const cw_raft_t *raft)
{
	return raft->base_index + raft->entries->len;
}

/* Returns the term of the last entry. */
uint64_t raft_last_term(const cw_raft_t *raft)
{
	return raft_term_at(raft, raft_last_index(raft));
}

/* Returns the term of the entry at an index; 0 if that is before the base of the log or after its end. */
uint64_t raft_term_at(const cw_raft_t *raft, uint64_t index)
{
	const Caraway__Entry *entry;

	if (index == raft->base_index)
		return raft->base_term;
	entry = raft_entry(raft, index);
	return entry ? entry->term : 0;
}

/* Returns the entry at an index, owned by the log, or NULL if it is not in memory. */
const Caraway__Entry *raft_entry(const cw_raft_t *raft, uint64_t index)
{
	if (index <= raft->base_index || index > raft_last_index(raft))
		return NULL;
	return g_ptr_array_index(raft->entries, index - raft->base_index - 1);
}

/* Returns a new entry with a copy of the data. */
Caraway__Entry *raft_entry_new(uint64_t index, uint64_t term, Caraway__EntryKind kind, const void *data,
			       size_t length)
{
	Caraway__Entry *entry = malloc(sizeof(*entry));

	caraway__entry__init(entry);
	entry->index = index;
	entry->term = term;
	entry->kind = kind;
	if (length) {
		entry->data.data = malloc(length);
		memcpy(entry->data.data, data, length);
		entry->data.len = length;
	}
	return entry;
}

/* Returns a copy of an entry. */
Caraway__Entry *raft_entry_copy(const Caraway__Entry *entry)
{
	Caraway__Entry *copy =
		raft_entry_new(entry->index, entry->term, entry->kind, entry->data.data, entry->data.len);

	copy->committed_index = entry->committed_index;
	return copy;
}

/* Records the membership in effect from an index on; takes ownership. */
static void push_membership(cw_raft_t *raft, uint64_t index, Caraway__Membership *membership)
{
	raft_membership_t item = {.index = index, .membership = membership};

	g_array_append_val(raft->memberships, item);
}

/* Frees the memberships from a position on. */
static void truncate_memberships(cw_raft_t *raft, guint length)
{
	for (guint i = length; i < raft->memberships->len; i++)
		cw_message_free(g_array_index(raft->memberships, raft_membership_t, i).membership);
	g_array_set_size(raft->memberships, length);
}

/* Initializes the log of a new replica with the state loaded from its data folder. */
void raft_log_load(cw_raft_t *raft, const cw_raft_stored_t *stored)
{
	static const Caraway__Membership empty = CARAWAY__MEMBERSHIP__INIT;
	const Caraway__Membership *membership = stored->membership ? stored->membership : &empty;

	raft->entries = g_ptr_array_new_with_free_func(cw_message_free);
	raft->memberships = g_array_new(FALSE, FALSE, sizeof(raft_membership_t));
	raft_log_reset(raft, stored->snapshot_index, stored->snapshot_term, membership);
	raft_set_snapshot(raft, stored->snapshot_index, stored->snapshot_term, stored->snapshot);
	raft->commit_index = stored->snapshot_index;
	for (guint i = 0; stored->entries && i < stored->entries->len; i++)
		raft_log_append(raft, g_ptr_array_index(stored->entries, i));
	if (raft->entries->len)
		raft->recovered_commit_index = raft_entry(raft, raft_last_index(raft))->committed_index;
}

/* Frees the log. */
void raft_log_free(cw_raft_t *raft)
{
	truncate_memberships(raft, 0);
	g_array_free(raft->memberships, TRUE);
	g_ptr_array_free(raft->entries, TRUE);
	if (raft->snapshot)
		g_bytes_unref(raft->snapshot);
}

/* Appends a copy of an entry, which must have the next index. */
void raft_log_append(cw_raft_t *raft, const Caraway__Entry *entry)
{
	Caraway__Membership *membership;

	g_ptr_array_add(raft->entries, raft_entry_copy(entry));
	if (entry->kind != CARAWAY__ENTRY_KIND__ENTRY_MEMBERSHIP)
		return;
	membership = caraway__membership__unpack(NULL, entry->data.len, entry->data.data);
	if (membership)
		push_membership(raft, entry->index, membership);
}

/* Removes the entries from an index on, with the memberships they contain. */
void raft_log_truncate(cw_raft_t *raft, uint64_t index)
{
	guint length = raft->memberships->len;

	while (length > 1 && g_array_index(raft->memberships, raft_membership_t, length - 1).index >= index)
		length--;
	truncate_memberships(raft, length);
	g_ptr_array_set_size(raft->entries, (gint)(index - raft->base_index - 1));
}

/* Removes the entries up to an index, which becomes the base of the log. */
void raft_log_compact(cw_raft_t *raft, uint64_t index)
{
	guint obsolete = 0;

	if (index <= raft->base_index)
		return;
	while (obsolete + 1 < raft->memberships->len &&
	       g_array_index(raft->memberships, raft_membership_t, obsolete + 1).index <= index) {
		cw_message_free(g_array_index(raft->memberships, raft_membership_t, obsolete).membership);
		obsolete++;
	}
	if (obsolete)
		g_array_remove_range(raft->memberships, 0, obsolete);
	raft->base_term = raft_term_at(raft, index);
	g_ptr_array_remove_range(raft->entries, 0, (guint)(index - raft->base_index));
	raft->base_index = index;
}

/* Empties the log, which continues after index with the given membership. */
void raft_log_reset(cw_raft_t *raft, uint64_t index, uint64_t term, const Caraway__Membership *membership)
{
	Caraway__Membership *copy = cw_message_copy(&membership->base);

	truncate_memberships(raft, 0);
	g_ptr_array_set_size(raft->entries, 0);
	raft->base_index = index;
	raft->base_term = term;
	push_membership(raft, index, copy);
}

/* Records the newest snapshot; takes a reference to the data, NULL if there is none. */
void raft_set_snapshot(cw_raft_t *raft, uint64_t index, uint64_t term, GBytes *snapshot)
{
	if (raft->snapshot)
		g_bytes_unref(raft->snapshot);
	raft->snapshot = snapshot ? g_bytes_ref(snapshot) : NULL;
	raft->snapshot_index = index;
	raft->snapshot_term = term;
}

/* Advances the commit index and emits an APPLY action for each newly committed entry. */
void raft_commit(cw_raft_t *raft, uint64_t index)
{
	while (raft->commit_index < index) {
		cw_raft_action_t *action = raft_add_action(raft, CW_RAFT_AC_APPLY);
		const Caraway__Entry *entry = raft_entry(raft, ++raft->commit_index);

		action->index = entry->index;
		action->term = entry->term;
		action->entry = raft_entry_copy(entry);
	}
}

/* Returns the newest membership in the log, committed or not; owned by the log. */
const Caraway__Membership *cw_raft_membership(const cw_raft_t *raft)
{
	return raft_membership(raft);
}

/* Returns the membership as of an index of the log; owned by the log, valid until the next step. */
const Caraway__Membership *cw_raft_membership_at(const cw_raft_t *raft, uint64_t index)
{
	guint i = raft->memberships->len - 1;

	while (i > 0 && g_array_index(raft->memberships, raft_membership_t, i).index > index)
		i--;
	return g_array_index(raft->memberships, raft_membership_t, i).membership;
}

/* Returns the term of the entry at an index; 0 if that is before the base of the log or after its end. */
uint64_t cw_raft_term_at(const cw_raft_t *raft, uint64_t index)
{
	return raft_term_at(raft, index);
}
