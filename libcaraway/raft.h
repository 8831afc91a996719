/* Internal declarations of the replicated log, not installed. */
#ifndef RAFT_H
#define RAFT_H

#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* A membership and the log index from which on it is in effect. */
typedef struct {
	uint64_t index;
	Caraway__Membership *membership;
} raft_membership_t;

/* The leader's view of another replica, which is identified by id and incarnation. */
typedef struct {
	Caraway__Replica *replica;
	bool voter;
	uint64_t next_index;   /* next entry to send; if no longer in memory, the peer needs a snapshot */
	uint64_t match_index;  /* last entry known to match and to be durable there */
	uint64_t acked_round;  /* newest heartbeat round answered */
	int64_t last_reply_ms; /* time of the last reply, initially of becoming a peer */
	GBytes *snapshot;      /* being transferred, or NULL */
	uint64_t snapshot_index;
	uint64_t snapshot_term;
	Caraway__Membership *snapshot_membership;
	uint64_t snapshot_offset; /* bytes of the snapshot that the peer has received */
	int64_t resend_ms;	  /* earliest time to send the same chunk again */
} raft_peer_t;

/* A heartbeat round that is not yet answered by a quorum. */
typedef struct {
	uint64_t round;
	int64_t started_ms;
} raft_round_t;

/* A read that waits until a quorum has answered a heartbeat round. */
typedef struct {
	uint64_t cookie;
	uint64_t round;
} raft_read_t;

/* A snapshot being received. */
typedef struct {
	uint64_t last_index; /* 0: none */
	uint64_t last_term;
	uint64_t total;	  /* size of the whole snapshot in bytes */
	uint64_t digest;  /* cw_hash() of the whole snapshot */
	GByteArray *data; /* received so far */
} raft_incoming_snapshot_t;

struct cw_raft {
	cw_raft_options_t options;
	Caraway__Replica *self;
	GPtrArray *configured_replicas; /* Caraway__Replica *, listed in the settings */
	GRand *random;

	cw_raft_role_t role;
	uint64_t term;
	uint32_t voted_id; /* 0: no vote in this term */
	uint64_t voted_incarnation;
	uint32_t leader_id;	/* 0: unknown */
	uint64_t reported_term; /* in the last ROLE action */

	GPtrArray *entries;  /* Caraway__Entry *, from base_index + 1 on */
	uint64_t base_index; /* last entry that is no longer in memory; 0: none */
	uint64_t base_term;  /* of that entry */
	GArray *memberships; /* raft_membership_t, ascending index; the first is at or before base_index */
	uint64_t commit_index;
	/* Commit index recorded in the last entry loaded at start; the first step applies up to it. */
	uint64_t recovered_commit_index;
	uint64_t snapshot_index; /* of the newest snapshot; 0: none */
	uint64_t snapshot_term;
	GBytes *snapshot;
	raft_incoming_snapshot_t incoming_snapshot;

	int64_t now_ms;		       /* time of the current step */
	int64_t leader_contact_ms;     /* last message of a leader; for the initial value see cw_raft_new() */
	int64_t election_deadline_ms;  /* of a follower or candidate */
	int64_t join_deadline_ms;      /* next join requests of a learner or pre-candidate */
	int64_t heartbeat_deadline_ms; /* next heartbeat round of a leader */
	bool first_election_pending;   /* no term or log stored yet: the group may not have had an election */
	bool handover;		       /* the former leader requested the current election */
	GHashTable *votes;	       /* "id.incarnation" of each voter that granted a vote or pre-vote */

	/* Leader only. */
	GPtrArray *peers;		 /* raft_peer_t * */
	uint64_t term_start_index;	 /* first entry of this leader's term */
	uint64_t round;			 /* number of the newest heartbeat round */
	uint64_t announced_commit_index; /* commit index sent with the newest round */
	uint64_t confirmed_round;	 /* newest round answered by a quorum; 0: none in this term */
	int64_t quorum_contact_ms;	 /* start of the newest confirmed round, or time of the election */
	GArray *rounds;			 /* raft_round_t, not yet confirmed */
	GArray *reads;			 /* raft_read_t */

	cw_raft_actions_t *actions; /* of the current step */
};

/* raft.c */
cw_raft_action_t *raft_add_action(cw_raft_t *raft, cw_raft_action_type_t type);
void raft_refuse(cw_raft_t *raft, uint64_t cookie, cw_status_t status);
void raft_set_role(cw_raft_t *raft, cw_raft_role_t role, uint32_t leader_id);
void raft_send(cw_raft_t *raft, const Caraway__Replica *to, Caraway__RaftMessage *message);
Caraway__RaftMessage *raft_message_new(cw_raft_t *raft, Caraway__RaftMessage__BodyCase body_case);

