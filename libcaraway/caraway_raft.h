/* The replicated log (Raft consensus).  See libcaraway.h. */
#ifndef CARAWAY_RAFT_H
#define CARAWAY_RAFT_H

#include "caraway_base.h"

/* ---- raft: the replicated log ---------------------------------------------------------- */

typedef struct {
	uint32_t id;	       /* of this replica, from the settings */
	uint64_t incarnation;  /* identifies the data folder; a newly formatted one gets a new value */
	const char *address;   /* HOST:PORT */
	uint32_t heartbeat_ms; /* longest interval between heartbeat rounds of a leader */
	uint32_t election_ms;  /* election timeout: least time without a leader before an election */
	/* A leader that no quorum has confirmed for this long stops serving; less than election_ms. */
	uint32_t lease_ms;
	uint64_t seed;		 /* random seed of the timer jitter and of new incarnations */
	size_t max_append_bytes; /* of entries or snapshot in one message; 0: the default */
	uint32_t voter_count;	 /* number of voters that the leader maintains; 0: no fixed number */
	/* All replicas listed in the settings, incarnation 0; copied by cw_raft_new(). */
	const Caraway__Replica *const *replicas;
	size_t replica_count;
} cw_raft_options_t;

typedef struct cw_raft cw_raft_t;

typedef enum {
	CW_RAFT_LEARNER, /* non-voting */
	CW_RAFT_FOLLOWER,
	CW_RAFT_PRE_CANDIDATE,
	CW_RAFT_CANDIDATE,
	CW_RAFT_LEADER,
	CW_RAFT_FAILED /* storage failed: ignores messages, refuses requests */
} cw_raft_role_t;

/* Persistent state, loaded from the data folder at start. */
typedef struct {
	uint64_t term;
	uint32_t voted_id; /* 0: no vote in this term */
	uint64_t voted_incarnation;
	uint64_t snapshot_index; /* 0: no snapshot */
	uint64_t snapshot_term;
	Caraway__Membership *membership; /* as of the snapshot, or the initial one */
	GPtrArray *entries;		 /* Caraway__Entry *, after the snapshot */
	GBytes *snapshot;		 /* the embedding program's state as of the snapshot, or NULL */
} cw_raft_stored_t;

/* Events, with the fields of cw_raft_event_t that each uses. */
typedef enum {
	CW_RAFT_EV_TICK,	   /* time has passed; see cw_raft_next_tick_ms() */
	CW_RAFT_EV_MESSAGE,	   /* message */
	CW_RAFT_EV_PROPOSE,	   /* cookie, data: answered by PROPOSED or REFUSED */
	CW_RAFT_EV_READ,	   /* cookie: answered by READ_READY or REFUSED */
	CW_RAFT_EV_SNAPSHOT_TAKEN, /* index, data: the embedding program's state as of index, durable */
	CW_RAFT_EV_REMOVE_REPLICA, /* cookie, replica_id: answered by PROPOSED or REFUSED */
	CW_RAFT_EV_ADD_REPLICA,	   /* likewise; replica_id of a learner that has caught up */
	CW_RAFT_EV_STEP_DOWN,	   /* planned shutdown: transfer leadership */
	CW_RAFT_EV_STORAGE_FAILED  /* a storage action, or another write to the data folder, failed */
} cw_raft_event_type_t;

typedef struct {
	cw_raft_event_type_t type;
	uint64_t cookie;		     /* of a request: opaque handle of the embedding program, not 0 */
	const Caraway__RaftMessage *message; /* MESSAGE */
	const void *data;		     /* PROPOSE, SNAPSHOT_TAKEN */
	size_t length;			     /* of data, in bytes */
	uint64_t index;			     /* SNAPSHOT_TAKEN */
	uint32_t replica_id;		     /* ADD_REPLICA, REMOVE_REPLICA */
} cw_raft_event_t;

