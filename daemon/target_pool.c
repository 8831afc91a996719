/*
 * Threads that carry calls to the target beside a proxy.
 *
 * neon blocks and its timeouts are whole seconds, so that callers' deadlines
 * are kept elsewhere.  A request that is not idempotent is sent with
 * NE_REQFLAG_IDEMPOTENT off: neon would else send it again, without a word,
 * when a kept connection closes before the status line.
 */
#include "target_pool.h"

#include <inttypes.h>
#include <ne_request.h>
#include <ne_session.h>
#include <ne_socket.h>
#include <ne_utils.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "counters.h"
#include "headers.h"

enum {
	MAX_ANSWER_BYTES = 16 << 20,
	READ_BYTES = 16384,
	CONNECT_TIMEOUT_S = 2,
	MS_PER_S = 1000,
	PROBE_MS = 250 /* between connections tried to a target that was not reached */
};

struct target_pool {
	char *host;
	unsigned port;
	int wake_fd;
	GAsyncQueue *waiting; /* of target_job_t, or &stop_mark */
	GAsyncQueue *done;    /* of target_job_t */
	pthread_t *threads;
	uint32_t thread_count;
	pthread_t prober;
	pthread_mutex_t lock;
	pthread_cond_t stopping_changed;
	bool stopping;
	_Atomic bool reachable;
	_Atomic bool watched;
};

/* One thread's connection to the target. */
typedef struct {
	target_pool_t *pool;
	ne_session *session;
	bool connected;
} worker_t;

static char stop_mark;

/* Makes a job; takes over both arguments. */
target_job_t *target_job_new(Caraway__Message *message, GBytes *peer)
{
	target_job_t *job = g_new0(target_job_t, 1);

	job->message = message;
	job->peer = peer;
	job->headers = g_ptr_array_new_with_free_func(cw_message_free);
	job->body = g_byte_array_new();
	return job;
}

/* Frees a job with all it owns. */
void target_job_free(target_job_t *job)
{
	cw_message_free(job->message);
	if (job->peer)
		g_bytes_unref(job->peer);
	g_ptr_array_free(job->headers, TRUE);
	g_byte_array_free(job->body, TRUE);
	g_free(job);
}

/* Tells the traffic thread that there is news. */
static void wake(const target_pool_t *pool)
{
	uint64_t one = 1;

	if (write(pool->wake_fd, &one, sizeof(one)) < 0)
		counter_add(COUNTER_SEND_REFUSED, 1);
}

/* Records whether the target accepts connections. */
static void set_reachable(target_pool_t *pool, bool reachable)
{
	if (atomic_exchange(&pool->reachable, reachable) != reachable)
		wake(pool);
}

/* Follows whether the session holds a connection. */
static void on_status(void *data, ne_session_status status, const ne_session_status_info *info)
{
	worker_t *worker = data;

	(void)info;
	if (status == ne_status_connected)
		worker->connected = true;
	else if (status == ne_status_disconnected)
		worker->connected = false;
}

/* Opens a worker's session; no connection is made yet. */
static void open_session(worker_t *worker)
{
	worker->session = ne_session_create("http", worker->pool->host, worker->pool->port);
	worker->connected = false;
	ne_set_connect_timeout(worker->session, CONNECT_TIMEOUT_S);
	ne_set_notifier(worker->session, on_status, worker);
}

/* Builds neon's request for a call: the caller's headers, the deadline left and the depth. */
static ne_request *build_request(worker_t *worker, const target_job_t *job)
{
	const Caraway__CallRequest *call = job->message->call_request;
	ne_request *request = ne_request_create(worker->session, call->method, call->path);

	ne_set_request_flag(request, NE_REQFLAG_IDEMPOTENT, call->idempotent);
	for (size_t i = 0; i < call->n_headers; i++)
		ne_add_request_header(request, call->headers[i]->name, call->headers[i]->value);
	ne_print_request_header(request, HEADER_DEADLINE, "%" PRId64,
				MAX(job->deadline_ms - clock_now_ms(), 1));
	ne_print_request_header(request, HEADER_DEPTH, "%u", call->depth + 1);
	if (call->attempt)
		ne_print_request_header(request, HEADER_ATTEMPT, "%u", call->attempt);
	if (call->body.len)
		ne_set_request_body_buffer(request, (const char *)call->body.data, call->body.len);
	return request;
}

