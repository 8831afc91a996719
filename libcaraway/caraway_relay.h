/* Distribution of configuration and endpoints to proxies: member tables and relays.  See libcaraway.h. */
#ifndef CARAWAY_RELAY_H
#define CARAWAY_RELAY_H

#include "caraway_changes.h"
#include "caraway_rollout.h"

/* ---- members: the table of leased endpoints that every process keeps --------------------------- */

/*
 * Table of the endpoints known to a process, by VM.  A newer (incarnation,
 * sequence) of the same VM replaces an older one.  The authoritative table, that
 * of the leading control replica, numbers its changes by (epoch, sequence), so
 * that a child at a known position is sent only the changes made since.
 */
typedef struct cw_members cw_members_t;

cw_members_t *cw_members_new(uint64_t epoch, uint32_t lease_ms);
void cw_members_free(cw_members_t *members);
cw_status_t cw_members_announce(cw_members_t *members, const Caraway__Endpoint *endpoint, int64_t now_ms);
cw_status_t cw_members_report(cw_members_t *members, const Caraway__Report *report, int64_t now_ms,
			      int64_t utc_ms);
/* Makes this table authoritative for a new epoch, the leader's term. */
void cw_members_become_authoritative(cw_members_t *members, uint64_t epoch, int64_t now_ms);
/* Makes this table a copy: from now on it changes only by updates from a parent. */
void cw_members_become_copy(cw_members_t *members);
/* Marks endpoints whose lease has expired as gone; returns the number of expired leases. */
size_t cw_members_expire(cw_members_t *members, int64_t now_ms);
int64_t cw_members_next_expiry_ms(const cw_members_t *members);
void cw_members_fill_update(const cw_members_t *members, uint64_t epoch, uint64_t sequence,
			    Caraway__News *update);
cw_status_t cw_members_apply_update(cw_members_t *members, const Caraway__News *update, int64_t now_ms);
const Caraway__Endpoint *cw_members_endpoint(const cw_members_t *members, const char *vm);
GPtrArray *cw_members_endpoints(
	const cw_members_t *members); /* borrowed Caraway__Endpoint *, sorted by VM name, without gone ones */
/* Last report of a VM and its time of receipt, UTC ms; NULL when none came within the lease. */
const Caraway__Report *cw_members_last_report(const cw_members_t *members, const char *vm,
					      int64_t *reported_ms);
uint64_t cw_members_epoch(const cw_members_t *members);
uint64_t cw_members_sequence(const cw_members_t *members);

/* ---- relay: distributes feed and members down a tree of proxies, collects reports -------------- */

/*
 * One relay runs in every process.  A proxy pulls updates (News) from a parent,
 * which is a control replica or another proxy, and serves its own children.  A
 * control replica serves children the same way.  The leading replica issues the
 * stamps, which show how recent the state of a process is, and numbers the
 * changes of the member table; the other replicas pull both from it.  The feed
 * of a replica belongs to the ledger and is only read.  relay.c describes how
 * stamps work.
 *
 * Every process passes the messages of its parent and its children, failures to
 * send, and TICK to cw_relay_step.  A control replica also passes LEAD with the
 * term when it becomes leader; FOLLOW when it loses leadership or learns of
 * another leader; FEED after applying log entries that may have extended the
 * feed.  On the action CW_RELAY_AC_CONFIRM it starts a linearizable read of the
 * replicated log, and passes CONFIRMED once the entries up to the read index are
 * applied, or UNCONFIRMED when the read is refused.
 */
typedef enum { CW_RELAY_PROXY, CW_RELAY_REPLICA } cw_relay_kind_t;

typedef struct {
	cw_relay_kind_t kind;
	const char *vm;	      /* VM of the proxy; for a replica, any name that is unique in the mesh */
	const char *zone;     /* availability zone of the proxy; "" for a replica */
	uint64_t incarnation; /* greater than at any earlier start of the process */
	const char *const *control_addresses; /* HOST:PORT of the control replicas; proxies only */
	size_t control_address_count;
	uint32_t freshness_ms; /* freshness bound: a parent without a newer stamp for this long is left */
	uint32_t hold_ms;      /* longest time a pull is held when there is nothing to send */
	uint32_t batch_ms;     /* longest time an endpoint change waits to be sent with others, up or down */
	uint32_t stamp_ms;     /* interval between stamps of a leader; replicas only */
	uint32_t report_ms;    /* interval between reports, which renew the lease of this proxy */
	uint32_t max_children; /* maximum number of children */
	uint32_t zone_heads;   /* maximum number of proxies of a zone that pull from each control replica */
	size_t max_update_bytes; /* maximum size of the records in one update; one record may exceed it */
	uint64_t seed;		 /* random seed of the jitter */
} cw_relay_options_t;

