/* The Raft state machine of one replica: takes events and emits actions. */
#include "raft.h"

enum {
	RAFT_RETAINED_ENTRIES = 256, /* kept before the snapshot: peers slightly behind need no snapshot */
	CLOCK_DRIFT_DIVISOR = 10 /* margin: lease / divisor; clock rates of two machines differ by far less */
};

/* Appends an action to those of the current step; the pointer is valid until the next call. */
cw_raft_action_t *raft_add_action(cw_raft_t *raft, cw_raft_action_type_t type)
{
	cw_raft_action_t action = {.type = type};

	g_array_append_val(raft->actions->items, action);
	return &g_array_index(raft->actions->items, cw_raft_action_t, raft->actions->items->len - 1);
}

/* Emits REFUSED for the request with a cookie; a cookie of 0 is not answered. */
void raft_refuse(cw_raft_t *raft, uint64_t cookie, cw_status_t status)
{
	cw_raft_action_t *action;

	if (!cookie)
		return;
	action = raft_add_action(raft, CW_RAFT_AC_REFUSED);
	action->cookie = cookie;
	action->status = status;
}

/* Sets role and leader, and emits a ROLE action if they or the term have changed since the last one. */
void raft_set_role(cw_raft_t *raft, cw_raft_role_t role, uint32_t leader_id)
{
	if (raft->role == role && raft->leader_id == leader_id && raft->reported_term == raft->term)
		return;
	raft->role = role;
	raft->leader_id = leader_id;
	raft->reported_term = raft->term;
	raft_add_action(raft, CW_RAFT_AC_ROLE)->term = raft->term;
}

/* Returns the address of a replica: from the settings if listed there, else from its record. */
static const char *address_of(const cw_raft_t *raft, const Caraway__Replica *replica)
{
	for (guint i = 0; i < raft->configured_replicas->len; i++) {
		const Caraway__Replica *configured = g_ptr_array_index(raft->configured_replicas, i);

		if (configured->id == replica->id && configured->address && *configured->address)
			return configured->address;
	}
	return replica->address;
}

/* Emits an action that sends a message; takes ownership of the message. */
void raft_send(cw_raft_t *raft, const Caraway__Replica *to, Caraway__RaftMessage *message)
{
	cw_raft_action_t *action = raft_add_action(raft, CW_RAFT_AC_SEND);

	message->to_id = to->id;
	message->to_incarnation = to->incarnation;
	action->message = message;
	action->address = g_strdup(address_of(raft, to));
}

/* Allocates and initializes the body of a new message. */
#define RAFT_NEW_BODY(message, field, type)                                                                  \
	do {                                                                                                 \
		(message)->field = malloc(sizeof(*(message)->field));                                        \
		caraway__##type##__init((message)->field);                                                   \
	} while (0)

/* Returns a new message of the current term with an empty body. */
Caraway__RaftMessage *raft_message_new(cw_raft_t *raft, Caraway__RaftMessage__BodyCase body_case)
{
	Caraway__RaftMessage *message = malloc(sizeof(*message));

	caraway__raft_message__init(message);
	message->from = cw_message_copy(&raft->self->base);
	message->term = raft->term;
	message->body_case = body_case;
	switch (body_case) {
	case CARAWAY__RAFT_MESSAGE__BODY_VOTE_REQUEST:
		RAFT_NEW_BODY(message, vote_request, vote_request);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_VOTE_REPLY:
		RAFT_NEW_BODY(message, vote_reply, vote_reply);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_APPEND_REQUEST:
		RAFT_NEW_BODY(message, append_request, append_request);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_APPEND_REPLY:
		RAFT_NEW_BODY(message, append_reply, append_reply);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST:
		RAFT_NEW_BODY(message, snapshot_request, snapshot_request);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
		RAFT_NEW_BODY(message, snapshot_reply, snapshot_reply);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_JOIN_REQUEST:
		RAFT_NEW_BODY(message, join_request, join_request);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_TIMEOUT_NOW:
		RAFT_NEW_BODY(message, timeout_now, timeout_now);
		break;
	default:
		break;
	}
	return message;
}

