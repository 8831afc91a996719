/* Voters, learners and membership changes, one replica at a time. */
#include "raft.h"

enum {
	RAFT_REMOVE_LEARNER_TIMEOUTS = 10, /* in election timeouts: then an unreachable learner is removed */
	RAFT_REPLACE_VOTER_TIMEOUTS = 5, /* in election timeouts: then an unreachable voter may be replaced */
	RAFT_JOIN_RETRY_DIVISOR = 4 /* of the election timeout: joins are retried without an active leader */
};

/* Returns the newest membership in the log. */
const Caraway__Membership *raft_membership(const cw_raft_t *raft)
{
	return g_array_index(raft->memberships, raft_membership_t, raft->memberships->len - 1).membership;
}

/* Returns whether two records have the same id and incarnation. */
bool raft_same_replica(const Caraway__Replica *a, const Caraway__Replica *b)
{
	return a->id == b->id && a->incarnation == b->incarnation;
}

/* Returns the voter with an id, of any incarnation, or NULL. */
const Caraway__Replica *raft_find_voter(const Caraway__Membership *membership, uint32_t id)
{
	for (size_t i = 0; i < membership->n_voters; i++)
		if (membership->voters[i]->id == id)
			return membership->voters[i];
	return NULL;
}

/* Returns whether a replica is a voter of the newest membership. */
bool raft_is_voter(const cw_raft_t *raft, const Caraway__Replica *replica)
{
	const Caraway__Replica *voter = raft_find_voter(raft_membership(raft), replica->id);

	return voter && raft_same_replica(voter, replica);
}

/* Returns the number of voters in a quorum. */
size_t raft_quorum_size(const cw_raft_t *raft)
{
	return raft_membership(raft)->n_voters / 2 + 1;
}

/* Ends the transfer of a snapshot to a peer. */
void raft_peer_end_snapshot(raft_peer_t *peer)
{
	if (!peer->snapshot)
		return;
	g_bytes_unref(peer->snapshot);
	cw_message_free(peer->snapshot_membership);
	peer->snapshot = NULL;
	peer->snapshot_membership = NULL;
}

/* Frees a peer. */
void raft_peer_free(gpointer data)
{
	raft_peer_t *peer = data;

	raft_peer_end_snapshot(peer);
	cw_message_free(peer->replica);
	g_free(peer);
}

/* Returns whether a peer has replied, or was added, within the election timeout. */
bool raft_peer_is_reachable(const cw_raft_t *raft, const raft_peer_t *peer)
{
	return raft->now_ms < peer->last_reply_ms + raft->options.election_ms;
}

/* Returns the peer with the id and incarnation of a record, or NULL. */
raft_peer_t *raft_find_peer(const cw_raft_t *raft, const Caraway__Replica *replica)
{
	for (guint i = 0; i < raft->peers->len; i++) {
		raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (raft_same_replica(peer->replica, replica))
			return peer;
	}
	return NULL;
}

/* Adds a peer whose log position is not known yet. */
static raft_peer_t *add_peer(cw_raft_t *raft, const Caraway__Replica *replica)
{
	raft_peer_t *peer = g_new0(raft_peer_t, 1);

	peer->replica = cw_message_copy(&replica->base);
	peer->next_index = raft_last_index(raft) + 1;
	peer->last_reply_ms = raft->now_ms;
	g_ptr_array_add(raft->peers, peer);
	return peer;
}

/* Updates the leader's peers to the newest membership; a removed voter stays as a learner. */
static void update_peers(cw_raft_t *raft)
{
	const Caraway__Membership *membership = raft_membership(raft);

	for (guint i = 0; i < raft->peers->len; i++)
		((raft_peer_t *)g_ptr_array_index(raft->peers, i))->voter = false;
	for (size_t i = 0; i < membership->n_voters; i++) {
		raft_peer_t *peer;

		if (raft_same_replica(membership->voters[i], raft->self))
			continue;
		peer = raft_find_peer(raft, membership->voters[i]);
		if (!peer)
			peer = add_peer(raft, membership->voters[i]);
		peer->voter = true;
	}
}

