/*
 * Public interface of libcaraway: the decisions of carawaygrade as state
 * machines without input or output, clock or global state.
 *
 * Each part takes an event and the present time and appends actions for its
 * embedder to carry out.  Times are milliseconds: "_ms" of the wall clock is
 * UTC since the epoch, "now_ms" is a monotonic clock of the embedder's choice.
 * Functions that can fail return a cw_status_t; cw_last_message() tells more.
 */
#ifndef LIBCARAWAY_H
#define LIBCARAWAY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gen/caraway.pb-c.h"

/* ---- status ------------------------------------------------------------- */

typedef enum {
	CW_OK = 0,
	CW_ERR_USAGE,		/* command line */
	CW_ERR_SETTINGS,	/* settings file */
	CW_ERR_CHANGE_FILE,	/* change file */
	CW_ERR_SELECTOR,	/* selector text */
	CW_ERR_NOT_FOUND,	/* no such change, VM or file */
	CW_ERR_CONFLICT,	/* same number, other content */
	CW_ERR_STATE,		/* the change is not in a state that allows this */
	CW_ERR_SAME_OPERATOR,	/* the booker may not review */
	CW_ERR_CHECK,		/* a proxy would hold a dangling route */
	CW_ERR_NOT_LEADER,	/* another replica leads */
	CW_ERR_NO_QUORUM,	/* the replica cannot reach a quorum */
	CW_ERR_UNKNOWN_OUTCOME, /* the command may or may not be carried out */
	CW_ERR_TIMEOUT,		/* no answer in time */
	CW_ERR_IO,		/* read, write or sync failed */
	CW_ERR_DISK_FULL,	/* no space for a durable write */
	CW_ERR_DAMAGED,		/* a checksum or length does not hold */
	CW_ERR_DECODE,		/* a message cannot be decoded */
	CW_ERR_POSITION,	/* a record does not follow what is held */
	CW_ERR_STALE,		/* older than what is held */
	CW_ERR_DENIED,		/* the key or role does not allow this */
	CW_ERR_FULL,		/* a bounded table or queue is full */
	CW_ERR_INTERNAL,
	CW_STATUS_COUNT
} cw_status_t;

const char *cw_status_word(cw_status_t status);
cw_status_t cw_fail(cw_status_t status, const char *format, ...) G_GNUC_PRINTF(2, 3);
const char *cw_last_message(void);

/* ---- messages ------------------------------------------------------------- */

GBytes *cw_message_pack(const ProtobufCMessage *message);
void *cw_message_copy(const ProtobufCMessage *message);
void cw_message_free(void *message);
uint64_t cw_hash(const void *data, size_t length, uint64_t seed);

/* ---- selectors -------------------------------------------------------------- */

/* "zone=eger,service!=konvoj,track"; an empty text selects every VM. */
typedef struct cw_selector cw_selector_t;

cw_status_t cw_selector_parse(const char *text, cw_selector_t **selector);
bool cw_selector_match(const cw_selector_t *selector, const Caraway__Vm *vm);
void cw_selector_free(cw_selector_t *selector);

/* ---- change files ------------------------------------------------------------ */

cw_status_t cw_change_parse(const char *text, size_t length, const char *file, Caraway__Content **content);
cw_status_t cw_content_check(const Caraway__Content *content);
uint64_t cw_content_digest(const Caraway__Content *content);

/* ---- catalog: what is in force, for every VM ------------------------------------ */

typedef struct {
	uint64_t version;
	GPtrArray *services; /* Caraway__Service *, by name */
	GPtrArray *routes;   /* Caraway__Route *, by name */
	GPtrArray *targets;  /* Caraway__Target *, by name */
} cw_config_t;

typedef struct cw_catalog cw_catalog_t;

cw_catalog_t *cw_catalog_new(void);
void cw_catalog_free(cw_catalog_t *catalog);
cw_catalog_t *cw_catalog_copy(const cw_catalog_t *catalog);
uint64_t cw_catalog_version(const cw_catalog_t *catalog);
void cw_catalog_apply(cw_catalog_t *catalog, const Caraway__Content *content, uint64_t number,
		      uint64_t version);
