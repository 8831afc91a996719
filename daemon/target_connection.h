/* A connection to the target that carries one call at a time, and the internals of the connection pool. */
#ifndef TARGET_CONNECTION_H
#define TARGET_CONNECTION_H

#include <sys/socket.h>

#include "send_buffer.h"
#include "target_pool.h"

enum { PROBE_INTERVAL_MS = 250 /* between connections opened only to check that the target accepts them */ };

typedef enum { CONNECTION_CONNECTING, CONNECTION_IDLE, CONNECTION_BUSY } target_connection_state_t;

typedef struct {
	target_pool_t *pool;
	poller_watch_t watch;
	int fd;		 /* -1 once closed */
	uint64_t number; /* counts the connections of the pool */
	target_connection_state_t state;
	GList link; /* in the pool: idle or active */
	http_reader_t reader;
	target_job_t *job; /* NULL: idle, or a probe */
	send_buffer_t output;
	bool reused;		       /* it has carried an earlier job */
	bool probed;		       /* it has carried an identity probe, whose answer has no request id */
	bool unidentified;	       /* it carries calls without a request id, and nothing else */
	GArray *carried;	       /* uint32_t hashes of the request ids that it has carried */
	bool echoes_ids;	       /* an answer on it had the id of its request */
	bool paused;		       /* not read, as the account of waiting bytes is full */
	bool reset;		       /* sending failed, and not because the target had closed regularly */
	uint32_t mismatched_responses; /* responses to other requests, skipped during the present job */
	int64_t idle_until_ms;	       /* when an idle connection is closed */
	int64_t idle_since_ms;	       /* when the last job ended */
} target_connection_t;

struct target_pool {
	const header_names_t *header_names; /* borrowed */
	poller_t *poller;
	struct sockaddr_storage address;
	socklen_t address_length;
	GQueue active;		/* links of target_connection_t that have a job or are connecting */
	GQueue idle;		/* links of target_connection_t, the most recently used first */
	GQueue finished;	/* target_job_t *, not collected yet */
	uint64_t opened;	/* connections opened so far */
	char *target_id;	/* identifier of the incarnation that calls are for; NULL: any */
	int64_t start_until_ms; /* later no request is sent; INT64_MAX: without limit */
	int64_t next_probe_ms;	/* when the next probe is due */
	bool probing;		/* a probe is in progress */
	bool reachable;		/* the last attempt to connect succeeded */
	bool probe_always;	/* probe also while reachable */
	/* Of the body of one answer. */
	size_t max_answer_bytes;
	/* An answer is not read, as the account of waiting bytes is full. */
	bool pausing;
};

/* Opens a connection for a job, or a probe (NULL) that checks whether the target accepts connections. */
void target_connection_open(target_pool_t *pool, target_job_t *job);
/* Returns whether a job is a call without a request id; such calls share connections with each other only. */
bool target_connection_is_unidentified(const target_pool_t *pool, const target_job_t *job);
/* Returns whether a connection has carried a request with the id of a job; rarely true for another id. */
bool target_connection_has_carried(const target_connection_t *connection, const target_job_t *job);
/* Starts a job on an established connection. */
void target_connection_begin(target_connection_t *connection, target_job_t *job);
/* Ends the job of a connection without a response, for a reason, and closes the connection. */
void target_connection_abort(target_connection_t *connection, cw_reason_t reason);
/* Reads on from a paused connection when its answer may be read again. */
void target_connection_resume(target_connection_t *connection);
/* Closes a connection that has no job. */
void target_connection_close(target_connection_t *connection);
/* Records whether the target accepts connections. */
void target_pool_set_reachable(target_pool_t *pool, bool reachable);

#endif
