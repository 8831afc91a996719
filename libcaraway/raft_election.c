/* Leader election: pre-votes, votes, stepping down and leadership transfer. */
#include "raft.h"

enum {
	/* The first election deadline varies by election_ms / 2, many times the duration of a vote. */
	STARTUP_JITTER_DIVISOR = 2,
	/*
	 * A pre-vote is repeated after one to two times election_ms / 8: that is a few round trips, and
	 * the request takes a few bytes.
	 */
	PRE_VOTE_RETRY_DIVISOR = 8
};

/* Sets the election deadline to a random time between one and two election timeouts from now. */
void raft_reset_election_timer(cw_raft_t *raft)
{
	gint32 jitter_ms = g_rand_int_range(raft->random, 0, (gint32)raft->options.election_ms + 1);

	raft->election_deadline_ms = raft->now_ms + raft->options.election_ms + jitter_ms;
}

/*
 * Sets the first election deadline after a start: a short random time after
 * this replica grants votes again.  It is short because after a stop of all
 * replicas no configuration is available until a leader is elected.
 */
void raft_reset_startup_timer(cw_raft_t *raft, int64_t refusal_ms)
{
	gint32 max_jitter_ms = (gint32)raft->options.election_ms / STARTUP_JITTER_DIVISOR;

	raft->election_deadline_ms =
		raft->now_ms + refusal_ms + g_rand_int_range(raft->random, 0, max_jitter_ms + 1);
}

/*
 * Sets the time of the next pre-vote.  A pre-vote does not increment the term,
 * so it is retried soon: voters may have started or connected meanwhile.
 */
static void reset_pre_vote_timer(cw_raft_t *raft)
{
	gint32 wait_ms = MAX(1, (gint32)raft->options.election_ms / PRE_VOTE_RETRY_DIVISOR);

	raft->election_deadline_ms = raft->now_ms + wait_ms + g_rand_int_range(raft->random, 0, wait_ms + 1);
}

/* Emits SAVE_TERM with the current term and vote; with these stored, no first election is pending. */
static void save_term(cw_raft_t *raft)
{
	cw_raft_action_t *action = raft_add_action(raft, CW_RAFT_AC_SAVE_TERM);

	raft->first_election_pending = false;
	action->term = raft->term;
	action->voted_id = raft->voted_id;
	action->voted_incarnation = raft->voted_incarnation;
}

/* Moves to a new term in which this replica has not voted. */
static void enter_term(cw_raft_t *raft, uint64_t term)
{
	raft->term = term;
	raft->voted_id = 0;
	raft->voted_incarnation = 0;
	save_term(raft);
}

/* Refuses the pending reads when leadership ends. */
static void refuse_reads(cw_raft_t *raft)
{
	for (guint i = 0; i < raft->reads->len; i++)
		raft_refuse(raft, g_array_index(raft->reads, raft_read_t, i).cookie, CW_ERR_NOT_LEADER);
	g_array_set_size(raft->reads, 0);
}

/* Clears the state that only a leader has. */
static void clear_leader_state(cw_raft_t *raft)
{
	refuse_reads(raft);
	g_ptr_array_set_size(raft->peers, 0);
	g_array_set_size(raft->rounds, 0);
	raft->confirmed_round = 0;
}

/* Becomes a follower, or a learner if not a voter, in the current or a later term; leader_id 0: unknown. */
void raft_become_follower(cw_raft_t *raft, uint64_t term, uint32_t leader_id)
{
	bool voter = raft_is_voter(raft, raft->self);

	if (raft->role == CW_RAFT_LEADER)
		clear_leader_state(raft);
	if (term > raft->term)
		enter_term(raft, term);
	g_hash_table_remove_all(raft->votes);
	raft_set_role(raft, voter ? CW_RAFT_FOLLOWER : CW_RAFT_LEARNER, leader_id);
	raft_reset_election_timer(raft);
}

