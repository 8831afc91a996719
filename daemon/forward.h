/* The sending side of calls: sends attempts to the endpoints of a route until the outcome is known. */
#ifndef FORWARD_H
#define FORWARD_H

#include "link.h"
#include "settings.h"
#include "view.h"

typedef struct forward forward_t;
typedef struct forward_call forward_call_t;

/* The outcome of a call; reply is set when the target answered. */
typedef struct {
	Caraway__CallOutcome outcome;
	cw_reason_t reason;
	uint32_t retry_after_ms;	 /* when the caller should retry; 0: unknown */
	const Caraway__CallReply *reply; /* borrowed */
} forward_outcome_t;

/* Callbacks into the owner of the sending side. */
typedef struct {
	/* Delivers a message to the receiving side of this proxy; takes ownership of it. */
	void (*send_local)(void *data, Caraway__Message *message);
	/* Reports the outcome; called once for each call that is not cancelled. */
	void (*done)(void *data, void *cookie, const forward_outcome_t *outcome);
	/* A new view has been published; called on the thread that runs forward_run(). */
	void (*view_changed)(void *data, const view_t *view);
	/* Stores the present load of this proxy's target for a route and priority; returns false if it takes no calls. */
	bool (*own_load)(void *data, uint64_t route, uint32_t priority, cw_pick_load_t *load);
	void *data;
} forward_callbacks_t;

forward_t *forward_new(const proxy_settings_t *settings, uint64_t incarnation,
		       published_view_t *published_view, link_clients_t *clients,
		       const forward_callbacks_t *callbacks);
void forward_free(forward_t *forward);
/*
 * Starts a call and takes ownership of the request, whose method, path,
 * headers, body, depth and attempt are set.  host is the caller's Host header,
 * or NULL; caller_timeout_ms is the caller's timeout, 0 for none.
 * *handle refers to the call until it has completed and is then set to NULL,
 * possibly before this function returns.
 */
void forward_start_call(forward_t *forward, Caraway__CallRequest *request, const char *host,
			int64_t caller_timeout_ms, void *cookie, forward_call_t **handle);
/* Cancels a call whose caller has disconnected; attempts are revoked, running ones aborted. */
void forward_cancel_call(forward_t *forward, forward_call_t *call);
/* Returns the answer to another proxy's request for tokens of client accounts. */
Caraway__Message *forward_answer_allotment(forward_t *forward, const Caraway__AllotmentRequest *request,
					   uint64_t origin);
/* Handles a reply; address is that of the proxy that sent it, NULL for this proxy. */
void forward_handle_message(forward_t *forward, const Caraway__Message *message, const char *address);
/* Applies a new view and runs expired timers. */
void forward_run(forward_t *forward);
/* Returns whether this proxy has a configuration with routes. */
bool forward_has_routes(const forward_t *forward);
/* Returns by when forward_run() must be called next; INT64_MAX for no deadline. */
int64_t forward_next_tick_ms(const forward_t *forward);
/* Returns the number of calls without an outcome yet. */
uint32_t forward_in_flight(const forward_t *forward);

#endif
