/* Threads that carry calls to the target beside a proxy, one call a thread at a time. */
#ifndef TARGET_POOL_H
#define TARGET_POOL_H

#include "libcaraway.h"

/* A call for the target, with what came of it. */
typedef struct {
	Caraway__Message *message; /* owned; its body is a call_request */
	GBytes *peer;		   /* owned; NULL for a call of this proxy */
	int64_t started_ms;
	int64_t deadline_ms; /* monotonic */
	cw_admit_end_t end;
	cw_reason_t reason; /* when the target gave no answer */
	unsigned status;
	GPtrArray *headers; /* owned Caraway__Header * */
	GByteArray *body;
	bool target_leaving; /* the answer says that the target drains */
} target_job_t;

target_job_t *target_job_new(Caraway__Message *message, GBytes *peer);
void target_job_free(target_job_t *job);

typedef struct target_pool target_pool_t;

/* The address is HOST:PORT; wake_fd is an eventfd raised when a job is done or the target's reach changes. */
cw_status_t target_pool_new(const char *address, uint32_t threads, int wake_fd, target_pool_t **pool);
/* Waits for the jobs that run and frees the pool. */
void target_pool_free(target_pool_t *pool);
void target_pool_submit(target_pool_t *pool, target_job_t *job);
/* Returns a finished job, owned by the caller, or NULL. */
target_job_t *target_pool_collect(target_pool_t *pool);
/* Whether the target accepted the last connection tried. */
bool target_pool_reachable(const target_pool_t *pool);
/* Whether to try connections to the target though it was reached: a leaving one shows its return by them. */
void target_pool_watch(target_pool_t *pool, bool watch);

#endif
