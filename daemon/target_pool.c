/* Pool of connections to the target of a proxy, and the jobs that they carry. */
#include "target_connection.h"

#include "clock.h"
#include "counters.h"
#include "log.h"
#include "socket_address.h"

/*
 * Maximum idle time of a connection reused for a request that is not idempotent.  A
 * target may close an idle connection at any time, and a request sent meanwhile would
 * have an unknown outcome.
 */
enum { MAX_IDLE_NOT_IDEMPOTENT_MS = 500 };

enum { MAX_ANSWER_BYTES = 32 << 20 /* unless target_pool_set_max_answer_bytes() sets another limit */ };

/* Creates a job; takes ownership of both arguments. */
target_job_t *target_job_new(Caraway__Message *message, GBytes *peer)
{
	target_job_t *job = g_new0(target_job_t, 1);

	job->message = message;
	job->peer = peer;
	return job;
}

/* Frees a job and what it owns. */
void target_job_free(target_job_t *job)
{
	cw_message_free(job->message);
	if (job->peer)
		g_bytes_unref(job->peer);
	http_message_free(job->response);
	g_free(job);
}

/* Records whether the target accepts connections. */
void target_pool_set_reachable(target_pool_t *pool, bool reachable)
{
	if (pool->reachable != reachable)
		log_info("target-reach", LOG_STR("state", reachable ? "reached" : "not reached"), LOG_END);
	pool->reachable = reachable;
	if (!reachable)
		pool->next_probe_ms = clock_now_ms() + PROBE_INTERVAL_MS;
}

/* Creates a pool without connections. */
cw_status_t target_pool_new(const char *address, const header_names_t *header_names, poller_t *poller,
			    target_pool_t **out)
{
	target_pool_t *pool = g_new0(target_pool_t, 1);
	cw_status_t status = socket_address_parse(address, &pool->address, &pool->address_length);

	if (status != CW_OK) {
		g_free(pool);
		return status;
	}
	pool->header_names = header_names;
	pool->poller = poller;
	pool->start_until_ms = INT64_MAX;
	pool->max_answer_bytes = MAX_ANSWER_BYTES;
	g_queue_init(&pool->active);
	g_queue_init(&pool->idle);
	g_queue_init(&pool->finished);
	*out = pool;
	return CW_OK;
}

/* Sets the longest body of an answer, for connections opened from now on. */
void target_pool_set_max_answer_bytes(target_pool_t *pool, size_t bytes)
{
	pool->max_answer_bytes = bytes;
}

/* Closes every connection and frees the pool and all its jobs. */
void target_pool_free(target_pool_t *pool)
{
	target_job_t *job;

	while (pool->active.head) {
		target_connection_t *connection = pool->active.head->data;

		if (connection->job)
			target_connection_abort(connection, CW_REASON_CUT);
		else
			target_connection_close(connection);
	}
	while (pool->idle.head)
		target_connection_close(pool->idle.head->data);
	while ((job = target_pool_collect(pool)))
		target_job_free(job);
	g_free(pool->target_id);
	g_free(pool);
}

/*
 * Returns the most recently used idle connection for a job; NULL when there is none.  A connection that has carried
 * a request with the same id is passed over: by the id, a second copy of the answer to that request would be taken
 * for the answer to this one.
 */
static target_connection_t *most_recent_idle(const target_pool_t *pool, const target_job_t *job)
{
	bool unidentified = target_connection_is_unidentified(pool, job);

	for (const GList *link = pool->idle.head; link; link = link->next) {
		target_connection_t *connection = link->data;

		if (connection->unidentified != unidentified)
			continue;
		if (!target_connection_has_carried(connection, job))
			return connection;
		counter_add(COUNTER_CONNECTION_PASSED_OVER, 1);
	}
	return NULL;
}

/* Returns an idle connection if the request of a job may be sent on it, else NULL. */
static target_connection_t *find_idle(const target_pool_t *pool, const target_job_t *job, int64_t now_ms)
{
	target_connection_t *connection = most_recent_idle(pool, job);

	if (!connection || now_ms >= connection->idle_until_ms)
		return NULL;
	if (!job->message->call_request->idempotent &&
	    now_ms >= connection->idle_since_ms + MAX_IDLE_NOT_IDEMPOTENT_MS)
		return NULL;
	return connection;
}

/* Starts a job on an idle connection, or else on a new one. */
void target_pool_submit(target_pool_t *pool, target_job_t *job)
{
	target_connection_t *connection = find_idle(pool, job, clock_now_ms());

	if (connection)
		target_connection_begin(connection, job);
	else
		target_connection_open(pool, job);
}

