/* Internal state of a relay, shared by its files. */
#ifndef LIBCARAWAY_RELAY_INTERNAL_H
#define LIBCARAWAY_RELAY_INTERNAL_H

#include "internal.h"

/* Pulls whose time of sending is remembered: a pull is sent early for new endpoints, before the answer to another. */
enum { RELAY_PULLS_REMEMBERED = 16 };

/* A child, with its position as of its newest pull. */
typedef struct {
	char *vm;
	char *zone;
	char *feed_address; /* "" until the child has announced its endpoint */
	uint64_t incarnation;
	GBytes *peer;	     /* connection on which its newest pull came, to be answered there */
	bool held;	     /* the pull has not been answered yet */
	uint64_t request;    /* number of the newest pull */
	uint64_t feed_index; /* UINT64_MAX for a replica, which needs no records */
	uint64_t chain;
	uint64_t endpoint_epoch; /* 0: it has no member table yet */
	uint64_t endpoint_sequence;
	uint64_t stamp_term; /* 0: it has no stamp yet */
	uint64_t stamp_sequence;
	uint64_t floor;		 /* the child's number of its pending floor request; 0: none */
	uint64_t floor_position; /* position of that request among those that the relay has received */
	int64_t last_pull_ms;
	int64_t answer_by_ms;	  /* when the pull is answered even if there is nothing to send */
	int64_t endpoints_due_ms; /* when changed endpoints must be sent; INT64_MAX: none are waiting */
} relay_child_t;

typedef enum {
	PARENT_NONE,	   /* no parent; the next is chosen at retry_ms */
	PARENT_CONNECTING, /* the pull could not be sent; retried at retry_ms */
	PARENT_PULL_SENT   /* waits for the answer to a pull */
} relay_parent_state_t;

typedef struct {
	relay_parent_state_t state;
	char *address;		 /* NULL in PARENT_NONE */
	uint64_t first_request;	 /* number of the first pull sent to this parent */
	uint64_t request;	 /* number of the newest one */
	int64_t retry_ms;	 /* in PARENT_NONE and PARENT_CONNECTING */
	int64_t connect_by_ms;	 /* the parent is left if a pull cannot be sent after this time */
	int64_t connect_wait_ms; /* delay before the next attempt to connect */
	int64_t answer_by_ms;	 /* the parent is left if the newest pull has not been answered by then */
	/* when the parent is left; deferred by a newer stamp that counts or that comes with new records */
	int64_t stamp_by_ms;
	int64_t zone_check_ms; /* a parent in another zone is then left, to choose one in this zone */
	bool answered;	       /* it has sent an update with a stamp */
	uint32_t depth;	       /* of this process in the tree, below this parent */
} relay_parent_t;

/* When a parent was left, and until when it is not chosen again. */
typedef struct {
	int64_t left_ms;
	int64_t avoid_until_ms;
} relay_left_parent_t;

/* An endpoint or a report that waits to be sent to the parent or to be acknowledged by it. */
typedef struct {
	Caraway__Endpoint *endpoint; /* or NULL */
	Caraway__Report *report;     /* or NULL */
	uint64_t sent_request;	     /* number of the pull that carried it; 0: not sent */
} relay_pending_t;