/* Updates the leader's peers, or the role, to the newest membership after the log or the role has changed. */
void raft_membership_changed(cw_raft_t *raft)
{
	bool voter = raft_is_voter(raft, raft->self);

	if (raft->role == CW_RAFT_LEADER)
		update_peers(raft);
	else if (raft->role == CW_RAFT_LEARNER && voter)
		raft_set_role(raft, CW_RAFT_FOLLOWER, raft->leader_id);
	else if (raft->role != CW_RAFT_LEARNER && !voter)
		raft_set_role(raft, CW_RAFT_LEARNER, raft->leader_id);
}

/* Sends a join request to a replica, whatever its incarnation is. */
static void send_join_request(cw_raft_t *raft, const Caraway__Replica *replica)
{
	Caraway__Replica any_incarnation = *replica;
	Caraway__RaftMessage *message;

	if (replica->id == raft->options.id)
		return;
	any_incarnation.incarnation = 0;
	message = raft_message_new(raft, CARAWAY__RAFT_MESSAGE__BODY_JOIN_REQUEST);
	message->join_request->last_index = raft_last_index(raft);
	raft_send(raft, &any_incarnation, message);
}

/* Returns whether a known leader has sent a message within the election timeout. */
static bool has_active_leader(const cw_raft_t *raft)
{
	return raft->leader_id && raft->now_ms < raft->leader_contact_ms + raft->options.election_ms;
}

/*
 * Sends join requests to every replica of the settings and every known voter.
 * While a leader is active they are still sent, but less often, in case it has
 * removed this replica from its peers.
 */
void raft_send_join_requests(cw_raft_t *raft)
{
	const Caraway__Membership *membership = raft_membership(raft);
	uint32_t wait_ms = raft->options.election_ms;

	if (!has_active_leader(raft))
		wait_ms /= RAFT_JOIN_RETRY_DIVISOR;
	raft->join_deadline_ms = raft->now_ms + MAX(wait_ms, 1);
	for (guint i = 0; i < raft->configured_replicas->len; i++)
		send_join_request(raft, g_ptr_array_index(raft->configured_replicas, i));
	for (size_t i = 0; i < membership->n_voters; i++)
		if (!raft_is_configured(raft, membership->voters[i]->id))
			send_join_request(raft, membership->voters[i]);
}

/* Returns whether the settings list a replica. */
bool raft_is_configured(const cw_raft_t *raft, uint32_t id)
{
	for (guint i = 0; i < raft->configured_replicas->len; i++)
		if (((const Caraway__Replica *)g_ptr_array_index(raft->configured_replicas, i))->id == id)
			return true;
	return false;
}

/* Forwards a join request to the leader, for at most one hop: the sender may not know the leader. */
static void forward_join_request(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	const Caraway__Replica *leader = raft_find_voter(raft_membership(raft), raft->leader_id);
	Caraway__RaftMessage *copy;

	if (!leader || raft->leader_id == raft->options.id || message->join_request->passed_on)
		return;
	copy = cw_message_copy(&message->base);
	copy->join_request->passed_on = true;
	raft_send(raft, leader, copy);
}

/* Removes the learners that have not replied for many election timeouts; a live one joins again. */
void raft_remove_unreachable_learners(cw_raft_t *raft)
{
	int64_t timeout_ms = (int64_t)raft->options.election_ms * RAFT_REMOVE_LEARNER_TIMEOUTS;
	guint i = 0;

	while (i < raft->peers->len) {
		raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (!peer->voter && raft->now_ms >= peer->last_reply_ms + timeout_ms)
			g_ptr_array_remove_index(raft->peers, i);
		else
			i++;
	}
}

/* Removes the learners with an id: a new incarnation has joined, so their data folder is lost. */
static void remove_learners(cw_raft_t *raft, uint32_t id)
{
	guint i = 0;

	while (i < raft->peers->len) {
		raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (!peer->voter && peer->replica->id == id)
			g_ptr_array_remove_index(raft->peers, i);
		else
			i++;
	}
}

/* Adds a joining replica as a learner and starts to send it the log. */
void raft_on_join_request(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	raft_peer_t *peer;

	if (raft->role != CW_RAFT_LEADER) {
		forward_join_request(raft, message);
		return;
	}
	if (raft_find_peer(raft, message->from))
		return;
	remove_learners(raft, message->from->id);
	peer = add_peer(raft, message->from);
	peer->next_index = MIN(peer->next_index, message->join_request->last_index + 1);
	raft_send_append(raft, peer);
}