/* Reads the answer's body to its end; an error when it is cut or too long. */
static int read_body(ne_request *request, target_job_t *job)
{
	char block[READ_BYTES];
	ssize_t length;

	while ((length = ne_read_response_block(request, block, sizeof(block))) > 0) {
		if (job->body->len + (size_t)length > MAX_ANSWER_BYTES) {
			job->reason = CW_REASON_ANSWER_TOO_LARGE;
			return NE_ERROR;
		}
		g_byte_array_append(job->body, (const guint8 *)block, (guint)length);
	}
	return length < 0 ? NE_ERROR : NE_OK;
}

/* Copies the answer's headers but those between two neighbours only. */
static void read_headers(ne_request *request, target_job_t *job)
{
	const char *name, *value;
	void *cursor = NULL;

	while ((cursor = ne_response_header_iterate(request, cursor, &name, &value))) {
		if (!g_ascii_strcasecmp(name, HEADER_DRAINING))
			job->target_leaving = true;
		else if (headers_passes_back(name))
			g_ptr_array_add(job->headers, headers_new(name, value));
	}
}

/* Sends one request and reads the whole answer; a neon result. */
static int exchange(ne_request *request, target_job_t *job)
{
	int result = ne_begin_request(request);

	if (result != NE_OK)
		return result;
	job->status = (unsigned)ne_get_status(request)->code;
	read_headers(request, job);
	result = read_body(request, job);
	return result == NE_OK ? ne_end_request(request) : result;
}

/*
 * Judges how a request ended.  Only a connection that was never made proves
 * that nothing ran: with one kept from an earlier request neon may have sent
 * the request there before it failed to connect anew.
 */
static void judge(target_job_t *job, int result, bool was_connected)
{
	bool never_sent = (result == NE_CONNECT || result == NE_LOOKUP) && !was_connected;

	if (result == NE_OK) {
		job->end = CW_ADMIT_ANSWERED;
	} else if (never_sent) {
		job->end = CW_ADMIT_NOT_STARTED;
		job->reason = CW_REASON_TARGET_UNREACHABLE;
	} else {
		job->end = CW_ADMIT_FAILED;
		if (job->reason == CW_REASON_NONE)
			job->reason = result == NE_TIMEOUT ? CW_REASON_NO_ANSWER : CW_REASON_CUT;
	}
}

/* Carries one call to the target. */
static void run_job(worker_t *worker, target_job_t *job)
{
	const Caraway__CallRequest *call = job->message->call_request;
	int64_t left_ms = MAX(job->deadline_ms - clock_now_ms(), 1);
	bool was_connected = worker->connected && call->idempotent;
	ne_request *request = build_request(worker, job);
	int result;

	ne_set_read_timeout(worker->session, (int)((left_ms + MS_PER_S - 1) / MS_PER_S));
	result = exchange(request, job);
	judge(job, result, was_connected);
	ne_request_destroy(request);
	if (result != NE_OK)
		ne_close_connection(worker->session);
	set_reachable(worker->pool, job->end != CW_ADMIT_NOT_STARTED);
}

/* Takes jobs until told to stop. */
static void *run_worker(void *data)
{
	worker_t worker = {.pool = data};
	target_job_t *job;

	open_session(&worker);
	while ((void *)(job = g_async_queue_pop(worker.pool->waiting)) != &stop_mark) {
		run_job(&worker, job);
		g_async_queue_push(worker.pool->done, job);
		wake(worker.pool);
	}
	ne_session_destroy(worker.session);
	return NULL;
}

/* Returns whether the target accepts a connection now. */
static bool try_connect(const target_pool_t *pool)
{
	ne_sock_addr *resolved = ne_addr_resolve(pool->host, 0);
	ne_socket *socket = ne_sock_create();
	bool connected = false;

	ne_sock_connect_timeout(socket, CONNECT_TIMEOUT_S);
	if (!ne_addr_result(resolved))
		connected = !ne_sock_connect(socket, ne_addr_first(resolved), pool->port);
	ne_sock_close(socket);
	ne_addr_destroy(resolved);
	return connected;
}