void cw_catalog_set_vm(cw_catalog_t *catalog, const Caraway__Vm *vm, uint64_t version);
const Caraway__Vm *cw_catalog_vm(const cw_catalog_t *catalog, const char *name);
GPtrArray *cw_catalog_vms(const cw_catalog_t *catalog); /* borrowed Caraway__Vm *, by name */
cw_config_t *cw_catalog_resolve(const cw_catalog_t *catalog, const Caraway__Vm *vm);
cw_status_t cw_catalog_check(const cw_catalog_t *catalog);
cw_status_t cw_catalog_check_vm(const cw_catalog_t *catalog, const Caraway__Vm *vm);
Caraway__Catalog *cw_catalog_save(const cw_catalog_t *catalog);
cw_status_t cw_catalog_load(const Caraway__Catalog *saved, cw_catalog_t **catalog);
void cw_config_free(cw_config_t *config);

/* ---- feed: the ordered records that carry the catalog to proxies ------------------- */

typedef struct cw_feed cw_feed_t;

cw_feed_t *cw_feed_new(size_t keep_records);
void cw_feed_free(cw_feed_t *feed);
const cw_catalog_t *cw_feed_catalog(const cw_feed_t *feed);
uint64_t cw_feed_index(const cw_feed_t *feed);
uint64_t cw_feed_chain(const cw_feed_t *feed);
uint64_t cw_feed_version(const cw_feed_t *feed);
/* Source side: numbers, chains and applies a record made of the body given. */
void cw_feed_stage(cw_feed_t *feed, uint64_t number, const Caraway__Content *content);
cw_status_t cw_feed_activate(cw_feed_t *feed, uint64_t number, int64_t due_ms, int64_t at_ms);
void cw_feed_drop(cw_feed_t *feed, uint64_t number);
void cw_feed_set_vm(cw_feed_t *feed, const Caraway__Vm *vm);
/* Parent side: fills records or snapshot of news for a child that holds index and chain. */
cw_status_t cw_feed_read(const cw_feed_t *feed, uint64_t index, uint64_t chain, size_t max_bytes,
			 Caraway__News *news);
/* Child side: all of the news or none of it. */
cw_status_t cw_feed_accept(cw_feed_t *feed, const Caraway__News *news);
Caraway__FeedSnapshot *cw_feed_save(const cw_feed_t *feed);
cw_status_t cw_feed_load(cw_feed_t *feed, const Caraway__FeedSnapshot *saved);

/* ---- ledger: the life of changes, applied from the replicated log -------------------- */

typedef struct cw_ledger cw_ledger_t;

cw_ledger_t *cw_ledger_new(size_t keep_records);
void cw_ledger_free(cw_ledger_t *ledger);
/*
 * Applies one committed command.  Deterministic: reads nothing but the ledger
 * and the command.  A refusal is an answer, kept by the ledger where it must
 * be repeated; *change is a copy of the change concerned, or NULL.
 */
cw_status_t cw_ledger_apply(cw_ledger_t *ledger, const Caraway__Command *command, Caraway__Change **change);
cw_feed_t *cw_ledger_feed(cw_ledger_t *ledger);
const Caraway__Change *cw_ledger_change(const cw_ledger_t *ledger, uint64_t number);
GPtrArray *cw_ledger_changes(const cw_ledger_t *ledger); /* borrowed Caraway__Change *, by number */
/* The accepted change to activate next, by due time then number; 0 if none is due at utc_ms. */
uint64_t cw_ledger_due(const cw_ledger_t *ledger, int64_t utc_ms);
/* Due time of the next accepted change, UTC ms; INT64_MAX if there is none. */
int64_t cw_ledger_next_due_ms(const cw_ledger_t *ledger);
GBytes *cw_ledger_save(const cw_ledger_t *ledger);
cw_status_t cw_ledger_load(cw_ledger_t *ledger, const void *data, size_t length);

