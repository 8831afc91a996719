/* The state of the sending side, shared by its files. */
#ifndef FORWARD_INTERNAL_H
#define FORWARD_INTERNAL_H

#include "endpoints.h"
#include "forward.h"

/* Where one attempt went. */
typedef struct {
	uint64_t sequence;
	const endpoint_t *endpoint; /* of the call's endpoints */
	uint64_t route;
	bool ended; /* the chooser was told */
} forward_sent_t;

struct forward_call {
	cw_call_t core;
	Caraway__CallRequest *request;
	endpoints_t endpoints;
	int64_t useful_until_ms;   /* an answer after this is of less use to the caller */
	uint32_t wait_ms;	   /* least time until a receiver that refused expects room */
	uint32_t service_ms;	   /* that the call takes there */
	Caraway__CallReply *error; /* of a target, kept while another is tried; or NULL */
	uint32_t load;		   /* calls that held or awaited a slot there */
	uint32_t slots;
	void *cookie;
	forward_call_t **handle;
	forward_sent_t sent[CW_CALL_MAX_ATTEMPTS];
	uint32_t sent_count;
	guint position; /* in the list of calls */
};

struct forward {
	const proxy_settings_t *settings;
	uint64_t incarnation;
	uint64_t origin; /* of the calls of this process */
	const view_slot_t *views;
	link_clients_t *clients;
	uint64_t seen_serial; /* of the view that connections were made for */
	bool has_routes;      /* the view seen last has some */
	forward_hooks_t hooks;
	cw_pick_t *pick;
	GHashTable *budgets; /* of cw_budget_t by service, so that one does not pay for another's retries */
	uint64_t last_sequence;
	GPtrArray *calls;	 /* of forward_call_t */
	GHashTable *by_sequence; /* forward_call_t by the sequence of an attempt */
	int64_t next_ms;	 /* when a call wants a tick, at the latest */
	int64_t pick_expire_ms;
	cw_prior_wait_t *patience;
	int64_t began_ms; /* when this proxy started */
	GRand *random;	  /* draws the destinations of split routes */
};

/* forward_attempt.c: where attempts go */

/* Tells the chooser how an attempt ended, once; the reply is NULL when there was none. */
void forward_end_attempt(forward_t *forward, forward_sent_t *sent, cw_pick_result_t result,
			 const Caraway__CallReply *reply);
/* Returns whether an endpoint is this proxy itself. */
bool forward_is_local(const forward_t *forward, const endpoint_t *endpoint);
/* Makes one attempt; returns the event that tells how it went. */
cw_call_event_t forward_try(forward_t *forward, forward_call_t *call);
/* Returns where an attempt of a call went; NULL when it is not one of its. */
forward_sent_t *forward_find_sent(forward_call_t *call, uint64_t sequence);
/* Asks the receiver of an attempt to withdraw it, and to stop it when its answer is wanted no more. */
void forward_revoke(forward_t *forward, forward_call_t *call, uint64_t sequence, bool stop);

/* forward_times.c: what a call is allowed */

/* Returns whether a call may be run twice, by its route or else by its method. */
bool forward_is_idempotent(const endpoints_t *endpoints, const char *method);
/* Returns the time a call may take, in milliseconds; asked_ms is the caller's, 0 for none. */
int64_t forward_time_for(const forward_t *forward, const endpoints_t *endpoints, int64_t asked_ms);
/* Returns until when an answer is of full use to the caller. */
int64_t forward_useful_until_ms(forward_t *forward, const forward_call_t *call, int64_t asked_ms,
				int64_t now_ms);

#endif
