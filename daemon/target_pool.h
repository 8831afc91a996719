/* Pool of connections to the target of a proxy; each connection carries one call at a time. */
#ifndef TARGET_POOL_H
#define TARGET_POOL_H

#include "http_message.h"
#include "poller.h"
#include "settings.h"

/* A call to the target and its result; points in time are by the monotonic clock. */
typedef struct {
	Caraway__Message *message; /* owned; its body is a call_request */
	GBytes *peer;		   /* owned; proxy that sent the call, NULL for this one */
	int64_t received_ms;	   /* when this proxy received the call */
	int64_t started_ms;	   /* when it was submitted to the pool */
	int64_t start_by_ms;	   /* latest start at the target */
	int64_t deadline_ms;	   /* when it is aborted */
	int64_t transit_ms;	   /* estimated delay of the transport to this proxy */
	cw_admit_result_t result;
	cw_reason_t reason; /* when there is no response, or the target says that it did not run the call */
	http_message_t *response; /* NULL: none */
	bool target_draining;	  /* the response says that the target is draining */
	bool arrived;		  /* at least one byte of the request was sent to the target */
	bool is_identity_probe; /* not a caller's call: a health check made to read the target's identifier */
} target_job_t;

target_job_t *target_job_new(Caraway__Message *message, GBytes *peer);
void target_job_free(target_job_t *job);

typedef struct target_pool target_pool_t;

/* Creates a pool for a target at HOST:PORT; header_names is borrowed. */
cw_status_t target_pool_new(const char *address, const header_names_t *header_names, poller_t *poller,
			    target_pool_t **pool);
/* Sets the longest body of an answer; a longer one fails its call.  32 MiB if it is not called. */
void target_pool_set_max_answer_bytes(target_pool_t *pool, size_t bytes);
/* Frees the pool and all its jobs. */
void target_pool_free(target_pool_t *pool);
/* Starts a job at once; the pool owns it until target_pool_collect() returns it. */
void target_pool_submit(target_pool_t *pool, target_job_t *job);
/* Aborts a running job by closing its connection, so that the target can stop; it is collected later. */
void target_pool_cancel(target_pool_t *pool, target_job_t *job);
/* Returns the number of body bytes of all unfinished responses; they are limited together. */
size_t target_pool_buffered_bytes(const target_pool_t *pool);
/* Returns a finished job, owned by the caller, or NULL. */
target_job_t *target_pool_collect(target_pool_t *pool);
/* Aborts jobs past their deadline, closes expired idle connections, and probes the target when due. */
void target_pool_tick(target_pool_t *pool, int64_t now_ms);
int64_t target_pool_next_tick_ms(const target_pool_t *pool);
/* Sets the incarnation of the target that calls are for, by the identifier it reports; NULL: any. */
void target_pool_set_target_id(target_pool_t *pool, const char *target_id);
/*
 * Sets until when requests are sent; jobs that still wait for a connection then end as not started, except
 * identity probes.  INT64_MAX: without limit.
 */
void target_pool_set_start_until(target_pool_t *pool, int64_t start_until_ms);
/* Returns whether the last attempt to connect to the target succeeded. */
bool target_pool_is_reachable(const target_pool_t *pool);
/* Sets whether to probe the target also while it is reachable, to detect the restart of a draining one. */
void target_pool_set_probe_always(target_pool_t *pool, bool probe_always);

#endif