/* Waits for a time or until the pool stops; returns whether it stops. */
static bool wait_stopping(target_pool_t *pool, int time_ms)
{
	struct timespec until;
	bool stopping;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += (long)time_ms * 1000000;
	until.tv_sec += until.tv_nsec / 1000000000;
	until.tv_nsec %= 1000000000;
	pthread_mutex_lock(&pool->lock);
	if (!pool->stopping)
		pthread_cond_timedwait(&pool->stopping_changed, &pool->lock, &until);
	stopping = pool->stopping;
	pthread_mutex_unlock(&pool->lock);
	return stopping;
}

/* Tries to reach a target that was not reached, or gets no calls since it leaves: no call would show that it is back. */
static void *run_prober(void *data)
{
	target_pool_t *pool = data;

	do {
		if (!atomic_load(&pool->reachable) || atomic_load(&pool->watched))
			set_reachable(pool, try_connect(pool));
	} while (!wait_stopping(pool, PROBE_MS));
	return NULL;
}

/* Splits HOST:PORT. */
static cw_status_t split_address(const char *address, char **host, unsigned *port)
{
	const char *colon = strrchr(address, ':');
	guint64 value;

	if (!colon || !g_ascii_string_to_unsigned(colon + 1, 10, 1, G_MAXUINT16, &value, NULL))
		return cw_fail(CW_ERR_SETTINGS, "%s: not HOST:PORT", address);
	*host = g_strndup(address, (gsize)(colon - address));
	*port = (unsigned)value;
	return CW_OK;
}

/* Starts the threads. */
cw_status_t target_pool_new(const char *address, uint32_t threads, int wake_fd, target_pool_t **out)
{
	target_pool_t *pool = g_new0(target_pool_t, 1);
	cw_status_t status = split_address(address, &pool->host, &pool->port);
	pthread_condattr_t clock;

	if (status != CW_OK) {
		g_free(pool);
		return status;
	}
	ne_sock_init();
	pool->wake_fd = wake_fd;
	pool->waiting = g_async_queue_new();
	pool->done = g_async_queue_new();
	pool->thread_count = threads;
	pool->threads = g_new0(pthread_t, threads);
	pthread_mutex_init(&pool->lock, NULL);
	pthread_condattr_init(&clock);
	pthread_condattr_setclock(&clock, CLOCK_MONOTONIC);
	pthread_cond_init(&pool->stopping_changed, &clock);
	for (uint32_t i = 0; i < threads; i++)
		pthread_create(&pool->threads[i], NULL, run_worker, pool);
	pthread_create(&pool->prober, NULL, run_prober, pool);
	*out = pool;
	return CW_OK;
}

/* Stops the threads after the jobs that run, and frees everything. */
void target_pool_free(target_pool_t *pool)
{
	target_job_t *job;

	pthread_mutex_lock(&pool->lock);
	pool->stopping = true;
	pthread_cond_signal(&pool->stopping_changed);
	pthread_mutex_unlock(&pool->lock);
	for (uint32_t i = 0; i < pool->thread_count; i++)
		g_async_queue_push(pool->waiting, &stop_mark);
	for (uint32_t i = 0; i < pool->thread_count; i++)
		pthread_join(pool->threads[i], NULL);
	pthread_join(pool->prober, NULL);
	while ((job = target_pool_collect(pool)))
		target_job_free(job);
	g_async_queue_unref(pool->waiting);
	g_async_queue_unref(pool->done);
	pthread_cond_destroy(&pool->stopping_changed);
	pthread_mutex_destroy(&pool->lock);
	g_free(pool->threads);
	g_free(pool->host);
	g_free(pool);
}

/* Gives a job to the next free thread; the pool owns it until it is collected. */
void target_pool_submit(target_pool_t *pool, target_job_t *job)
{
	g_async_queue_push(pool->waiting, job);
}

/* Returns a finished job, or NULL. */
target_job_t *target_pool_collect(target_pool_t *pool)
{
	return g_async_queue_try_pop(pool->done);
}

/* Returns whether the target accepted the last connection tried. */
bool target_pool_reachable(const target_pool_t *pool)
{
	return atomic_load(&pool->reachable);
}

/* Sets whether connections are tried though the target was reached. */
void target_pool_watch(target_pool_t *pool, bool watch)
{
	atomic_store(&pool->watched, watch);
}