/* Actions for the embedding program.  SAVE_TERM, SAVE_INCARNATION, APPEND and INSTALL are storage actions. */
typedef enum {
	CW_RAFT_AC_SAVE_TERM,	     /* make term and vote durable before the next action */
	CW_RAFT_AC_SAVE_INCARNATION, /* make the new incarnation of the data folder durable */
	CW_RAFT_AC_APPEND,   /* truncate the log from entries[0].index on, append entries, make durable */
	CW_RAFT_AC_INSTALL,  /* replace state and log with the snapshot, make durable */
	CW_RAFT_AC_SEND,     /* send message to address; it may get lost */
	CW_RAFT_AC_APPLY,    /* a committed entry, in log order, once per process start */
	CW_RAFT_AC_PROPOSED, /* cookie, index and term of its entry; before the APPEND; see cw_raft_step() */
	CW_RAFT_AC_READ_READY, /* cookie of a read to answer: leadership was confirmed after it arrived */
	CW_RAFT_AC_REFUSED,    /* cookie, status */
	CW_RAFT_AC_ROLE	       /* role, term or leader changed */
} cw_raft_action_type_t;

typedef struct {
	cw_raft_action_type_t type;
	uint64_t cookie;		 /* PROPOSED, READ_READY, REFUSED: of the request */
	uint64_t index;			 /* APPLY, INSTALL, PROPOSED */
	uint64_t term;			 /* SAVE_TERM, ROLE; of the index: APPLY, INSTALL, PROPOSED */
	uint32_t voted_id;		 /* SAVE_TERM; 0: no vote in this term */
	uint64_t voted_incarnation;	 /* SAVE_TERM */
	uint64_t incarnation;		 /* SAVE_INCARNATION */
	cw_status_t status;		 /* REFUSED */
	GPtrArray *entries;		 /* APPEND: Caraway__Entry * */
	Caraway__Entry *entry;		 /* APPLY */
	Caraway__RaftMessage *message;	 /* SEND */
	char *address;			 /* SEND */
	GBytes *snapshot;		 /* INSTALL */
	Caraway__Membership *membership; /* INSTALL */
} cw_raft_action_t;

/*
 * The actions of a step.  The embedding program carries them out in order; when a storage action fails, it
 * discards the rest and passes STORAGE_FAILED.
 */
typedef struct {
	GArray *items; /* cw_raft_action_t */
} cw_raft_actions_t;

cw_raft_t *cw_raft_new(const cw_raft_options_t *options, const cw_raft_stored_t *stored, int64_t now_ms);
void cw_raft_free(cw_raft_t *raft);
/* Replaces the list of replicas from the settings; copied. */
void cw_raft_set_replicas(cw_raft_t *raft, const Caraway__Replica *const *replicas, size_t count);
void cw_raft_step(cw_raft_t *raft, const cw_raft_event_t *event, int64_t now_ms, cw_raft_actions_t *actions);
/* Latest time for the next TICK event. */
int64_t cw_raft_next_tick_ms(const cw_raft_t *raft);
cw_raft_role_t cw_raft_role(const cw_raft_t *raft);
uint64_t cw_raft_term(const cw_raft_t *raft);
uint64_t cw_raft_commit_index(const cw_raft_t *raft);
uint64_t cw_raft_last_index(const cw_raft_t *raft);
uint32_t cw_raft_leader_id(const cw_raft_t *raft); /* 0: none known */
/* True while a quorum has confirmed this leader within the lease. */
bool cw_raft_has_lease(const cw_raft_t *raft, int64_t now_ms);
/* The newest membership in the log, committed or not. */
const Caraway__Membership *cw_raft_membership(const cw_raft_t *raft);
/* Membership and term as of an applied index, to store in a snapshot of that index. */
const Caraway__Membership *cw_raft_membership_at(const cw_raft_t *raft, uint64_t index);
uint64_t cw_raft_term_at(const cw_raft_t *raft, uint64_t index);
/*
 * Status of every voter and learner on the leader, of this replica alone elsewhere;
 * Caraway__ReplicaStatus *, owned by the caller.
 */
GPtrArray *cw_raft_replica_statuses(const cw_raft_t *raft, int64_t now_ms);
void cw_raft_actions_init(cw_raft_actions_t *actions);
void cw_raft_actions_clear(cw_raft_actions_t *actions);

#endif