/* Returns a new record of a replica with a copy of the address, owned by the caller. */
static Caraway__Replica *replica_new(uint32_t id, uint64_t incarnation, const char *address)
{
	Caraway__Replica replica = CARAWAY__REPLICA__INIT;

	replica.id = id;
	replica.incarnation = incarnation;
	replica.address = (char *)(address ? address : "");
	return cw_message_copy(&replica.base);
}

/* Copies the options, including everything they point to. */
static void copy_options(cw_raft_t *raft, const cw_raft_options_t *options)
{
	raft->options = *options;
	raft->self = replica_new(options->id, options->incarnation, options->address);
	raft->options.address = raft->self->address;
	raft->options.replicas = NULL;
	raft->options.replica_count = 0;
	raft->configured_replicas = g_ptr_array_new_with_free_func(cw_message_free);
	cw_raft_set_replicas(raft, options->replicas, options->replica_count);
}

/* Replaces the list of replicas from the settings. */
void cw_raft_set_replicas(cw_raft_t *raft, const Caraway__Replica *const *replicas, size_t count)
{
	g_ptr_array_set_size(raft->configured_replicas, 0);
	for (size_t i = 0; i < count; i++)
		g_ptr_array_add(raft->configured_replicas, cw_message_copy(&replicas[i]->base));
}

/*
 * Returns for how long a replica refuses votes after its start: the lease plus
 * a margin for clock drift, at most the election timeout.
 */
static int64_t startup_refusal_ms(const cw_raft_options_t *options)
{
	int64_t refusal_ms = options->lease_ms + options->lease_ms / CLOCK_DRIFT_DIVISOR;

	return MIN(refusal_ms, options->election_ms);
}

/*
 * Returns a replica with the state loaded from its data folder.  It may have
 * replied to a leader just before it was stopped, so it refuses votes until
 * that leader's lease has certainly expired: leader_contact_ms is set so that
 * leader_may_be_active() returns true until then.
 */
cw_raft_t *cw_raft_new(const cw_raft_options_t *options, const cw_raft_stored_t *stored, int64_t now_ms)
{
	cw_raft_t *raft = g_new0(cw_raft_t, 1);

	copy_options(raft, options);
	raft->random = g_rand_new_with_seed((guint32)(options->seed ^ (options->seed >> 32)));
	raft->term = stored->term;
	raft->reported_term = stored->term;
	raft->voted_id = stored->voted_id;
	raft->voted_incarnation = stored->voted_incarnation;
	raft->votes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	raft->peers = g_ptr_array_new_with_free_func(raft_peer_free);
	raft->rounds = g_array_new(FALSE, FALSE, sizeof(raft_round_t));
	raft->reads = g_array_new(FALSE, FALSE, sizeof(raft_read_t));
	raft->incoming_snapshot.data = g_byte_array_new();
	raft_log_load(raft, stored);
	raft->now_ms = now_ms;
	raft->leader_contact_ms = now_ms - options->election_ms + startup_refusal_ms(options);
	raft->join_deadline_ms = now_ms;
	raft->first_election_pending = !stored->term && !raft_last_index(raft);
	raft->role = raft_is_voter(raft, raft->self) ? CW_RAFT_FOLLOWER : CW_RAFT_LEARNER;
	raft_reset_startup_timer(raft, startup_refusal_ms(options));
	return raft;
}

/* Frees a replica; NULL is allowed. */
void cw_raft_free(cw_raft_t *raft)
{
	if (!raft)
		return;
	raft_log_free(raft);
	cw_message_free(raft->self);
	g_ptr_array_free(raft->configured_replicas, TRUE);
	g_ptr_array_free(raft->peers, TRUE);
	g_array_free(raft->rounds, TRUE);
	g_array_free(raft->reads, TRUE);
	g_byte_array_free(raft->incoming_snapshot.data, TRUE);
	g_hash_table_destroy(raft->votes);
	g_rand_free(raft->random);
	g_free(raft);
}

