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
void *cw_message_array(size_t count);
void cw_message_free(void *message);
uint64_t cw_hash(const void *data, size_t length, uint64_t seed);

/* ---- selectors -------------------------------------------------------------- */

/* "zone=eger,service!=konvoj,track"; an empty text selects every VM. */
typedef struct cw_selector cw_selector_t;

cw_status_t cw_selector_parse(const char *text, cw_selector_t **selector);
bool cw_selector_match(const cw_selector_t *selector, const Caraway__Vm *vm);
void cw_selector_free(cw_selector_t *selector);

/* ---- change files ------------------------------------------------------------ */

cw_status_t cw_ini_parse(const char *text, size_t length, const char *file, cw_status_t failure,
			 GKeyFile **keys);
cw_status_t cw_change_parse(const char *text, size_t length, const char *file, Caraway__Content **content);
cw_status_t cw_content_check(const Caraway__Content *content);
cw_status_t cw_vm_check(const Caraway__Vm *vm);
uint64_t cw_content_digest(const Caraway__Content *content);

/* ---- catalog: what is in force, for every VM ------------------------------------ */

typedef struct {
	uint64_t version;
	GPtrArray *services; /* Caraway__Service *, by name */
	GPtrArray *routes;   /* Caraway__Route *, by name */
	GPtrArray *targets;  /* Caraway__Target *, by name */
	GPtrArray *entries;  /* what keeps the messages above */
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
cw_status_t cw_catalog_check_content(const cw_catalog_t *catalog, const Caraway__Content *content);
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

/* ---- relay: passes feed and members down a tree of proxies, reports up ------------------------- */

/*
 * One relay runs in every process.  A proxy pulls from a parent (a control
 * replica or another proxy) and serves its own children.  A control replica
 * serves children the same way; while it leads it is the source of stamps and
 * of the members' numbering, and while it follows it pulls the members and
 * stamps from the leader.  Its feed belongs to the ledger and is only read.
 *
 * A control replica uses it like this: step LEAD with the term on becoming
 * leader and FOLLOW on losing that or learning of another leader; step PULL
 * for each pull received; step FEED after applying entries that may have grown
 * the feed; answer CW_RELAY_AC_CONFIRM by a confirmed read of the replicated
 * log and step CONFIRMED once the entries up to the read are applied.
 */
typedef enum { CW_RELAY_PROXY, CW_RELAY_REPLICA } cw_relay_kind_t;

typedef struct {
	cw_relay_kind_t kind;
	const char *vm; /* of the proxy; any name unique in the mesh for a replica */
	const char *zone;
	uint64_t incarnation;
	const char *const *controls; /* HOST:PORT of the control replicas, for a proxy */
	size_t control_count;
	uint32_t freshness_ms; /* a parent without a newer stamp for this long is left */
	uint32_t hold_ms;      /* longest time a pull is held without news */
	uint32_t batch_ms;     /* longest time a change of endpoints waits for others */
	uint32_t stamp_ms;     /* between stamps of a leader */
	uint32_t report_ms;    /* between reports that renew the lease of this proxy */
	uint32_t children;     /* most children served */
	uint32_t heads;	       /* most children of one availability zone that a replica serves */
	size_t max_news_bytes; /* of records in one news */
	uint64_t seed;	       /* of the jitter */
} cw_relay_options_t;

typedef struct cw_relay cw_relay_t;

typedef enum {
	CW_RELAY_EV_TICK,
	CW_RELAY_EV_PULL,	 /* peer, pull */
	CW_RELAY_EV_NEWS,	 /* address, news */
	CW_RELAY_EV_REFUSED,	 /* address, refused */
	CW_RELAY_EV_SEND_FAILED, /* address: the last SEND was handed to nobody */
	CW_RELAY_EV_ENDPOINT,	 /* endpoint: state of this proxy, with its sequence raised */
	CW_RELAY_EV_STOPPING,	 /* serve no children from now on */
	CW_RELAY_EV_FEED,	 /* replica: the feed may have grown */
	CW_RELAY_EV_LEAD,	 /* replica: leads in term */
	CW_RELAY_EV_FOLLOW,	 /* replica: address of the leader, or NULL */
	CW_RELAY_EV_CONFIRMED /* replica: cookie of the CONFIRM; the feed holds what was committed before it */
} cw_relay_event_type_t;

typedef struct {
	cw_relay_event_type_t type;
	GBytes *peer;
	const char *address;
	const Caraway__Pull *pull;
	const Caraway__News *news;
	const Caraway__PullRefused *refused;
	const Caraway__Endpoint *endpoint;
	uint64_t term;
	uint64_t cookie;
	int64_t utc_ms; /* PULL at a replica: time to show for the reports */
} cw_relay_event_t;

typedef enum {
	CW_RELAY_AC_SEND,   /* message to address, connecting first; SEND_FAILED when it cannot be sent */
	CW_RELAY_AC_ANSWER, /* message to peer */
	CW_RELAY_AC_DROP,   /* address is not needed for now */
	CW_RELAY_AC_CONFIGURATION, /* the catalog changed, or may now be used */
	CW_RELAY_AC_ENDPOINTS,	   /* the members changed */
	CW_RELAY_AC_ANNOUNCED,	   /* leader: endpoint is new or changed */
	CW_RELAY_AC_CONFIRM,	   /* leader: confirm leadership by a read that begins now, with cookie */
	CW_RELAY_AC_PARENT,	   /* address is the parent now */
	CW_RELAY_AC_COUNT	   /* count */
} cw_relay_action_type_t;

/* What a relay counts; every refusal and every reason to leave a parent. */
typedef enum {
	CW_RELAY_PULL_SERVED,
	CW_RELAY_PULL_REFUSED_FULL,
	CW_RELAY_PULL_REFUSED_STALE,
	CW_RELAY_PULL_REFUSED_STOPPING,
	CW_RELAY_PULL_REFUSED_POSITION,
	CW_RELAY_PULL_REFUSED_NOT_READY,
	CW_RELAY_PULL_CROSSED,
	CW_RELAY_NEWS_CROSSED,
	CW_RELAY_NEWS_REFUSED_DAMAGED,
	CW_RELAY_NEWS_REFUSED_POSITION,
	CW_RELAY_PARENT_LEFT_STALE,
	CW_RELAY_PARENT_LEFT_REFUSED,
	CW_RELAY_PARENT_LEFT_SILENT,
	CW_RELAY_PARENT_LEFT_NEWS,
	CW_RELAY_COUNT_COUNT
} cw_relay_count_t;

typedef struct {
	cw_relay_action_type_t type;
	Caraway__Message *message; /* SEND, ANSWER */
	char *address;
	GBytes *peer;
	Caraway__Endpoint *endpoint;
	uint64_t cookie;
	cw_relay_count_t count;
} cw_relay_action_t;

typedef struct {
	GArray *items; /* cw_relay_action_t */
} cw_relay_actions_t;

/* Feed and members are borrowed; a proxy's relay changes both, a replica's only the members. */
cw_relay_t *cw_relay_new(const cw_relay_options_t *options, cw_feed_t *feed, cw_members_t *members,
			 int64_t now_ms);
void cw_relay_free(cw_relay_t *relay);
void cw_relay_step(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
		   cw_relay_actions_t *actions);
/* When the next TICK is wanted, at the latest. */
int64_t cw_relay_deadline_ms(const cw_relay_t *relay);
/* True once a proxy holds what was committed when it started; its catalog may be used. */
bool cw_relay_ready(const cw_relay_t *relay);
/* True while a stamp has come within the freshness bound. */
bool cw_relay_fresh(const cw_relay_t *relay, int64_t now_ms);
const char *cw_relay_parent(const cw_relay_t *relay); /* HOST:PORT, or NULL */
uint32_t cw_relay_depth(const cw_relay_t *relay);     /* a control replica is 0 */
size_t cw_relay_child_count(const cw_relay_t *relay);
const Caraway__Stamp *cw_relay_stamp(const cw_relay_t *relay); /* newest seen */
void cw_relay_actions_init(cw_relay_actions_t *actions);
void cw_relay_actions_clear(cw_relay_actions_t *actions);

#endif
