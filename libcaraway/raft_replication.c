/* Replication on the leader: proposals, heartbeat rounds, confirmed reads and the commit index. */
#include "raft.h"

enum {
	RAFT_DEFAULT_APPEND_BYTES = 64 * 1024, /* of entries or snapshot in one message */
	RAFT_ENTRY_OVERHEAD_BYTES = 32	       /* of an entry in a message, besides its data */
};

/* Returns the maximum number of bytes of entries or snapshot in one message. */
static size_t max_append_bytes(const cw_raft_t *raft)
{
	return raft->options.max_append_bytes ? raft->options.max_append_bytes : RAFT_DEFAULT_APPEND_BYTES;
}

/* Returns how many entries from an index on fit into one message; at least one if there is any. */
static size_t entries_that_fit(const cw_raft_t *raft, uint64_t index)
{
	size_t bytes = 0;
	size_t count = 0;

	for (; index <= raft_last_index(raft); index++, count++) {
		bytes += raft_entry(raft, index)->data.len + RAFT_ENTRY_OVERHEAD_BYTES;
		if (count && bytes > max_append_bytes(raft))
			break;
	}
	return count;
}

/* Returns a new append request, still without entries, for those that follow previous_index. */
static Caraway__RaftMessage *append_request_new(cw_raft_t *raft, uint64_t previous_index)
{
	Caraway__RaftMessage *message = raft_message_new(raft, CARAWAY__RAFT_MESSAGE__BODY_APPEND_REQUEST);

	message->append_request->previous_index = previous_index;
	message->append_request->previous_term = raft_term_at(raft, previous_index);
	message->append_request->commit_index = raft->commit_index;
	message->append_request->round = raft->round;
	return message;
}

/*
 * Sends the entries from the peer's next index on, as many as fit into one
 * message, and advances that index without waiting for the reply.
 */
static void send_entries(cw_raft_t *raft, raft_peer_t *peer)
{
	Caraway__RaftMessage *message = append_request_new(raft, peer->next_index - 1);
	Caraway__AppendRequest *request = message->append_request;

	request->n_entries = entries_that_fit(raft, peer->next_index);
	if (request->n_entries)
		request->entries = calloc(request->n_entries, sizeof(Caraway__Entry *));
	for (size_t i = 0; i < request->n_entries; i++)
		request->entries[i] = raft_entry_copy(raft_entry(raft, peer->next_index + i));
	peer->next_index += request->n_entries;
	raft_send(raft, peer->replica, message);
}

/* Sends a heartbeat without entries; the reply reports how far the peer's log matches. */
static void send_heartbeat(cw_raft_t *raft, const raft_peer_t *peer)
{
	raft_send(raft, peer->replica, append_request_new(raft, MAX(peer->next_index - 1, raft->base_index)));
}

/* Selects the snapshot to transfer to a peer, so that a newer one does not restart the transfer. */
static void start_snapshot_transfer(cw_raft_t *raft, raft_peer_t *peer)
{
	const Caraway__Membership *membership = cw_raft_membership_at(raft, raft->snapshot_index);

	peer->snapshot = g_bytes_ref(raft->snapshot);
	peer->snapshot_index = raft->snapshot_index;
	peer->snapshot_term = raft->snapshot_term;
	peer->snapshot_membership = cw_message_copy(&membership->base);
	peer->snapshot_offset = 0;
}

/* Sends the next snapshot chunk to a peer that needs entries from before the log in memory. */
static void send_snapshot_chunk(cw_raft_t *raft, raft_peer_t *peer)
{
	Caraway__RaftMessage *message = raft_message_new(raft, CARAWAY__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST);
	Caraway__SnapshotRequest *request = message->snapshot_request;
	const uint8_t *data;
	gsize total;

	if (!peer->snapshot)
		start_snapshot_transfer(raft, peer);
	data = g_bytes_get_data(peer->snapshot, &total);
	request->last_index = peer->snapshot_index;
	request->last_term = peer->snapshot_term;
	request->membership = cw_message_copy(&peer->snapshot_membership->base);
	request->offset = peer->snapshot_offset;
	request->total = total;
	request->digest = cw_hash(data, total, 0);
	request->round = raft->round;
	request->data.len = MIN(total - peer->snapshot_offset, max_append_bytes(raft));
	if (request->data.len) {
		request->data.data = malloc(request->data.len);
		memcpy(request->data.data, data + peer->snapshot_offset, request->data.len);
	}
	raft_send(raft, peer->replica, message);
}

/* Returns whether a snapshot is being transferred to a peer, or the entries it needs are discarded. */
static bool needs_snapshot(const cw_raft_t *raft, const raft_peer_t *peer)
{
	return peer->snapshot || peer->next_index <= raft->base_index;
}

