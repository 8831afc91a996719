/* Replication on followers and learners: receives entries and snapshots from the leader. */
#include "raft.h"

/* Accepts a sender as leader of the current term; returns false if this replica is that leader. */
static bool accept_leader(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	if (raft->role == CW_RAFT_LEADER)
		return false;
	if (raft->role == CW_RAFT_FOLLOWER || raft->role == CW_RAFT_LEARNER) {
		raft_set_role(raft, raft->role, message->from->id);
		raft_reset_election_timer(raft);
	} else {
		raft_become_follower(raft, message->term, message->from->id);
	}
	raft->leader_contact_ms = raft->now_ms;
	return true;
}

/* Sends the reply to an append request. */
static void send_append_reply(cw_raft_t *raft, const Caraway__RaftMessage *message, bool accepted,
			      uint64_t match_index)
{
	Caraway__RaftMessage *reply = raft_message_new(raft, CARAWAY__RAFT_MESSAGE__BODY_APPEND_REPLY);

	reply->append_reply->accepted = accepted;
	reply->append_reply->match_index = match_index;
	reply->append_reply->round = message->append_request->round;
	raft_send(raft, message->from, reply);
}

/* Returns whether the log has the entry before those of a request; committed entries are equal everywhere. */
static bool has_previous_entry(const cw_raft_t *raft, const Caraway__AppendRequest *request)
{
	if (request->previous_index <= raft->commit_index)
		return true;
	/* Beyond the end of the log the term is 0, which a damaged message may name. */
	if (request->previous_index > raft_last_index(raft))
		return false;
	return raft_term_at(raft, request->previous_index) == request->previous_term;
}

/* Returns the index to resume replication after: before the conflicting term, not below the commit index. */
static uint64_t resume_index(const cw_raft_t *raft, const Caraway__AppendRequest *request)
{
	uint64_t index = request->previous_index;
	uint64_t term;

	if (index > raft_last_index(raft))
		return raft_last_index(raft);
	term = raft_term_at(raft, index);
	while (index > raft->commit_index && raft_term_at(raft, index) == term)
		index--;
	return index;
}

/* Returns the position in a request of the first entry that is missing from the log; n_entries if none is. */
static size_t first_missing_entry(const cw_raft_t *raft, const Caraway__AppendRequest *request)
{
	size_t i = 0;

	while (i < request->n_entries) {
		const Caraway__Entry *entry = request->entries[i];

		if (entry->index > raft->commit_index && raft_term_at(raft, entry->index) != entry->term)
			break;
		i++;
	}
	return i;
}

/* Returns whether the entries of a request have consecutive indexes from its previous index on. */
static bool has_consecutive_entries(const Caraway__AppendRequest *request)
{
	for (size_t i = 0; i < request->n_entries; i++)
		if (request->entries[i]->index != request->previous_index + i + 1)
			return false;
	return true;
}

/* Truncates the log at the first conflict with a request and appends the missing entries. */
static void append_missing_entries(cw_raft_t *raft, const Caraway__AppendRequest *request)
{
	size_t first = first_missing_entry(raft, request);
	cw_raft_action_t *action;

	if (first == request->n_entries)
		return;
	action = raft_add_action(raft, CW_RAFT_AC_APPEND);
	action->entries = g_ptr_array_new_with_free_func(cw_message_free);
	if (request->entries[first]->index <= raft_last_index(raft))
		raft_log_truncate(raft, request->entries[first]->index);
	for (size_t i = first; i < request->n_entries; i++) {
		raft_log_append(raft, request->entries[i]);
		g_ptr_array_add(action->entries, raft_entry_copy(request->entries[i]));
	}
	raft_membership_changed(raft);
}