/* Handles the timers that have expired. */
static void tick(cw_raft_t *raft)
{
	switch (raft->role) {
	case CW_RAFT_LEADER:
		if (raft->now_ms >= raft->heartbeat_deadline_ms)
			raft_begin_round(raft);
		break;
	case CW_RAFT_PRE_CANDIDATE:
		/* This replica may have been replaced as a voter during a network partition. */
		if (raft->now_ms >= raft->join_deadline_ms)
			raft_send_join_requests(raft);
		/* fall through */
	case CW_RAFT_FOLLOWER:
	case CW_RAFT_CANDIDATE:
		if (raft->now_ms >= raft->election_deadline_ms)
			raft_start_pre_vote(raft);
		break;
	case CW_RAFT_LEARNER:
		if (raft->now_ms >= raft->join_deadline_ms)
			raft_send_join_requests(raft);
		break;
	case CW_RAFT_FAILED:
		break;
	}
}

/* Returns whether a message is addressed to this incarnation, or is a join request to any incarnation. */
static bool is_addressed_to_self(const cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	if (!message->from || message->from->id == raft->options.id || message->to_id != raft->options.id)
		return false;
	if (message->to_incarnation == raft->options.incarnation)
		return true;
	return !message->to_incarnation && message->body_case == CARAWAY__RAFT_MESSAGE__BODY_JOIN_REQUEST;
}

/* Returns whether a message is a join request or may belong to the first election of the group. */
static bool may_precede_first_election(const Caraway__RaftMessage *message)
{
	switch (message->body_case) {
	case CARAWAY__RAFT_MESSAGE__BODY_VOTE_REQUEST:
		return message->term <= 1 && !message->vote_request->last_index;
	case CARAWAY__RAFT_MESSAGE__BODY_VOTE_REPLY:
		/* A refusal in the first term may come from another candidate of the first election. */
		return message->term == 0 || (message->term == 1 && (message->vote_reply->granted ||
								     !message->vote_reply->last_index));
	case CARAWAY__RAFT_MESSAGE__BODY_JOIN_REQUEST:
		return true;
	default:
		return false;
	}
}

/* Adopts a higher term from a replication message, which proves that the term is in use. */
static void observe_term(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	switch (message->body_case) {
	case CARAWAY__RAFT_MESSAGE__BODY_APPEND_REQUEST:
	case CARAWAY__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST:
		if (message->term > raft->term)
			raft_become_follower(raft, message->term, message->from->id);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_APPEND_REPLY:
	case CARAWAY__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
		if (message->term > raft->term)
			raft_become_follower(raft, message->term, 0);
		break;
	default:
		break;
	}
}

/* Starts an election on request of the former leader, which has given up its lease. */
static void on_timeout_now(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	if (message->term == raft->term && raft->role == CW_RAFT_FOLLOWER)
		raft_start_election(raft, true);
}

/* Handles a message from another replica. */
static void on_message(cw_raft_t *raft, const Caraway__RaftMessage *message)
{
	if (!is_addressed_to_self(raft, message))
		return;
	if (raft->first_election_pending && raft->role != CW_RAFT_LEARNER &&
	    !may_precede_first_election(message)) {
		raft_renew_incarnation(raft);
		return;
	}
	observe_term(raft, message);
	switch (message->body_case) {
	case CARAWAY__RAFT_MESSAGE__BODY_VOTE_REQUEST:
		raft_on_vote_request(raft, message);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_VOTE_REPLY:
		raft_on_vote_reply(raft, message);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_APPEND_REQUEST:
		raft_on_append_request(raft, message);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_APPEND_REPLY:
		raft_on_append_reply(raft, message);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_SNAPSHOT_REQUEST:
		raft_on_snapshot_request(raft, message);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_SNAPSHOT_REPLY:
		raft_on_snapshot_reply(raft, message);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_JOIN_REQUEST:
		raft_on_join_request(raft, message);
		break;
	case CARAWAY__RAFT_MESSAGE__BODY_TIMEOUT_NOW:
		on_timeout_now(raft, message);
		break;
	default:
		break;
	}
}

/*
 * Handles a proposal, a read or a membership change, which only a leader
 * accepts.  The lease is not checked: it may have expired just because this
 * request took so long, and a quorum decides the outcome of every request.
 */