/*
 * Returns whether a leader has been active within the election timeout, or may
 * hold a lease that this replica confirmed before it was restarted.
 */
static bool leader_may_be_active(const cw_raft_t *raft)
{
	if (raft->role == CW_RAFT_LEADER)
		return true;
	return raft->now_ms < raft->leader_contact_ms + raft->options.election_ms;
}

/* Sends a vote request, or a pre-vote request for the next term, to every other voter. */
static void request_votes(cw_raft_t *raft, bool pre_vote)
{
	const Caraway__Membership *membership = raft_membership(raft);

	for (size_t i = 0; i < membership->n_voters; i++) {
		Caraway__RaftMessage *message;

		if (raft_same_replica(membership->voters[i], raft->self))
			continue;
		message = raft_message_new(raft, CARAWAY__RAFT_MESSAGE__BODY_VOTE_REQUEST);
		message->term = pre_vote ? raft->term + 1 : raft->term;
		message->vote_request->pre_vote = pre_vote;
		message->vote_request->last_index = raft_last_index(raft);
		message->vote_request->last_term = raft_last_term(raft);
		message->vote_request->handover = raft->handover;
		raft_send(raft, membership->voters[i], message);
	}
}

/*
 * Becomes the leader: appends an entry of the new term and starts a heartbeat
 * round.  The entry repeats the membership, so that after a restart a learner
 * knows the voters even if its settings list other replicas.
 */
static void become_leader(cw_raft_t *raft)
{
	raft->term_start_index = raft_last_index(raft) + 1;
	raft->round = 0;
	raft->confirmed_round = 0;
	raft->quorum_contact_ms = raft->now_ms;
	raft_set_role(raft, CW_RAFT_LEADER, raft->options.id);
	raft_membership_changed(raft);
	raft_repropose_membership(raft);
	raft_begin_round(raft);
}

/*
 * Counts a granted vote, or pre-vote, of a voter; returns whether a quorum has
 * granted, or every voter if the first election of the group is pending.
 */
static bool count_vote(cw_raft_t *raft, const Caraway__Replica *from)
{
	size_t needed =
		raft->first_election_pending ? raft_membership(raft)->n_voters : raft_quorum_size(raft);
	char *key;

	if (!raft_is_voter(raft, from))
		return false;
	key = g_strdup_printf("%u.%" G_GUINT64_FORMAT, from->id, from->incarnation);
	g_hash_table_add(raft->votes, key);
	return g_hash_table_size(raft->votes) >= needed;
}

/* Starts an election in the next term. */
void raft_start_election(cw_raft_t *raft, bool handover)
{
	raft->handover = handover;
	raft->term++;
	raft->voted_id = raft->options.id;
	raft->voted_incarnation = raft->options.incarnation;
	save_term(raft);
	g_hash_table_remove_all(raft->votes);
	raft_set_role(raft, CW_RAFT_CANDIDATE, 0);
	raft_reset_election_timer(raft);
	if (count_vote(raft, raft->self))
		become_leader(raft);
	else
		request_votes(raft, false);
}

/*
 * Asks the voters whether they would grant a vote, without incrementing the
 * term; retried until enough do or a leader is found.  The first election of
 * the group needs every voter to confirm that there was none before.
 */
void raft_start_pre_vote(cw_raft_t *raft)
{
	raft->handover = false;
	g_hash_table_remove_all(raft->votes);
	raft_set_role(raft, CW_RAFT_PRE_CANDIDATE, 0);
	reset_pre_vote_timer(raft);
	if (count_vote(raft, raft->self))
		raft_start_election(raft, false);
	else
		request_votes(raft, true);
}

/* Returns whether a candidate's log is at least as up to date as this one. */
static bool log_is_up_to_date(const cw_raft_t *raft, const Caraway__VoteRequest *request)
{
	uint64_t last_term = raft_last_term(raft);

	if (request->last_term != last_term)
		return request->last_term > last_term;
	return request->last_index >= raft_last_index(raft);
}