/*
 * Sends a peer the next entries or snapshot chunk, or a heartbeat.  An
 * unreachable peer gets only heartbeats, and the same chunk is sent again only
 * after an election timeout.
 */
void raft_send_append(cw_raft_t *raft, raft_peer_t *peer)
{
	bool snapshot = needs_snapshot(raft, peer);

	if (!raft_peer_is_reachable(raft, peer) ||
	    (snapshot && (raft->now_ms < peer->resend_ms || !raft->snapshot))) {
		send_heartbeat(raft, peer);
	} else if (!snapshot) {
		send_entries(raft, peer);
	} else {
		peer->resend_ms = raft->now_ms + raft->options.election_ms;
		send_snapshot_chunk(raft, peer);
	}
}

/* Sends new entries to the reachable peers that need no snapshot. */
static void replicate(cw_raft_t *raft)
{
	for (guint i = 0; i < raft->peers->len; i++) {
		raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (raft_peer_is_reachable(raft, peer) && !needs_snapshot(raft, peer))
			send_entries(raft, peer);
	}
}

/* Compares numbers for sorting in descending order. */
static gint compare_descending(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? 1 : x > y ? -1 : 0;
}

/* Returns the largest round or match index that a quorum has reached; own is this replica's value. */
static uint64_t quorum_value(const cw_raft_t *raft, uint64_t own, bool rounds)
{
	GArray *values = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	size_t quorum = raft_quorum_size(raft);
	uint64_t value = 0;

	if (raft_is_voter(raft, raft->self))
		g_array_append_val(values, own);
	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (peer->voter)
			g_array_append_val(values, *(rounds ? &peer->acked_round : &peer->match_index));
	}
	g_array_sort(values, compare_descending);
	if (values->len >= quorum)
		value = g_array_index(values, uint64_t, quorum - 1);
	g_array_free(values, TRUE);
	return value;
}

/* Emits READ_READY for the reads whose round is confirmed, once an entry of this term is committed. */
static void answer_reads(cw_raft_t *raft)
{
	guint waiting = 0;

	if (raft->commit_index < raft->term_start_index)
		return;
	for (guint i = 0; i < raft->reads->len; i++) {
		raft_read_t read = g_array_index(raft->reads, raft_read_t, i);

		if (read.round <= raft->confirmed_round)
			raft_add_action(raft, CW_RAFT_AC_READ_READY)->cookie = read.cookie;
		else
			g_array_index(raft->reads, raft_read_t, waiting++) = read;
	}
	g_array_set_size(raft->reads, waiting);
}

/* Returns whether a read waits for the next round, or the peers do not know the commit index yet. */
static bool needs_round(const cw_raft_t *raft)
{
	if (raft->commit_index > raft->announced_commit_index)
		return true;
	for (guint i = 0; i < raft->reads->len; i++)
		if (g_array_index(raft->reads, raft_read_t, i).round > raft->round)
			return true;
	return false;
}

/* Records the newest round that a quorum has answered. */
static void confirm_rounds(cw_raft_t *raft)
{
	uint64_t confirmed = quorum_value(raft, raft->round, true);
	guint confirmed_count = 0;

	if (confirmed <= raft->confirmed_round)
		return;
	raft->confirmed_round = confirmed;
	while (confirmed_count < raft->rounds->len &&
	       g_array_index(raft->rounds, raft_round_t, confirmed_count).round <= confirmed) {
		raft->quorum_contact_ms =
			g_array_index(raft->rounds, raft_round_t, confirmed_count).started_ms;
		confirmed_count++;
	}
	g_array_remove_range(raft->rounds, 0, confirmed_count);
}

/* Starts a heartbeat round: replies to it confirm that this replica still leads at this time. */
void raft_begin_round(cw_raft_t *raft)
{
	raft_round_t round = {.round = ++raft->round, .started_ms = raft->now_ms};

	g_array_append_val(raft->rounds, round);
	raft->heartbeat_deadline_ms = raft->now_ms + raft->options.heartbeat_ms;
	raft->announced_commit_index = raft->commit_index;
	raft_remove_unreachable_learners(raft);
	for (guint i = 0; i < raft->peers->len; i++)
		raft_send_append(raft, g_ptr_array_index(raft->peers, i));
	raft_update_progress(raft);
}

/* Advances the commit index to the last entry held by a quorum, if that entry is of this term. */
static void advance_commit(cw_raft_t *raft)
{
	uint64_t index = quorum_value(raft, raft_last_index(raft), false);

	if (index <= raft->commit_index || raft_term_at(raft, index) != raft->term)
		return;
	raft_commit(raft, index);
}