struct cw_relay {
	cw_relay_options_t options; /* with copies of its strings */
	char **control_addresses;
	cw_feed_t *feed;
	cw_members_t *members;
	GRand *random;
	Caraway__Endpoint *own_endpoint; /* endpoint of this proxy; NULL until known, and in a replica */
	/* freshness */
	Caraway__Stamp stamp; /* newest received or issued */
	int64_t stamp_issued_ms; /* when the confirmation of the newest stamp began, as far as its age is known */
	/* Lower bounds of when the confirmation of a stamp began; 0: not known. */
	int64_t stamp_bound_ms; /* of the newest stamp */
	int64_t confirmed_ms;	/* of the newest one whose records the feed has */
	int64_t fresh_until_ms; /* freshness bound after the newest stamp that counted */
	uint64_t fresh_index;	/* the feed must reach this index before the next stamp counts */
	/* floor requests of this process and its children, by order of arrival; a proxy's own is the first */
	uint64_t floor_requests;    /* number received: the position of the newest */
	uint64_t floor_answered;    /* all up to this one are answered */
	uint64_t floor_sent_number; /* this process's number of the newest request sent to the parent */
	uint64_t floor_sent_covers; /* that request stands for all received up to this position */
	uint64_t floor_index;	    /* the configuration is usable once the feed reaches this index */
	/* leader */
	uint64_t lead_term;	       /* term in which this replica leads, or last led */
	uint64_t lead_sequence;	       /* of the newest stamp issued */
	uint64_t confirm_cookie;       /* of the newest action CONFIRM */
	uint64_t confirm_covers;       /* the confirmation answers the floor requests up to this position */
	int64_t confirm_start_ms;      /* when the newest confirmation started */
	int64_t confirm_due_ms;	       /* when the next confirmation starts */
	int64_t confirm_not_before_ms; /* a floor request starts none before this time */
	int64_t confirm_timeout_ms;    /* when the pending one is abandoned */
	/* as a child */
	relay_parent_t parent;
	uint64_t request;			      /* number of the newest pull sent */
	int64_t pull_sent_ms[RELAY_PULLS_REMEMBERED]; /* of the newest pulls, by number modulo the size */
	GHashTable *left_parents;		      /* address -> relay_left_parent_t * */
	GPtrArray *hints;	       /* char *, addresses of parents that a refusal suggests */
	char *leader;		       /* replica: address of the leader, or NULL */
	GHashTable *pending_endpoints; /* vm -> relay_pending_t * */
	GHashTable *pending_reports;   /* vm -> relay_pending_t * */
	int64_t early_pull_ms; /* when a pull for new endpoints or floor requests is due; INT64_MAX: none */
	int64_t report_by_ms;  /* when the next report of this proxy is due */
	uint64_t announced_epoch;  /* epoch of the members at the last announcement of own_endpoint */
	int64_t announce_after_ms; /* own_endpoint is not announced again before this time */
	uint64_t reported_version; /* configuration version in the last report; 0: none was usable */
	/* as a parent */
	GHashTable *children; /* vm -> relay_child_t * */
	/* roll-outs */
	GPtrArray *rollouts;	       /* Caraway__RolloutNotice, as of the newest stamp or earlier */
	int64_t rollouts_confirmed_ms; /* lower bound of when a quorum confirmed them; 0: not known */
	GHashTable *evidence;	       /* hash of roll-out and route -> Caraway__RolloutEvidence */
	/* flags and a counter that belong to the groups above */
	bool rollouts_known;	 /* the list of roll-outs was received or set */
	bool stopping;		 /* refuses all children */
	bool leading;		 /* replica: it is the leader */
	bool floor_pending;	 /* the request floor_sent_number has not been answered */
	bool floor_known;	 /* floor_index is set */
	bool ready;		 /* the configuration may be used */
	bool confirm_pending;	 /* the action CONFIRM has not been answered */
	uint32_t failed_parents; /* parents left in a row, since the last stamp that counted */
};

/* ---- relay.c */
/* Adds the action to increment a counter. */
void cw_relay_add_count(cw_relay_actions_t *actions, cw_relay_counter_t counter);
/* Adds an action of a type; the caller sets the other fields of the one returned. */
cw_relay_action_t *cw_relay_add_action(cw_relay_actions_t *actions, cw_relay_action_type_t type);
/* Returns true for a stamp newer than the newest received. */
bool cw_relay_is_newer(const cw_relay_t *relay, const Caraway__Stamp *stamp);
/* Stores a stamp of an age if it is newer than the newest received; returns true if it extends the freshness. */
bool cw_relay_accept_stamp(cw_relay_t *relay, const Caraway__Stamp *stamp, uint32_t age_ms, int64_t now_ms);
/* Stores a lower bound of when the confirmation of the newest stamp began, if it is that of the stamp. */
void cw_relay_bound_stamp(cw_relay_t *relay, const Caraway__Stamp *stamp, int64_t bound_ms);
/* Marks the floor requests up to a position as answered; the first answer sets the floor of this process. */
void cw_relay_record_floor(cw_relay_t *relay, uint64_t covers, uint64_t feed_index);
/* Makes the configuration usable once the feed has reached the floor. */
void cw_relay_check_ready(cw_relay_t *relay, cw_relay_actions_t *actions);

