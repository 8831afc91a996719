/* State of the sending side, shared by the forward*.c files. */
#ifndef FORWARD_INTERNAL_H
#define FORWARD_INTERNAL_H

#include "allotments.h"
#include "endpoints.h"
#include "forward.h"

/* One attempt of a call: the endpoint that it was sent to. */
typedef struct {
	uint64_t sequence; /* in the call id of the request */
	int64_t sent_ms;
	const endpoint_t *endpoint;   /* points into the call's endpoints */
	uint64_t route;		      /* id of the call's route */
	uint32_t priority;	      /* of the call */
	uint64_t rollout;	      /* sequence number of the service's roll-out; 0: none */
	cw_rollout_version_t version; /* of the endpoint's target in that roll-out */
	bool ended;		      /* its result was reported to the load balancer */
} forward_attempt_t;

struct forward_call {
	cw_call_t state; /* state machine of the call, see cw_call_step() */
	Caraway__CallRequest *request;
	endpoints_t endpoints;
	const view_account_t *account; /* of the caller, in the view; NULL: none */
	uint32_t priority;	       /* of the account, or else of the route */
	bool awaits_token;	       /* of the account's allotment; no attempt has been made */
	bool has_own_endpoint;	       /* one of the endpoints is this proxy */
	int64_t useful_until_ms;       /* an answer after this is worth less to the caller */
	uint32_t wait_ms;    /* shortest queueing delay reported by a receiver that did not answer; 0: none */
	uint32_t service_ms; /* expected service time of the call at that receiver */
	Caraway__CallReply *error_reply; /* a target's error, saved while another target is tried; or NULL */
	uint32_t receiver_load;		 /* calls running or queued at that receiver */
	uint32_t receiver_slots;	 /* of that receiver */
	uint32_t queued_ms;		 /* queue time of the attempt revoked last, plus 1; 0: not queued */
	void *cookie;			 /* the owner's, for callbacks.done */
	forward_call_t **handle;	 /* the owner's, set to NULL when the call has completed */
	forward_attempt_t attempts[CW_CALL_MAX_ATTEMPTS];
	uint32_t attempt_count;
	guint index; /* index in forward_t.calls */
};

struct forward {
	const proxy_settings_t *settings;
	uint64_t incarnation;
	uint64_t origin; /* identifies this process in call ids */
	const published_view_t *published_view;
	rollouts_t *rollouts; /* published beside the view */
	link_clients_t *clients;
	uint64_t seen_serial; /* of the last view applied */
	bool has_routes;      /* in the last view applied */
	forward_callbacks_t callbacks;
	allotments_t *allotments; /* of client accounts */
	cw_pick_t *pick;	  /* load balancer: chooses the endpoint of an attempt */
	GHashTable *budgets;	  /* cw_budget_t * by service, so that services have separate retry budgets */
	uint64_t last_sequence;
	GPtrArray *calls;	     /* forward_call_t * */
	GHashTable *by_sequence;     /* forward_call_t * by the sequence of each attempt */
	int64_t next_tick_ms;	     /* earliest timer of a call */
	int64_t next_expiry_ms;	     /* when old endpoint statistics are removed next */
	cw_prior_wait_t *prior_wait; /* estimates how long callers have waited on earlier requests */
	int64_t started_ms;	     /* when this proxy started */
	GRand *random;		     /* for choosing destinations of split routes and for retry jitter */
};

/* forward_attempt.c: sending and revoking attempts */

/* Reports the result of an attempt to the load balancer, at most once; reply is NULL when there was none. */
void forward_end_attempt(forward_t *forward, forward_attempt_t *attempt, cw_pick_result_t result,
			 const Caraway__CallReply *reply);
/* Chooses an endpoint and sends one attempt; returns the resulting event for the call's state machine. */
cw_call_event_t forward_start_attempt(forward_t *forward, forward_call_t *call);
/* Finds an attempt of a call by its sequence; NULL when the call has none with it. */
forward_attempt_t *forward_find_attempt(forward_call_t *call, uint64_t sequence);
/* What a revocation does to an attempt that is queued or runs already. */
typedef enum {
	FORWARD_REVOKE,		      /* taken from the queue; one that runs goes on */
	FORWARD_REVOKE_UNLESS_QUEUED, /* not if it is queued and expected to be answered in time */
	FORWARD_REVOKE_AND_STOP	      /* one that runs already is aborted too */
} forward_revoke_kind_t;

/* Revokes an attempt at its receiver. */
void forward_revoke(forward_t *forward, forward_call_t *call, uint64_t sequence, forward_revoke_kind_t kind);

/* forward_limits.c: timeouts and idempotence of a call */

/* Returns whether a call is idempotent, as its route states or else by its method. */
bool forward_is_idempotent(const endpoints_t *endpoints, const char *method);
/* Returns the timeout of a call in milliseconds; caller_timeout_ms is the caller's, 0 for none. */
int64_t forward_timeout_ms(const forward_t *forward, const endpoints_t *endpoints, int64_t caller_timeout_ms);
/* Returns the time until which an answer has its full value to the caller. */
int64_t forward_useful_until_ms(forward_t *forward, const forward_call_t *call, int64_t caller_timeout_ms,
				int64_t now_ms);

#endif