/* ---- raft: the replicated log ---------------------------------------------------------- */

typedef struct {
	uint32_t id;	      /* of this replica, as in the settings */
	uint64_t incarnation; /* of its data folder */
	const char *address;  /* HOST:PORT */
	uint32_t heartbeat_ms;
	uint32_t election_ms; /* least time without a leader before an election */
	uint32_t lease_ms;    /* a leader without a quorum for this long stops answering */
	uint64_t seed;	      /* of the election jitter */
	size_t max_append_bytes;
} cw_raft_options_t;

typedef struct cw_raft cw_raft_t;

typedef enum {
	CW_RAFT_LEARNER, /* holds no vote */
	CW_RAFT_FOLLOWER,
	CW_RAFT_PRE_CANDIDATE,
	CW_RAFT_CANDIDATE,
	CW_RAFT_LEADER,
	CW_RAFT_FAILED /* storage failed: takes part in nothing */
} cw_raft_role_t;

/* What a replica reads from its data folder at start. */
typedef struct {
	uint64_t term;
	uint32_t voted_id; /* 0: no vote in this term */
	uint64_t voted_incarnation;
	uint64_t snapshot_index; /* 0: no snapshot */
	uint64_t snapshot_term;
	Caraway__Membership *membership; /* as of the snapshot, or the first one */
	GPtrArray *entries;		 /* Caraway__Entry *, following the snapshot */
} cw_raft_stored_t;

typedef enum {
	CW_RAFT_EV_TICK,
	CW_RAFT_EV_MESSAGE,
	CW_RAFT_EV_PROPOSE,	   /* cookie, data: answered by PROPOSED or REFUSED */
	CW_RAFT_EV_READ,	   /* cookie: answered by READ_READY or REFUSED */
	CW_RAFT_EV_SNAPSHOT_TAKEN, /* index, data: the embedder's state as of index, already synced */
	CW_RAFT_EV_REMOVE_REPLICA, /* cookie, replica */
	CW_RAFT_EV_ADD_REPLICA,	   /* cookie, replica: it must have joined and caught up */
	CW_RAFT_EV_STEP_DOWN,	   /* planned stop: hand leadership over */
	CW_RAFT_EV_STORAGE_FAILED
} cw_raft_event_type_t;

typedef struct {
	cw_raft_event_type_t type;
	uint64_t cookie;
	const Caraway__RaftMessage *message; /* MESSAGE */
	const void *data;		     /* PROPOSE, SNAPSHOT_TAKEN */
	size_t length;
	uint64_t index;	     /* SNAPSHOT_TAKEN */
	uint32_t replica_id; /* ADD_REPLICA, REMOVE_REPLICA */
} cw_raft_event_t;

typedef enum {
	CW_RAFT_AC_SAVE_TERM, /* make term and vote durable before going on */
	CW_RAFT_AC_APPEND,    /* cut the log from entries[0].index on, append, make durable */
	CW_RAFT_AC_INSTALL,   /* replace state and log by the snapshot, make durable */
	CW_RAFT_AC_SEND,
	CW_RAFT_AC_APPLY,    /* a committed entry, in order, once per start */
	CW_RAFT_AC_PROPOSED, /* cookie was given index; the outcome comes with APPLY of that index and term */
	CW_RAFT_AC_READ_READY, /* cookie may be answered: leadership was confirmed after it came */
	CW_RAFT_AC_REFUSED,    /* cookie, status */
	CW_RAFT_AC_ROLE	       /* role, term or leader changed */
} cw_raft_action_type_t;