/* Returns whether this replica has not voted for another candidate in the current term. */
static bool can_vote_for(const cw_raft_t *raft, const Caraway__Replica *from)
{
	if (!raft->voted_id)
		return true;
	return raft->voted_id == from->id && raft->voted_incarnation == from->incarnation;
}

/* Sends the reply to a vote request. */
static void send_vote_reply(cw_raft_t *raft, const Caraway__RaftMessage *request, bool granted)
{
	Caraway__RaftMessage *reply = raft_message_new(raft, CARAWAY__RAFT_MESSAGE__BODY_VOTE_REPLY);

	if (granted)
		reply->term = request->term;
	reply->vote_reply->pre_vote = request->vote_request->pre_vote;
	reply->vote_reply->granted = granted;
	reply->vote_reply->last_index = raft_last_index(raft);
	raft_send(raft, request->from, reply);
}

/* Records a vote for a candidate, unless already recorded, and restarts the election timer. */
static void cast_vote(cw_raft_t *raft, const Caraway__Replica *candidate)
{
	if (!raft->voted_id) {
		raft->voted_id = candidate->id;
		raft->voted_incarnation = candidate->incarnation;
		save_term(raft);
	}
	raft_reset_election_timer(raft);
}

/*
 * Handles a vote request.  While a leader may be active, the request is refused
 * and its term is not adopted, unless that leader has handed over.
 */
void raft_on_vote_request(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	const Caraway__VoteRequest *request = message->vote_request;
	bool granted;

	if (message->term < raft->term || (!request->handover && leader_may_be_active(raft))) {
		send_vote_reply(raft, message, false);
		return;
	}
	if (request->pre_vote) {
		send_vote_reply(raft, message,
				message->term > raft->term && log_is_up_to_date(raft, request));
		return;
	}
	if (message->term > raft->term)
		raft_become_follower(raft, message->term, 0);
	granted = can_vote_for(raft, message->from) && log_is_up_to_date(raft, request);
	if (granted)
		cast_vote(raft, message->from);
	send_vote_reply(raft, message, granted);
}

/* Handles the reply to a vote request. */
void raft_on_vote_reply(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	const Caraway__VoteReply *reply = message->vote_reply;

	if (!reply->granted) {
		if (message->term > raft->term)
			raft_become_follower(raft, message->term, 0);
		return;
	}
	if (reply->pre_vote) {
		if (raft->role == CW_RAFT_PRE_CANDIDATE && message->term == raft->term + 1 &&
		    count_vote(raft, message->from))
			raft_start_election(raft, false);
		return;
	}
	if (raft->role == CW_RAFT_CANDIDATE && message->term == raft->term && count_vote(raft, message->from))
		become_leader(raft);
}

/* Returns the other voter with the highest match index, or NULL when there is none. */
static const raft_peer_t *most_caught_up_voter(const cw_raft_t *raft)
{
	const raft_peer_t *best = NULL;

	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer = g_ptr_array_index(raft->peers, i);

		if (peer->voter && (!best || peer->match_index > best->match_index))
			best = peer;
	}
	return best;
}

/*
 * Transfers leadership before a planned shutdown; gives the lease up before it
 * notifies the successor.  This replica delays its own next election by another
 * election timeout.
 */
void raft_step_down(cw_raft_t *raft)
{
	const raft_peer_t *successor;
	Caraway__Replica *to = NULL;

	if (raft->role != CW_RAFT_LEADER)
		return;
	successor = most_caught_up_voter(raft);
	if (successor)
		to = cw_message_copy(&successor->replica->base);
	raft_become_follower(raft, raft->term, 0);
	raft->election_deadline_ms += raft->options.election_ms;
	if (to)
		raft_send(raft, to, raft_message_new(raft, CARAWAY__RAFT_MESSAGE__BODY_TIMEOUT_NOW));
	cw_message_free(to);
}
