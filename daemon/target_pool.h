/* Connections that carry calls to the target beside a proxy, one call a connection at a time. */
#ifndef TARGET_POOL_H
#define TARGET_POOL_H

#include "http_message.h"
#include "poller.h"
#include "settings.h"

/* A call for the target, with what came of it. */
typedef struct {
	Caraway__Message *message; /* owned; its body is a call_request */
	GBytes *peer;		   /* owned; NULL for a call of this proxy */
	int64_t came_ms;	   /* when the call arrived here */
	int64_t started_ms;
	int64_t start_by_ms; /* monotonic, like the next: it is not started later */
	int64_t deadline_ms; /* it is ended then */
	int64_t transit_ms;  /* that the transport added to its way here */
	cw_admit_result_t end;
	cw_reason_t reason;	/* when the target gave no answer, or says that it did not run the call */
	http_message_t *answer; /* when it answered */
	bool target_leaving;	/* the answer says that the target drains */
	bool arrived;		/* a byte of it was sent to the target */
	bool asks_identity;	/* no caller's: asks the target for its health and its identifier */
} target_job_t;

target_job_t *target_job_new(Caraway__Message *message, GBytes *peer);
void target_job_free(target_job_t *job);

typedef struct target_pool target_pool_t;

/* The address is HOST:PORT, the header names are borrowed. */
cw_status_t target_pool_new(const char *address, const header_names_t *names, poller_t *poller,
			    target_pool_t **pool);
/* Drops the jobs that run and frees the pool. */
void target_pool_free(target_pool_t *pool);
/* Begins a job at once; the pool owns it until it is collected or cancelled. */
void target_pool_submit(target_pool_t *pool, target_job_t *job);
/* Ends a job that runs by closing its connection, so that the target can stop; it is collected as failed. */
void target_pool_cancel(target_pool_t *pool, target_job_t *job);
/* Returns a finished job, owned by the caller, or NULL. */
target_job_t *target_pool_collect(target_pool_t *pool);
/* Ends the jobs whose deadline has passed, and tries to reach a target that was not. */
void target_pool_tick(target_pool_t *pool, int64_t now_ms);
int64_t target_pool_deadline_ms(const target_pool_t *pool);
/* The incarnation of the target that calls are meant for, as it names itself; NULL: any. */
void target_pool_expect(target_pool_t *pool, const char *target_id);
/* Whether the target accepted the last connection tried. */
bool target_pool_reachable(const target_pool_t *pool);
/* Whether to try connections to the target though it was reached: a leaving one shows its return by them. */
void target_pool_watch(target_pool_t *pool, bool watch);

#endif