/* raft_log.c */
uint64_t raft_last_index(const cw_raft_t *raft);
uint64_t raft_last_term(const cw_raft_t *raft);
uint64_t raft_term_at(const cw_raft_t *raft, uint64_t index);
const Caraway__Entry *raft_entry(const cw_raft_t *raft, uint64_t index);
Caraway__Entry *raft_entry_new(uint64_t index, uint64_t term, Caraway__EntryKind kind, const void *data,
			       size_t length);
Caraway__Entry *raft_entry_copy(const Caraway__Entry *entry);
void raft_log_load(cw_raft_t *raft, const cw_raft_stored_t *stored);
void raft_log_free(cw_raft_t *raft);
void raft_log_append(cw_raft_t *raft, const Caraway__Entry *entry);
void raft_log_truncate(cw_raft_t *raft, uint64_t index);
void raft_log_compact(cw_raft_t *raft, uint64_t index);
void raft_log_reset(cw_raft_t *raft, uint64_t index, uint64_t term, const Caraway__Membership *membership);
void raft_set_snapshot(cw_raft_t *raft, uint64_t index, uint64_t term, GBytes *snapshot);
void raft_commit(cw_raft_t *raft, uint64_t index);

/* raft_election.c */
void raft_reset_election_timer(cw_raft_t *raft);
void raft_reset_startup_timer(cw_raft_t *raft, int64_t refusal_ms);
void raft_become_follower(cw_raft_t *raft, uint64_t term, uint32_t leader_id);
void raft_start_pre_vote(cw_raft_t *raft);
void raft_start_election(cw_raft_t *raft, bool handover);
void raft_on_vote_request(cw_raft_t *raft, const Caraway__RaftMessage *message);
void raft_on_vote_reply(cw_raft_t *raft, const Caraway__RaftMessage *message);
void raft_step_down(cw_raft_t *raft);

/* raft_replication.c: leader side */
void raft_begin_round(cw_raft_t *raft);
void raft_propose(cw_raft_t *raft, uint64_t cookie, Caraway__EntryKind kind, const void *data, size_t length);
void raft_read(cw_raft_t *raft, uint64_t cookie);
void raft_check_quorum(cw_raft_t *raft);
void raft_update_progress(cw_raft_t *raft);
void raft_send_append(cw_raft_t *raft, raft_peer_t *peer);
void raft_on_append_reply(cw_raft_t *raft, const Caraway__RaftMessage *message);
void raft_on_snapshot_reply(cw_raft_t *raft, const Caraway__RaftMessage *message);

/* raft_follower.c: receiving side */
void raft_on_append_request(cw_raft_t *raft, const Caraway__RaftMessage *message);
void raft_on_snapshot_request(cw_raft_t *raft, const Caraway__RaftMessage *message);

/* raft_membership.c */
const Caraway__Membership *raft_membership(const cw_raft_t *raft);
const Caraway__Replica *raft_find_voter(const Caraway__Membership *membership, uint32_t id);
bool raft_is_voter(const cw_raft_t *raft, const Caraway__Replica *replica);
bool raft_same_replica(const Caraway__Replica *a, const Caraway__Replica *b);
size_t raft_quorum_size(const cw_raft_t *raft);
void raft_membership_changed(cw_raft_t *raft);
raft_peer_t *raft_find_peer(const cw_raft_t *raft, const Caraway__Replica *replica);
void raft_peer_free(gpointer data);
void raft_peer_end_snapshot(raft_peer_t *peer);
bool raft_peer_is_reachable(const cw_raft_t *raft, const raft_peer_t *peer);
void raft_remove_unreachable_learners(cw_raft_t *raft);
void raft_send_join_requests(cw_raft_t *raft);
void raft_on_join_request(cw_raft_t *raft, const Caraway__RaftMessage *message);
void raft_readmit_learners(cw_raft_t *raft);
void raft_maintain_voters(cw_raft_t *raft);
void raft_repropose_membership(cw_raft_t *raft);
bool raft_is_configured(const cw_raft_t *raft, uint32_t id);
void raft_renew_incarnation(cw_raft_t *raft);
void raft_change_membership(cw_raft_t *raft, uint64_t cookie, uint32_t id, bool add);

#endif