/* Returns the connection that carries a job; NULL when the job has finished. */
static target_connection_t *find_connection(const target_pool_t *pool, const target_job_t *job)
{
	for (const GList *link = pool->active.head; link; link = link->next)
		if (((target_connection_t *)link->data)->job == job)
			return link->data;
	return NULL;
}

/* Aborts a running job. */
void target_pool_cancel(target_pool_t *pool, target_job_t *job)
{
	target_connection_t *connection = find_connection(pool, job);

	if (connection)
		target_connection_abort(connection, CW_REASON_REVOKED);
}

/* Returns the number of body bytes of all unfinished responses. */
size_t target_pool_buffered_bytes(const target_pool_t *pool)
{
	size_t bytes = 0;

	for (const GList *link = pool->active.head; link; link = link->next) {
		const http_message_t *response = ((target_connection_t *)link->data)->reader.message;

		if (response)
			bytes += response->body->len;
	}
	return bytes;
}

/* Returns a finished job, or NULL. */
target_job_t *target_pool_collect(target_pool_t *pool)
{
	return g_queue_pop_head(&pool->finished);
}

/* Returns until when a job that waits for its connection may start. */
static int64_t latest_start_ms(const target_connection_t *connection)
{
	return connection->output.sent || connection->job->is_identity_probe
		       ? INT64_MAX
		       : connection->pool->start_until_ms;
}

/* Aborts a job that has passed its deadline, or its latest start. */
static void abort_expired(target_connection_t *connection, int64_t now_ms)
{
	if (now_ms >= connection->job->deadline_ms)
		target_connection_abort(connection,
					connection->output.sent ? CW_REASON_NO_ANSWER : CW_REASON_DEADLINE);
	else if (now_ms >= latest_start_ms(connection))
		target_connection_abort(connection, CW_REASON_DRAINING);
}

/* Reads on from paused connections whose answers may be read again. */
static void resume_paused(target_pool_t *pool)
{
	bool paused = false;

	if (!pool->pausing)
		return;
	for (GList *link = pool->active.head; link; link = link->next) {
		target_connection_t *connection = link->data;

		target_connection_resume(connection);
		paused |= connection->paused;
	}
	pool->pausing = paused;
}

/* Aborts jobs past their deadline or latest start, closes expired idle connections, and probes the target when due. */
void target_pool_tick(target_pool_t *pool, int64_t now_ms)
{
	GList *next;

	for (GList *link = pool->active.head; link; link = next) {
		target_connection_t *connection = link->data;

		next = link->next;
		if (connection->job)
			abort_expired(connection, now_ms);
	}
	while (pool->idle.tail && now_ms >= ((target_connection_t *)pool->idle.tail->data)->idle_until_ms)
		target_connection_close(pool->idle.tail->data);
	resume_paused(pool);
	if ((!pool->reachable || pool->probe_always) && !pool->probing && now_ms >= pool->next_probe_ms) {
		pool->probing = true;
		target_connection_open(pool, NULL);
	}
}

/* Returns when target_pool_tick() is due. */
int64_t target_pool_next_tick_ms(const target_pool_t *pool)
{
	int64_t deadline_ms = INT64_MAX;

	if ((!pool->reachable || pool->probe_always) && !pool->probing)
		deadline_ms = pool->next_probe_ms;
	for (const GList *link = pool->active.head; link; link = link->next) {
		const target_connection_t *connection = link->data;

		if (connection->job)
			deadline_ms = MIN(deadline_ms,
					  MIN(connection->job->deadline_ms, latest_start_ms(connection)));
	}
	if (pool->idle.tail)
		deadline_ms = MIN(deadline_ms, ((target_connection_t *)pool->idle.tail->data)->idle_until_ms);
	return g_queue_is_empty((GQueue *)&pool->finished) ? deadline_ms : 0;
}

/* Sets the incarnation of the target that calls are for; closes idle connections to an earlier one. */
void target_pool_set_target_id(target_pool_t *pool, const char *target_id)
{
	if (!g_strcmp0(pool->target_id, target_id))
		return;
	g_free(pool->target_id);
	pool->target_id = g_strdup(target_id);
	while (pool->idle.head)
		target_connection_close(pool->idle.head->data);
}

/* Sets until when requests are sent. */
void target_pool_set_start_until(target_pool_t *pool, int64_t start_until_ms)
{
	pool->start_until_ms = start_until_ms;
}

/* Returns whether the last attempt to connect to the target succeeded. */
bool target_pool_is_reachable(const target_pool_t *pool)
{
	return pool->reachable;
}

/* Sets whether to probe the target also while it is reachable. */
void target_pool_set_probe_always(target_pool_t *pool, bool probe_always)
{
	pool->probe_always = probe_always;
}