/*
 * Changes the incarnation of a newly formatted data folder when the other
 * replicas already have a log: the folder may replace a lost one, and without
 * the votes and entries in that one this replica must not vote under the old
 * incarnation.  It continues as a learner.
 */
void raft_renew_incarnation(cw_raft_t *raft)
{
	uint64_t high = g_rand_int(raft->random);
	uint64_t incarnation = high << 32 | g_rand_int(raft->random);

	raft->first_election_pending = false;
	raft->options.incarnation = incarnation;
	raft->self->incarnation = incarnation;
	raft_add_action(raft, CW_RAFT_AC_SAVE_INCARNATION)->incarnation = incarnation;
	raft_set_role(raft, CW_RAFT_LEARNER, 0);
	raft->join_deadline_ms = raft->now_ms;
}

/*
 * Returns a copy of a list of replicas without the one with excluded_id, and
 * with another one appended unless it is NULL; sets *length to the new length.
 */
static Caraway__Replica **copy_replicas(Caraway__Replica **list, size_t *length, uint32_t excluded_id,
					const Caraway__Replica *added)
{
	Caraway__Replica **copy = calloc(*length + 1, sizeof(Caraway__Replica *));
	size_t count = 0;

	for (size_t i = 0; i < *length; i++)
		if (list[i]->id != excluded_id)
			copy[count++] = cw_message_copy(&list[i]->base);
	if (added)
		copy[count++] = cw_message_copy(&added->base);
	*length = count;
	return copy;
}

/*
 * Proposes the newest membership without the voter or admitting learner with
 * excluded_id, and with the given voter or admitting learner, if any, added.
 */
static void propose_membership(cw_raft_t *raft, uint64_t cookie, uint32_t excluded_id,
			       const Caraway__Replica *added_voter, const Caraway__Replica *added_admitting)
{
	const Caraway__Membership *current = raft_membership(raft);
	Caraway__Membership next = CARAWAY__MEMBERSHIP__INIT;
	Caraway__Membership *owned;
	GBytes *packed;
	gconstpointer data;
	gsize length;

	next.n_voters = current->n_voters;
	next.voters = copy_replicas(current->voters, &next.n_voters, excluded_id, added_voter);
	next.n_admitting = current->n_admitting;
	next.admitting = copy_replicas(current->admitting, &next.n_admitting, excluded_id, added_admitting);
	owned = malloc(sizeof(*owned));
	*owned = next;
	packed = cw_message_pack(&owned->base);
	data = g_bytes_get_data(packed, &length);
	raft_propose(raft, cookie, CARAWAY__ENTRY_KIND__ENTRY_MEMBERSHIP, data, length);
	g_bytes_unref(packed);
	cw_message_free(owned);
}

/* Proposes the current membership again, unchanged. */
void raft_repropose_membership(cw_raft_t *raft)
{
	GBytes *packed = cw_message_pack(&raft_membership(raft)->base);
	gsize length;
	gconstpointer data = g_bytes_get_data(packed, &length);

	raft_propose(raft, 0, CARAWAY__ENTRY_KIND__ENTRY_MEMBERSHIP, data, length);
	g_bytes_unref(packed);
}

/* Returns whether a change may be proposed: the last one and an entry of this term are committed. */
static bool can_change_membership(const cw_raft_t *raft)
{
	uint64_t newest_index =
		g_array_index(raft->memberships, raft_membership_t, raft->memberships->len - 1).index;

	return raft->commit_index >= raft->term_start_index && raft->commit_index >= newest_index;
}

/* Returns whether a peer is a reachable learner with all committed entries durable. */
static bool has_caught_up(const cw_raft_t *raft, const raft_peer_t *peer)
{
	return !peer->voter && raft_peer_is_reachable(raft, peer) && peer->match_index >= raft->commit_index;
}

/* Returns whether the former incarnation of an id was removed and the new one is still to be added. */
static bool is_admitting(const cw_raft_t *raft, uint32_t id)
{
	const Caraway__Membership *membership = raft_membership(raft);

	for (size_t i = 0; i < membership->n_admitting; i++)
		if (membership->admitting[i]->id == id)
			return true;
	return false;
}