/* Updates commit index, reads, rounds and membership after replies or at the start of a round. */
void raft_update_progress(cw_raft_t *raft)
{
	advance_commit(raft);
	confirm_rounds(raft);
	answer_reads(raft);
	if (needs_round(raft) && raft->confirmed_round == raft->round)
		raft_begin_round(raft);
	raft_readmit_learners(raft);
	raft_maintain_voters(raft);
}

/* Appends an entry of this term and sends it to the peers; with a cookie of 0 no answer is emitted. */
void raft_propose(cw_raft_t *raft, uint64_t cookie, Caraway__EntryKind kind, const void *data, size_t length)
{
	uint64_t index = raft_last_index(raft) + 1;
	Caraway__Entry *entry = raft_entry_new(index, raft->term, kind, data, length);
	cw_raft_action_t *action;

	entry->committed_index = raft->commit_index;
	if (cookie) {
		action = raft_add_action(raft, CW_RAFT_AC_PROPOSED);
		action->cookie = cookie;
		action->index = index;
		action->term = raft->term;
	}
	raft_log_append(raft, entry);
	action = raft_add_action(raft, CW_RAFT_AC_APPEND);
	action->entries = g_ptr_array_new_with_free_func(cw_message_free);
	g_ptr_array_add(action->entries, entry);
	if (kind == CARAWAY__ENTRY_KIND__ENTRY_MEMBERSHIP)
		raft_membership_changed(raft);
	replicate(raft);
	advance_commit(raft);
}

/* Queues a read until the next round is confirmed; starts that round unless one is pending. */
void raft_read(cw_raft_t *raft, uint64_t cookie)
{
	raft_read_t read = {.cookie = cookie, .round = raft->round + 1};

	g_array_append_val(raft->reads, read);
	if (raft->confirmed_round == raft->round)
		raft_begin_round(raft);
}

/*
 * Steps down when no quorum has answered a round started within an election
 * timeout.  A leader that was stalled for longer than its lease, but not that
 * long, stays leader: it serves nothing until it has read the replies that
 * arrived meanwhile.
 */
void raft_check_quorum(cw_raft_t *raft)
{
	if (raft->role == CW_RAFT_LEADER &&
	    raft->now_ms >= raft->quorum_contact_ms + raft->options.election_ms)
		raft_become_follower(raft, raft->term, 0);
}

/* Records a reply of this term to this leader; returns the peer that sent it, or NULL. */
static raft_peer_t *record_reply(cw_raft_t *raft, const Caraway__RaftMessage *message, uint64_t round)
{
	raft_peer_t *peer;

	if (raft->role != CW_RAFT_LEADER || message->term != raft->term)
		return NULL;
	peer = raft_find_peer(raft, message->from);
	if (!peer)
		return NULL;
	peer->last_reply_ms = raft->now_ms;
	peer->acked_round = MAX(peer->acked_round, MIN(round, raft->round));
	return peer;
}

/* Handles the reply to entries or a heartbeat. */
void raft_on_append_reply(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	const Caraway__AppendReply *reply = message->append_reply;
	raft_peer_t *peer = record_reply(raft, message, reply->round);

	if (!peer)
		return;
	if (reply->accepted) {
		peer->match_index = MAX(peer->match_index, reply->match_index);
		peer->next_index = MAX(peer->next_index, peer->match_index + 1);
	} else if (reply->match_index + 1 < peer->next_index) {
		peer->next_index = MAX(reply->match_index, peer->match_index) + 1;
	}
	if (!peer->snapshot && peer->next_index <= raft_last_index(raft))
		raft_send_append(raft, peer);
	raft_update_progress(raft);
}

/* Handles the reply to a snapshot chunk. */
void raft_on_snapshot_reply(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	const Caraway__SnapshotReply *reply = message->snapshot_reply;
	raft_peer_t *peer = record_reply(raft, message, reply->round);

	if (!peer || !peer->snapshot || reply->last_index != peer->snapshot_index)
		return;
	if (reply->received >= g_bytes_get_size(peer->snapshot)) {
		peer->match_index = MAX(peer->match_index, peer->snapshot_index);
		peer->next_index = peer->match_index + 1;
		peer->resend_ms = raft->now_ms;
		raft_peer_end_snapshot(peer);
		raft_send_append(raft, peer);
	} else if (reply->received != peer->snapshot_offset) {
		peer->snapshot_offset = reply->received;
		peer->resend_ms = raft->now_ms;
		raft_send_append(raft, peer);
	}
	raft_update_progress(raft);
}
