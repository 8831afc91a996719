/* Accessors for the state of a replica, and the list of actions. */
#include "raft.h"

/* Returns the current role. */
cw_raft_role_t cw_raft_role(const cw_raft_t *raft)
{
	return raft->role;
}

/* Returns the current term. */
uint64_t cw_raft_term(const cw_raft_t *raft)
{
	return raft->term;
}

/* Returns the index of the last entry known to be committed. */
uint64_t cw_raft_commit_index(const cw_raft_t *raft)
{
	return raft->commit_index;
}

/* Returns the index of the last entry. */
uint64_t cw_raft_last_index(const cw_raft_t *raft)
{
	return raft_last_index(raft);
}

/* Returns the id of the leader of the current term; 0 if unknown. */
uint32_t cw_raft_leader_id(const cw_raft_t *raft)
{
	return raft->leader_id;
}

/* Returns whether a quorum has answered a heartbeat round that was started within the lease time. */
bool cw_raft_has_lease(const cw_raft_t *raft, int64_t now_ms)
{
	return raft->role == CW_RAFT_LEADER && raft->confirmed_round > 0 &&
	       now_ms < raft->quorum_contact_ms + raft->options.lease_ms;
}

/* Returns a status record, to be freed with cw_message_free(). */
static Caraway__ReplicaStatus *status_new(const Caraway__Replica *replica, bool voter, uint64_t match_index,
					  bool reachable)
{
	Caraway__ReplicaStatus *status = malloc(sizeof(*status));

	caraway__replica_status__init(status);
	status->replica = cw_message_copy(&replica->base);
	status->voter = voter;
	status->match_index = match_index;
	status->reachable = reachable;
	return status;
}

/* Returns the status of this replica and, on the leader, of its peers. */
GPtrArray *cw_raft_replica_statuses(const cw_raft_t *raft, int64_t now_ms)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(cw_message_free);

	g_ptr_array_add(list, status_new(raft->self, raft_is_voter(raft, raft->self), raft_last_index(raft),
					 raft->role != CW_RAFT_FAILED));
	for (guint i = 0; i < raft->peers->len; i++) {
		const raft_peer_t *peer = g_ptr_array_index(raft->peers, i);
		bool reachable = now_ms < peer->last_reply_ms + raft->options.election_ms;

		g_ptr_array_add(list, status_new(peer->replica, peer->voter, peer->match_index, reachable));
	}
	return list;
}

/* Initializes an empty list of actions. */
void cw_raft_actions_init(cw_raft_actions_t *actions)
{
	actions->items = g_array_new(FALSE, FALSE, sizeof(cw_raft_action_t));
}

/* Frees the contents of the actions and empties the list, which can be reused. */
void cw_raft_actions_clear(cw_raft_actions_t *actions)
{
	for (guint i = 0; i < actions->items->len; i++) {
		cw_raft_action_t *action = &g_array_index(actions->items, cw_raft_action_t, i);

		if (action->entries)
			g_ptr_array_free(action->entries, TRUE);
		if (action->snapshot)
			g_bytes_unref(action->snapshot);
		cw_message_free(action->entry);
		cw_message_free(action->message);
		cw_message_free(action->membership);
		g_free(action->address);
	}
	g_array_set_size(actions->items, 0);
}