typedef struct cw_relay cw_relay_t;

/* Events, with the fields of cw_relay_event_t that each uses. */
typedef enum {
	CW_RELAY_EV_TICK,
	CW_RELAY_EV_PULL,	 /* peer, pull */
	CW_RELAY_EV_UPDATE,	 /* address, update */
	CW_RELAY_EV_REFUSED,	 /* address, refused */
	CW_RELAY_EV_SEND_FAILED, /* address: the message of the last SEND could not be sent */
	CW_RELAY_EV_ENDPOINT,	 /* endpoint: changed state of this proxy, with a higher sequence */
	CW_RELAY_EV_STOPPING,	 /* refuse all children from now on */
	CW_RELAY_EV_FEED,	 /* replica: the feed may have been extended */
	CW_RELAY_EV_LEAD,	 /* replica: became leader in term */
	CW_RELAY_EV_FOLLOW,	 /* replica: address of the leader, or NULL */
	CW_RELAY_EV_CONFIRMED,	 /* replica: cookie of the CONFIRM; its read index is applied */
	CW_RELAY_EV_UNCONFIRMED	 /* replica: cookie of the CONFIRM that was refused */
} cw_relay_event_type_t;

typedef struct {
	cw_relay_event_type_t type;
	GBytes *peer;	     /* identifies the connection to a child */
	const char *address; /* HOST:PORT of the parent; FOLLOW: of the leader, or NULL */
	const Caraway__Pull *pull;
	const Caraway__News *update;
	const Caraway__PullRefused *refused;
	const Caraway__Endpoint *endpoint;
	uint64_t term;
	uint64_t cookie; /* CONFIRMED, UNCONFIRMED: that of the action CONFIRM */
	int64_t utc_ms;	 /* PULL at a replica: receipt time of its reports */
} cw_relay_event_t;

/* Actions for the embedding program, with the fields of cw_relay_action_t that each uses. */
typedef enum {
	CW_RELAY_AC_SEND,   /* message to address; connect if needed; pass SEND_FAILED if it cannot be sent */
	CW_RELAY_AC_ANSWER, /* message to peer */
	CW_RELAY_AC_DISCONNECT,	   /* the connection to address may be closed */
	CW_RELAY_AC_CONFIGURATION, /* the catalog has changed or has become usable */
	CW_RELAY_AC_ENDPOINTS,	   /* the member table has changed */
	CW_RELAY_AC_ANNOUNCED,	   /* leader: endpoint is new or changed */
	CW_RELAY_AC_CONFIRM,	   /* leader: start a linearizable read, identified by cookie */
	CW_RELAY_AC_PARENT,	   /* address has become the parent */
	CW_RELAY_AC_COUNT	   /* increment counter */
} cw_relay_action_type_t;

/*
 * Counters of a relay.  PULL_*: pulls of children.  NEWS_*: messages of a
 * parent.  PARENT_LEFT_*: reasons for leaving a parent.
 */
typedef enum {
	CW_RELAY_PULL_SERVED,
	CW_RELAY_PULL_REFUSED_FULL,
	CW_RELAY_PULL_REFUSED_STALE,
	CW_RELAY_PULL_REFUSED_STOPPING,
	CW_RELAY_PULL_REFUSED_POSITION,
	CW_RELAY_PULL_REFUSED_NOT_READY,
	CW_RELAY_PULL_CROSSED, /* an outdated pull, ignored */
	CW_RELAY_NEWS_CROSSED, /* an update or refusal that answers no pull to the current parent, ignored */
	CW_RELAY_NEWS_REFUSED_DAMAGED,
	CW_RELAY_NEWS_REFUSED_POSITION, /* its records do not follow the last one of the feed */
	CW_RELAY_PARENT_LEFT_STALE,	/* it sent no newer stamp within the freshness bound */
	CW_RELAY_PARENT_LEFT_REFUSED,	/* it refused a pull */
	CW_RELAY_PARENT_LEFT_SILENT,	/* it did not answer in time, or a pull could not be sent to it */
	CW_RELAY_PARENT_LEFT_NEWS,	/* its update could not be applied */
	CW_RELAY_PARENT_LEFT_FOREIGN,	/* it is in another availability zone */
	CW_RELAY_COUNTER_COUNT
} cw_relay_counter_t;