/* ---- relay_serve.c: as a parent */
/* Admits or refuses a child and holds its pull. */
void cw_relay_handle_pull(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			  cw_relay_actions_t *actions);
/* Answers or refuses every held pull that is due; all of them once this process is no longer fresh. */
void cw_relay_serve(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions);
/* Refuses every held pull and removes all children. */
void cw_relay_refuse_all(cw_relay_t *relay, Caraway__PullReason reason, cw_relay_actions_t *actions);
/* Returns when the next held pull is due; INT64_MAX when none is held. */
int64_t cw_relay_serve_next_tick_ms(const cw_relay_t *relay);
void cw_relay_child_free(void *data);

/* ---- relay_rollout.c: roll-outs */
void cw_relay_rollouts_init(cw_relay_t *relay);
void cw_relay_rollouts_clear(cw_relay_t *relay);
/* Applies the notices of an update after its stamp. */
void cw_relay_apply_rollouts(cw_relay_t *relay, const Caraway__News *update);
/* Adds the notices to an answer. */
void cw_relay_fill_rollouts(const cw_relay_t *relay, Caraway__News *update);

/* ---- relay_child.c: as a child */
/* Applies an update of the parent and sends the next pull; leaves the parent when the update is invalid. */
void cw_relay_handle_update(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			    cw_relay_actions_t *actions);
/* Leaves a parent that has refused a pull. */
void cw_relay_handle_refused(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			     cw_relay_actions_t *actions);
/* Schedules another attempt to connect to a parent, or leaves it. */
void cw_relay_handle_send_failed(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
				 cw_relay_actions_t *actions);
/* Chooses or leaves a parent, or sends a pull, when that is due. */
void cw_relay_pull_tick(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions);
/* Returns when cw_relay_pull_tick() has work to do next. */
int64_t cw_relay_pull_next_tick_ms(const cw_relay_t *relay);
/* Leaves the parent; the next tick may choose another at once. */
void cw_relay_leave_parent(cw_relay_t *relay, int64_t now_ms, cw_relay_actions_t *actions);

/* ---- relay_choose.c */
/* Returns the address of the next parent to try, owned by the caller; NULL: none, or all avoided. */
char *cw_relay_choose_parent(cw_relay_t *relay, int64_t now_ms);
/* Returns true for the address of a proxy in another availability zone. */
bool cw_relay_is_in_other_zone(const cw_relay_t *relay, const char *address);
/* Records that a parent was left; it is not chosen again for the given time. */
void cw_relay_avoid_parent(cw_relay_t *relay, const char *address, int64_t now_ms, int64_t duration_ms);

/* ---- relay_up.c: endpoints and reports sent toward the leader */
/* Processes the endpoints and reports of a child's pull. */
void cw_relay_up_receive(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			 cw_relay_actions_t *actions);
/* Queues an endpoint for the parent; an early pull is sent within the batch time. */
void cw_relay_up_queue_endpoint(cw_relay_t *relay, const Caraway__Endpoint *endpoint, int64_t now_ms);
/* Queues the report of this proxy when due; its endpoint when the table lacks it or has a new epoch. */
void cw_relay_up_queue_own(cw_relay_t *relay, int64_t now_ms);
/* Adds the endpoints and reports that are not sent yet to a pull, which borrows them. */
void cw_relay_up_attach(cw_relay_t *relay, Caraway__Pull *pull);
/* Removes the endpoints and reports that were sent in pulls up to an answered one. */
void cw_relay_up_acknowledge(cw_relay_t *relay, uint64_t request);
/* Marks all queued endpoints and reports as not sent, so that they are sent to the next parent. */
void cw_relay_up_mark_unsent(cw_relay_t *relay);
void cw_relay_pending_free(void *data);

#endif