typedef struct {
	cw_raft_action_type_t type;
	uint64_t cookie;
	uint64_t index;
	uint64_t term;
	uint32_t voted_id;
	uint64_t voted_incarnation;
	cw_status_t status;
	GPtrArray *entries;		 /* APPEND: Caraway__Entry * */
	Caraway__Entry *entry;		 /* APPLY */
	Caraway__RaftMessage *message;	 /* SEND */
	char *address;			 /* SEND */
	GBytes *snapshot;		 /* INSTALL */
	Caraway__Membership *membership; /* INSTALL */
} cw_raft_action_t;

/* Actions are carried out in order; after a failed storage action the rest are dropped. */
typedef struct {
	GArray *items; /* cw_raft_action_t */
} cw_raft_actions_t;

cw_raft_t *cw_raft_new(const cw_raft_options_t *options, const cw_raft_stored_t *stored, int64_t now_ms);
void cw_raft_free(cw_raft_t *raft);
void cw_raft_step(cw_raft_t *raft, const cw_raft_event_t *event, int64_t now_ms, cw_raft_actions_t *actions);
/* When the next TICK is wanted, at the latest. */
int64_t cw_raft_deadline_ms(const cw_raft_t *raft);
cw_raft_role_t cw_raft_role(const cw_raft_t *raft);
uint64_t cw_raft_term(const cw_raft_t *raft);
uint64_t cw_raft_commit_index(const cw_raft_t *raft);
uint64_t cw_raft_last_index(const cw_raft_t *raft);
uint32_t cw_raft_leader_id(const cw_raft_t *raft); /* 0: none known */
/* True while a quorum has confirmed this leader within the lease. */
bool cw_raft_has_lease(const cw_raft_t *raft, int64_t now_ms);
const Caraway__Membership *cw_raft_membership(const cw_raft_t *raft);
/* What the leader knows of each member and learner; Caraway__ReplicaStatus *, owned by the caller. */
GPtrArray *cw_raft_replicas(const cw_raft_t *raft, int64_t now_ms);
void cw_raft_actions_init(cw_raft_actions_t *actions);
void cw_raft_actions_clear(cw_raft_actions_t *actions);

/* ---- members: endpoints under lease, at every level of the tree ------------------------------ */

/*
 * Endpoints known to a process, by VM.  A newer (incarnation, sequence) of the
 * same VM replaces an older one.  The table numbers its own changes, so that
 * a child that holds (epoch, sequence) is sent only what came after.
 */
typedef struct cw_members cw_members_t;

cw_members_t *cw_members_new(uint64_t epoch, uint32_t lease_ms);
void cw_members_free(cw_members_t *members);
cw_status_t cw_members_announce(cw_members_t *members, const Caraway__Endpoint *endpoint, int64_t now_ms);
cw_status_t cw_members_report(cw_members_t *members, const Caraway__Report *report, int64_t now_ms,
			      int64_t utc_ms);
/* Marks endpoints whose lease has run out as gone; returns how many. */
/* Begins an epoch (the leader's term) in which this table is the source. */
void cw_members_lead(cw_members_t *members, uint64_t epoch, int64_t now_ms);
/* Ends that: the table changes only by what a parent sends. */
void cw_members_follow(cw_members_t *members);
size_t cw_members_expire(cw_members_t *members, int64_t now_ms);
int64_t cw_members_deadline_ms(const cw_members_t *members);
void cw_members_read(const cw_members_t *members, uint64_t epoch, uint64_t sequence, Caraway__News *news);
cw_status_t cw_members_accept(cw_members_t *members, const Caraway__News *news, int64_t now_ms);
const Caraway__Endpoint *cw_members_endpoint(const cw_members_t *members, const char *vm);
GPtrArray *cw_members_endpoints(
	const cw_members_t *members); /* borrowed Caraway__Endpoint *, by VM, without gone ones */
/* Last report of a VM and when it came, UTC ms; NULL when none came within the lease. */
const Caraway__Report *cw_members_last_report(const cw_members_t *members, const char *vm,
					      int64_t *reported_ms);
uint64_t cw_members_epoch(const cw_members_t *members);
uint64_t cw_members_sequence(const cw_members_t *members);

#endif