/* Proposes the next change that readmits a caught-up learner; returns whether there is one. */
static bool readmit_learner(cw_raft_t *raft, const raft_peer_t *peer)
{
	const Caraway__Replica *former = raft_find_voter(raft_membership(raft), peer->replica->id);

	if (former) {
		if (raft_peer_is_reachable(raft, raft_find_peer(raft, former)))
			return false;
		propose_membership(raft, 0, peer->replica->id, NULL, peer->replica);
		return true;
	}
	if (!is_admitting(raft, peer->replica->id))
		return false;
	propose_membership(raft, 0, peer->replica->id, peer->replica, NULL);
	return true;
}

/*
 * Readmits replicas that lost their data folder.  One entry removes the old
 * incarnation and another one adds the new one: if a single entry replaced
 * it, the quorums before and after might share no replica that still has its
 * log.
 */
void raft_readmit_learners(cw_raft_t *raft)
{
	if (raft->role != CW_RAFT_LEADER || !can_change_membership(raft))
		return;
	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (has_caught_up(raft, peer) && readmit_learner(raft, peer))
			return;
	}
}

/* Returns a caught-up learner that can become an additional voter, or NULL. */
static const raft_peer_t *find_promotable_learner(const cw_raft_t *raft)
{
	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (has_caught_up(raft, peer) && !is_admitting(raft, peer->replica->id) &&
		    !raft_find_voter(raft_membership(raft), peer->replica->id))
			return peer;
	}
	return NULL;
}

/* Returns a voter that has been unreachable for long enough to be replaced, or NULL. */
static const raft_peer_t *find_replaceable_voter(const cw_raft_t *raft)
{
	int64_t timeout_ms = (int64_t)raft->options.election_ms * RAFT_REPLACE_VOTER_TIMEOUTS;

	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (peer->voter && raft->now_ms >= peer->last_reply_ms + timeout_ms)
			return peer;
	}
	return NULL;
}

/* Returns whether no peer with an id is reachable. */
static bool is_id_unreachable(const cw_raft_t *raft, uint32_t id)
{
	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (peer->replica->id == id && raft_peer_is_reachable(raft, peer))
			return false;
	}
	return true;
}

/*
 * Maintains the configured number of voters: adds a caught-up learner when
 * there are too few.  When a learner can replace it, removes an unreachable
 * voter, or else gives up the readmission of an unreachable replica.  Each
 * change must be committed before the next one.
 */
void raft_maintain_voters(cw_raft_t *raft)
{
	const Caraway__Membership *membership = raft_membership(raft);
	const raft_peer_t *promotable;
	const raft_peer_t *replaceable;

	if (!raft->options.voter_count || raft->role != CW_RAFT_LEADER || !can_change_membership(raft))
		return;
	promotable = find_promotable_learner(raft);
	if (!promotable)
		return;
	if (membership->n_voters + membership->n_admitting < raft->options.voter_count) {
		propose_membership(raft, 0, promotable->replica->id, promotable->replica, NULL);
		return;
	}
	replaceable = find_replaceable_voter(raft);
	if (replaceable)
		propose_membership(raft, 0, replaceable->replica->id, NULL, NULL);
	else if (membership->n_admitting && is_id_unreachable(raft, membership->admitting[0]->id))
		propose_membership(raft, 0, membership->admitting[0]->id, NULL, NULL);
}

/* Returns the caught-up learner with an id, or NULL. */
static const raft_peer_t *find_caught_up_learner(const cw_raft_t *raft, uint32_t id)
{
	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (peer->replica->id == id && has_caught_up(raft, peer))
			return peer;
	}
	return NULL;
}

/* Adds or removes a voter on request of an operator; answered with PROPOSED or REFUSED. */
void raft_change_membership(cw_raft_t *raft, uint64_t cookie, uint32_t id, bool add)
{
	const raft_peer_t *learner = find_caught_up_learner(raft, id);
	bool is_voter = raft_find_voter(raft_membership(raft), id) != NULL;
	bool removable = is_voter || is_admitting(raft, id);

	if (!can_change_membership(raft) || id == raft->options.id || (add && is_voter)) {
		raft_refuse(raft, cookie, CW_ERR_STATE);
		return;
	}
	if (add ? !learner : !removable) {
		raft_refuse(raft, cookie, CW_ERR_NOT_FOUND);
		return;
	}
	propose_membership(raft, cookie, id, add ? learner->replica : NULL, NULL);
}