static void on_request(cw_raft_t *raft, const cw_raft_event_t *event)
{
	if (raft->role == CW_RAFT_FAILED) {
		raft_refuse(raft, event->cookie, CW_ERR_IO);
		return;
	}
	if (raft->role != CW_RAFT_LEADER) {
		raft_refuse(raft, event->cookie, raft->leader_id ? CW_ERR_NOT_LEADER : CW_ERR_NO_QUORUM);
		return;
	}
	if (event->type == CW_RAFT_EV_PROPOSE)
		raft_propose(raft, event->cookie, CARAWAY__ENTRY_KIND__ENTRY_COMMAND, event->data,
			     event->length);
	else if (event->type == CW_RAFT_EV_READ)
		raft_read(raft, event->cookie);
	else
		raft_change_membership(raft, event->cookie, event->replica_id,
				       event->type == CW_RAFT_EV_ADD_REPLICA);
}

/* Records a snapshot and discards the entries it covers, except the last RAFT_RETAINED_ENTRIES. */
static void on_snapshot_taken(cw_raft_t *raft, const cw_raft_event_t *event)
{
	GBytes *snapshot;

	if (event->index < raft->snapshot_index || event->index > raft->commit_index)
		return;
	snapshot = g_bytes_new(event->data, event->length);
	raft_set_snapshot(raft, event->index, raft_term_at(raft, event->index), snapshot);
	g_bytes_unref(snapshot);
	if (event->index > RAFT_RETAINED_ENTRIES)
		raft_log_compact(raft, event->index - RAFT_RETAINED_ENTRIES);
}

/* Stops participating: what this replica has acknowledged may not be on disk. */
static void on_storage_failed(cw_raft_t *raft)
{
	raft_become_follower(raft, raft->term, 0);
	raft_set_role(raft, CW_RAFT_FAILED, 0);
}

/*
 * Handles one event at now_ms and appends the resulting actions.
 *
 * The caller must read now_ms after it received the event: if the process is
 * suspended between an earlier reading and the event, the replica may vote for
 * a new leader while the lease of the current one is valid.  A proposal is
 * answered at once, with PROPOSED or REFUSED.  After PROPOSED the entry applied
 * at its index decides the outcome: if it has the same term, the proposal was
 * carried out; if it has another term, it was not.  If the replica fails, or
 * installs a snapshot that covers the index, the outcome is
 * CW_ERR_UNKNOWN_OUTCOME.
 */
void cw_raft_step(cw_raft_t *raft, const cw_raft_event_t *event, int64_t now_ms, cw_raft_actions_t *actions)
{
	raft->now_ms = MAX(raft->now_ms, now_ms);
	raft->actions = actions;
	raft_commit(raft, raft->recovered_commit_index);
	raft_check_quorum(raft);
	switch (event->type) {
	case CW_RAFT_EV_TICK:
		tick(raft);
		break;
	case CW_RAFT_EV_MESSAGE:
		if (raft->role != CW_RAFT_FAILED)
			on_message(raft, event->message);
		break;
	case CW_RAFT_EV_PROPOSE:
	case CW_RAFT_EV_READ:
	case CW_RAFT_EV_REMOVE_REPLICA:
	case CW_RAFT_EV_ADD_REPLICA:
		on_request(raft, event);
		break;
	case CW_RAFT_EV_SNAPSHOT_TAKEN:
		on_snapshot_taken(raft, event);
		break;
	case CW_RAFT_EV_STEP_DOWN:
		raft_step_down(raft);
		break;
	case CW_RAFT_EV_STORAGE_FAILED:
		on_storage_failed(raft);
		break;
	}
	raft->actions = NULL;
}

/* Returns the latest time for the next TICK event; INT64_MAX after a storage failure. */
int64_t cw_raft_next_tick_ms(const cw_raft_t *raft)
{
	switch (raft->role) {
	case CW_RAFT_LEADER:
		return MIN(raft->heartbeat_deadline_ms, raft->quorum_contact_ms + raft->options.election_ms);
	case CW_RAFT_LEARNER:
		return raft->join_deadline_ms;
	case CW_RAFT_FAILED:
		return INT64_MAX;
	default:
		return raft->election_deadline_ms;
	}
}