/* Handles entries or a heartbeat from a leader. */
void raft_on_append_request(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	const Caraway__AppendRequest *request = message->append_request;
	uint64_t match_index = request->previous_index + request->n_entries;

	if (message->term < raft->term) {
		send_append_reply(raft, message, false, 0);
		return;
	}
	if (!has_consecutive_entries(request) || !accept_leader(raft, message))
		return;
	if (!has_previous_entry(raft, request)) {
		send_append_reply(raft, message, false, resume_index(raft, request));
		return;
	}
	append_missing_entries(raft, request);
	send_append_reply(raft, message, true, match_index);
	raft_commit(raft, MAX(raft->commit_index, MIN(request->commit_index, match_index)));
}

/* Sends the reply to a snapshot chunk with the number of bytes received so far. */
static void send_snapshot_reply(cw_raft_t *raft, const Caraway__RaftMessage *message, uint64_t received)
{
	Caraway__RaftMessage *reply = raft_message_new(raft, CARAWAY__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY);

	reply->snapshot_reply->last_index = message->snapshot_request->last_index;
	reply->snapshot_reply->received = received;
	reply->snapshot_reply->round = message->snapshot_request->round;
	raft_send(raft, message->from, reply);
}

/* Discards a partly received snapshot. */
static void reset_incoming_snapshot(raft_incoming_snapshot_t *incoming)
{
	g_byte_array_set_size(incoming->data, 0);
	incoming->last_index = 0;
}

/*
 * Appends a chunk to the snapshot being received.  A chunk of another snapshot
 * restarts the transfer; one at another offset than the next is ignored.
 */
static void add_chunk(raft_incoming_snapshot_t *incoming, const Caraway__SnapshotRequest *request)
{
	if (incoming->last_index != request->last_index || incoming->last_term != request->last_term ||
	    incoming->total != request->total || incoming->digest != request->digest) {
		reset_incoming_snapshot(incoming);
		incoming->last_index = request->last_index;
		incoming->last_term = request->last_term;
		incoming->total = request->total;
		incoming->digest = request->digest;
	}
	if (request->offset == incoming->data->len && request->data.len <= request->total - request->offset)
		g_byte_array_append(incoming->data, request->data.data, (guint)request->data.len);
}

/* Replaces the whole log with the received snapshot. */
static void install_snapshot(cw_raft_t *raft, const Caraway__SnapshotRequest *request)
{
	cw_raft_action_t *action = raft_add_action(raft, CW_RAFT_AC_INSTALL);
	GBytes *data = g_bytes_new(raft->incoming_snapshot.data->data, raft->incoming_snapshot.data->len);

	reset_incoming_snapshot(&raft->incoming_snapshot);
	raft_log_reset(raft, request->last_index, request->last_term, request->membership);
	raft_set_snapshot(raft, request->last_index, request->last_term, data);
	raft->commit_index = request->last_index;
	action->index = request->last_index;
	action->term = request->last_term;
	action->snapshot = data;
	action->membership = cw_message_copy(&request->membership->base);
	raft_membership_changed(raft);
}

/* Handles a snapshot chunk from a leader; a snapshot that the log already covers counts as received. */
void raft_on_snapshot_request(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	const Caraway__SnapshotRequest *request = message->snapshot_request;
	GByteArray *data = raft->incoming_snapshot.data;

	if (message->term < raft->term) {
		send_snapshot_reply(raft, message, 0);
		return;
	}
	if (!request->membership || !accept_leader(raft, message))
		return;
	if (request->last_index <= raft->commit_index ||
	    (request->last_index <= raft_last_index(raft) &&
	     raft_term_at(raft, request->last_index) == request->last_term)) {
		send_snapshot_reply(raft, message, request->total);
		raft_commit(raft, MAX(raft->commit_index, request->last_index));
		return;
	}
	add_chunk(&raft->incoming_snapshot, request);
	if (data->len < request->total) {
		send_snapshot_reply(raft, message, data->len);
		return;
	}
	if (cw_hash(data->data, data->len, 0) != request->digest) {
		reset_incoming_snapshot(&raft->incoming_snapshot);
		send_snapshot_reply(raft, message, 0);
		return;
	}
	install_snapshot(raft, request);
	send_snapshot_reply(raft, message, request->total);
}