typedef struct {
	cw_relay_action_type_t type;
	Caraway__Message *message; /* SEND, ANSWER */
	char *address;		   /* HOST:PORT of a parent */
	GBytes *peer;		   /* identifies the connection to a child, as in the event PULL */
	Caraway__Endpoint *endpoint;
	uint64_t cookie;
	cw_relay_counter_t counter; /* the counter to increment */
} cw_relay_action_t;

typedef struct {
	GArray *items; /* cw_relay_action_t */
} cw_relay_actions_t;

/* Feed and members are borrowed; the relay of a proxy modifies both, that of a replica only the members. */
cw_relay_t *cw_relay_new(const cw_relay_options_t *options, cw_feed_t *feed, cw_members_t *members,
			 int64_t now_ms);
void cw_relay_free(cw_relay_t *relay);
void cw_relay_step(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
		   cw_relay_actions_t *actions);
/* Latest time at which the next event or TICK must be passed to cw_relay_step. */
int64_t cw_relay_next_tick_ms(const cw_relay_t *relay);
/* Replaces the addresses of the control replicas, HOST:PORT, of a proxy; copied. */
void cw_relay_set_control_addresses(cw_relay_t *relay, const char *const *controls, size_t count);
/*
 * True once a proxy has the configuration committed when it started, and may
 * use its catalog.  Always true for a replica.
 */
bool cw_relay_is_ready(const cw_relay_t *relay);
/* True while the newest stamp that counts (see relay.c) is younger than the freshness bound. */
bool cw_relay_is_fresh(const cw_relay_t *relay, int64_t now_ms);
/*
 * Returns until when the feed of a proxy counts as the newest, in milliseconds by the clock of cw_relay_step();
 * 0 while it is not ready or lacks records that the newest stamp covers.
 */
int64_t cw_relay_current_until_ms(const cw_relay_t *relay);
/* Returns a lower bound of the time at which the feed was confirmed to be the newest; 0: none is known. */
int64_t cw_relay_confirmed_ms(const cw_relay_t *relay);
const char *cw_relay_parent(const cw_relay_t *relay); /* HOST:PORT; NULL until it has sent a stamp */
uint32_t cw_relay_depth(const cw_relay_t *relay);     /* levels below a control replica, which has 0 */
size_t cw_relay_child_count(const cw_relay_t *relay);
const Caraway__Stamp *cw_relay_stamp(const cw_relay_t *relay); /* newest received or issued */
/*
 * Sets the notices of roll-outs at the leader, copied.  They are to be set before each CONFIRMED, as the stamp that it leads
 * to proves them.
 */
void cw_relay_set_rollouts(cw_relay_t *relay, Caraway__RolloutNotice *const *notices, size_t count,
			   int64_t now_ms);
/* The notices as of the newest stamp, Caraway__RolloutNotice; borrowed until the next step. */
const GPtrArray *cw_relay_rollouts(const cw_relay_t *relay);
/* Returns a lower bound of the time at which a quorum confirmed them; 0: none is known. */
int64_t cw_relay_rollouts_confirmed_ms(const cw_relay_t *relay);
/* Adds evidence, which the next pull takes to the parent; at the leader it is taken by the next function. */
void cw_relay_add_evidence(cw_relay_t *relay, const Caraway__RolloutEvidence *evidence, int64_t now_ms);
/* Returns the evidence that waits, owned by the caller, and removes it. */
GPtrArray *cw_relay_take_evidence(cw_relay_t *relay);
void cw_relay_actions_init(cw_relay_actions_t *actions);
void cw_relay_actions_clear(cw_relay_actions_t *actions);

#endif
