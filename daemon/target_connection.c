/*
 * A connection to the target that carries one call at a time.
 *
 * A job of which at least one byte was sent may have run, unless the target's
 * response says that it did not, and is never sent again from here.  A job of which
 * no byte was sent did not run.
 */
#include "target_connection.h"

#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "counters.h"
#include "headers.h"
#include "log.h"

enum {
	/* Of all unfinished responses, where the account of waiting bytes has no limit. */
	MAX_BUFFERED_BYTES = 32 << 20,
	/*
	 * A response is read up to this length also when the account is full: ordinary answers are not delayed by
	 * long ones, and the slots bound how many there are.
	 */
	SHORT_BODY_BYTES = 16384,
	MAX_HEADER_BYTES = 65536, /* of a response */
	READ_BUFFER_BYTES = 16384,
	MAX_IDLE_MS = 4000, /* an idle connection is reused within this time, or less if the target says so */
	KEEP_ALIVE_DIVISOR = 2, /* a connection is reused within half of the target's keep-alive timeout */
	MAX_MISMATCHED_RESPONSES = 2, /* skipped on a connection before it is closed */
	MAX_CARRIED_REQUESTS = 1000,  /* on one connection, which bounds the memory for their ids */
	MS_PER_S = 1000,
	STATUS_INFORMATIONAL_END = 200, /* lower ones are interim responses, before the one to the request */
	STATUS_REQUEST_TIMEOUT = 408,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY_REQUESTS = 429,
	STATUS_SERVER_ERROR = 500,
	STATUS_UNAVAILABLE = 503
};

/* Frees a closed connection. */
static void connection_free(void *data)
{
	target_connection_t *connection = data;

	http_reader_clear(&connection->reader);
	send_buffer_free(&connection->output);
	g_array_unref(connection->carried);
	g_free(connection);
}

/* Returns the list of the pool that holds a connection. */
static GQueue *connection_list(target_connection_t *connection)
{
	return connection->state == CONNECTION_IDLE ? &connection->pool->idle : &connection->pool->active;
}

/* Closes a connection that has no job. */
void target_connection_close(target_connection_t *connection)
{
	poller_remove(connection->pool->poller, connection->fd);
	close(connection->fd);
	connection->fd = -1;
	g_queue_unlink(connection_list(connection), &connection->link);
	poller_free_later(connection->pool->poller, connection_free, connection);
}

/* Queues a finished job for target_pool_collect(). */
static void finish_job(target_connection_t *connection, cw_admit_result_t result, cw_reason_t reason)
{
	target_job_t *job = g_steal_pointer(&connection->job);

	job->arrived = connection->output.sent > 0;
	job->result = result;
	job->reason = reason;
	g_queue_push_tail(&connection->pool->finished, job);
}

/*
 * Closes a failed connection and ends its job without a response.  If no byte was
 * sent on a reused connection, the target had closed it while it was idle: the job
 * then starts again on a new connection.
 */
static void fail_connection(target_connection_t *connection, cw_reason_t reason)
{
	target_pool_t *pool = connection->pool;
	target_job_t *retry_job = NULL;

	if (connection->state == CONNECTION_CONNECTING) {
		pool->probing = false;
		target_pool_set_reachable(pool, false);
	}
	if (connection->job && connection->output.sent)
		finish_job(connection, CW_ADMIT_FAILED, reason);
	else if (connection->job && connection->reused)
		retry_job = g_steal_pointer(&connection->job);
	else if (connection->job)
		finish_job(connection, CW_ADMIT_NOT_STARTED, CW_REASON_TARGET_UNREACHABLE);
	target_connection_close(connection);
	if (retry_job)
		target_connection_open(pool, retry_job);
}

/* Changes the state of a connection and moves it to the list of that state. */
static void set_state(target_connection_t *connection, target_connection_state_t state)
{
	g_queue_unlink(connection_list(connection), &connection->link);
	connection->state = state;
	g_queue_push_head_link(connection_list(connection), &connection->link);
}

/* Appends a formatted line and CRLF. */
static void append_line(send_buffer_t *output, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void append_line(send_buffer_t *output, const char *format, ...)
{
	va_list arguments;
	char *line;

	va_start(arguments, format);
	line = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	send_buffer_append_text(output, line);
	send_buffer_append_text(output, "\r\n");
	g_free(line);
}

/* Returns whether a request has a body, or a method that is usually sent with one. */
static bool has_body(const Caraway__CallRequest *call)
{
	return call->body.len || !strcmp(call->method, "POST") || !strcmp(call->method, "PUT") ||
	       !strcmp(call->method, "PATCH");
}

/* Writes the HTTP request of a call: the headers of the call and those that the proxy sets. */
static void write_request(target_connection_t *connection)
{
	const target_pool_t *pool = connection->pool;
	const target_job_t *job = connection->job;
	const Caraway__CallRequest *call = job->message->call_request;
	send_buffer_t *output = &connection->output;

	send_buffer_reset(output);
	append_line(output, "%s %s HTTP/1.1", call->method, call->path);
	for (size_t i = 0; i < call->n_headers; i++)
		append_line(output, "%s: %s", call->headers[i]->name, call->headers[i]->value);
	append_line(output, "%s: %" PRId64, pool->header_names->deadline,
		    MAX(job->deadline_ms - clock_now_ms(), 1));
	append_line(output, HEADER_DEPTH ": %u", call->depth + 1);
	if (call->attempt)
		append_line(output, HEADER_ATTEMPT ": %u", call->attempt);
	if (pool->target_id && *pool->header_names->expected_target)
		append_line(output, "%s: %s", pool->header_names->expected_target, pool->target_id);
	if (has_body(call))
		append_line(output, "Content-Length: %zu", call->body.len);
	append_line(output, "%s", "");
	send_buffer_append(output, call->body.data, call->body.len);
}

/* Returns the length of the body of a response of which a part was received. */
static size_t received_body_bytes(const target_connection_t *connection)
{
	return connection->reader.message ? connection->reader.message->body->len : 0;
}

/* Returns the connection whose long answer was begun first; NULL when none has one. */
static const target_connection_t *first_long_answer(const target_pool_t *pool)
{
	for (const GList *link = pool->active.tail; link; link = link->prev)
		if (received_body_bytes(link->data) >= SHORT_BODY_BYTES)
			return link->data;
	return NULL;
}

/*
 * Returns whether bytes of a response may be received.  While the account of waiting bytes is full, only short
 * answers and one long one are, so that this one is finished whatever the others hold.  It too waits while
 * unsent bytes fill half of the account: they leave without it.  Requests do not, as they may wait for it.
 */
static bool may_read(const target_connection_t *connection)
{
	size_t unsent;

	if (received_body_bytes(connection) < SHORT_BODY_BYTES || !memory_account_is_full())
		return true;
	unsent = memory_account_held_by(MEMORY_TO_CALLERS) + memory_account_held_by(MEMORY_TO_PROXIES);
	return unsent < memory_account_limit() / 2 && first_long_answer(connection->pool) == connection;
}

/* Updates the events that the poller watches a connection for. */
static void update_events(target_connection_t *connection)
{
	uint32_t events = connection->paused ? 0 : EPOLLIN | EPOLLRDHUP;

	if (connection->state == CONNECTION_CONNECTING || send_buffer_pending(&connection->output))
		events |= EPOLLOUT;
	poller_change(connection->pool->poller, connection->fd, events, &connection->watch);
}

/*
 * Sends the rest of the request; a failure before the first byte fails the
 * connection.  After a later one the target may have responded before it closed, so
 * that read_connection() decides.  It no longer sees an error that was reported here;
 * EPIPE is none: it follows a regular end of the stream.
 */
static void send_request(target_connection_t *connection)
{
	if (send_buffer_flush(&connection->output, connection->fd) != SEND_BUFFER_FAILED)
		update_events(connection);
	else if (!connection->output.sent)
		fail_connection(connection, CW_REASON_CUT);
	else if (errno != EPIPE)
		connection->reset = true;
}

/* Returns the request id of a call; NULL when its caller set none. */
static const char *call_request_id(const target_pool_t *pool, const Caraway__CallRequest *call)
{
	for (size_t i = 0; i < call->n_headers; i++)
		if (!g_ascii_strcasecmp(call->headers[i]->name, pool->header_names->request_id))
			return call->headers[i]->value;
	return NULL;
}

/* Returns whether a job is a call without a request id, whose answer cannot be told from those of other calls. */
bool target_connection_is_unidentified(const target_pool_t *pool, const target_job_t *job)
{
	return !job->is_identity_probe && !call_request_id(pool, job->message->call_request);
}

/*
 * Returns a hash of the request id of a job, by which its answer is told from others.  All identity probes, which
 * have none, count as one request.
 */
static uint32_t request_hash(const target_pool_t *pool, const target_job_t *job)
{
	const char *id = call_request_id(pool, job->message->call_request);

	return id ? (uint32_t)cw_hash(id, strlen(id), 0) : 0;
}

/*
 * Returns whether a connection has carried a request with the id of a job.  A second copy of the answer to that
 * request could not be told from the answer to the job there.
 */
bool target_connection_has_carried(const target_connection_t *connection, const target_job_t *job)
{
	uint32_t hash = request_hash(connection->pool, job);

	if (connection->unidentified)
		return false;
	for (guint i = 0; i < connection->carried->len; i++)
		if (g_array_index(connection->carried, uint32_t, i) == hash)
			return true;
	return false;
}

/* Starts a job on an established connection. */
void target_connection_begin(target_connection_t *connection, target_job_t *job)
{
	uint32_t hash = request_hash(connection->pool, job);

	connection->job = job;
	g_array_append_val(connection->carried, hash);
	connection->probed |= job->is_identity_probe;
	connection->unidentified = target_connection_is_unidentified(connection->pool, job);
	connection->mismatched_responses = 0;
	connection->reader.answers_head = !strcmp(job->message->call_request->method, "HEAD");
	set_state(connection, CONNECTION_BUSY);
	write_request(connection);
	send_request(connection);
}

/* Makes a connection idle for reuse after its job, or closes it. */
static void release_connection(target_connection_t *connection, bool reusable, int64_t idle_limit_ms)
{
	if (!reusable) {
		target_connection_close(connection);
		return;
	}
	connection->reused = true;
	connection->idle_since_ms = clock_now_ms();
	connection->idle_until_ms = connection->idle_since_ms + idle_limit_ms;
	send_buffer_reset(&connection->output);
	set_state(connection, CONNECTION_IDLE);
}

/* Returns how long a connection may stay idle after a response, in milliseconds. */
static int64_t idle_limit_ms(const http_message_t *response)
{
	const char *header = http_message_header(response, "Keep-Alive");
	const char *timeout = header ? strstr(header, "timeout=") : NULL;
	int64_t target_timeout_ms;

	if (!timeout)
		return MAX_IDLE_MS;
	target_timeout_ms = (int64_t)g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10) * MS_PER_S;
	return MIN(MAX_IDLE_MS, target_timeout_ms / KEEP_ALIVE_DIVISOR);
}

/* Returns the request id that a response carries, or NULL. */
static const char *response_request_id(const target_connection_t *connection, const http_message_t *response)
{
	return http_message_header(response, connection->pool->header_names->request_id);
}

/*
 * Returns whether a response belongs to another request than the present one: it
 * carries another request id, or an id where the present request is an identity probe,
 * or none where an earlier request on the connection was one.
 */
static bool is_mismatched(const target_connection_t *connection, const http_message_t *response)
{
	const char *call_id = call_request_id(connection->pool, connection->job->message->call_request);
	const char *response_id = response_request_id(connection, response);

	if (connection->job->is_identity_probe)
		return response_id != NULL;
	if (!call_id || (!response_id && !connection->probed))
		return false;
	return g_strcmp0(call_id, response_id) != 0;
}

/* Returns whether a response says in a header that the call did not run. */
static bool is_refusal(const target_connection_t *connection, const http_message_t *response)
{
	const char *name = connection->pool->header_names->not_executed;

	return *name && http_message_header(response, name);
}

/*
 * Returns whether a response is certainly no second copy of an earlier one: it is the first on its connection
 * or carries the id of the present request, which the connection has carried once.
 */
static bool is_certain(const target_connection_t *connection, const http_message_t *response)
{
	return !connection->reused ||
	       (!connection->unidentified && response_request_id(connection, response));
}

/* Returns whether a caller takes a status for a promise that its request did not run. */
static bool is_promising_status(unsigned status)
{
	return status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED ||
	       status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
}

/*
 * Returns whether a response promises that the call did not run, but possibly belongs to no request or to an earlier
 * one.  A status alone matters to calls that must not run twice, and is believed of a target that returns no ids.
 */
static bool is_doubtful(const target_connection_t *connection, const http_message_t *response)
{
	bool idempotent = connection->job->message->call_request->idempotent;

	if (is_certain(connection, response))
		return false;
	return is_refusal(connection, response) ||
	       (!idempotent && connection->echoes_ids && is_promising_status(response->status));
}

/* Returns the reason of a response that says that the call did not run. */
static cw_reason_t not_run_reason(const http_message_t *response)
{
	return response->status == STATUS_MISDIRECTED ? CW_REASON_INCARNATION : CW_REASON_TARGET_FULL;
}

/* Ends the job of a connection with an unknown outcome, as its refusal may be that of an earlier request. */
static void distrust_refusal(target_connection_t *connection)
{
	counter_add(COUNTER_REFUSAL_UNCERTAIN, 1);
	log_warning("refusal-uncertain", LOG_UINT("status", connection->job->response->status), LOG_END);
	finish_job(connection, CW_ADMIT_FAILED, CW_REASON_CUT);
}

/* Ends the job of a connection with its response. */
static void handle_response(target_connection_t *connection, http_message_t *response, bool extra_bytes)
{
	target_job_t *job = connection->job;
	bool request_sent = !send_buffer_pending(&connection->output);
	bool distrusted = is_doubtful(connection, response);
	bool reusable = response->keep_alive && request_sent && !extra_bytes && !distrusted &&
			!response->states_body && !connection->mismatched_responses &&
			connection->carried->len < MAX_CARRIED_REQUESTS;
	int64_t max_idle_ms = idle_limit_ms(response);

	connection->echoes_ids |= !connection->unidentified && response_request_id(connection, response);
	job->target_draining = http_message_header(response, HEADER_DRAINING) != NULL;
	job->response = response;
	if (distrusted)
		distrust_refusal(connection);
	else if (is_refusal(connection, response))
		finish_job(connection, CW_ADMIT_DECLINED, not_run_reason(response));
	else
		finish_job(connection,
			   response->status >= STATUS_SERVER_ERROR ? CW_ADMIT_ERROR : CW_ADMIT_ANSWERED,
			   CW_REASON_NONE);
	release_connection(connection, reusable, max_idle_ms);
}

/* Counts and logs an answer that is not passed on; the status is what was understood of it. */
static void report_invalid(unsigned status)
{
	counter_add(COUNTER_ANSWER_UNREADABLE, 1);
	log_warning("answer-invalid", LOG_UINT("status", status), LOG_END);
}

/* Logs a response with the request that it may belong to and the place of that request on the connection. */
static void log_response(const target_connection_t *connection, const http_message_t *response)
{
	const target_job_t *job = connection->job;

	log_debug("target-answer",
		  LOG_STR("request", call_request_id(connection->pool, job->message->call_request)),
		  LOG_STR("told", response_request_id(connection, response)),
		  LOG_UINT("status", response->status), LOG_UINT("refusal", is_refusal(connection, response)),
		  LOG_UINT("connection", connection->number), LOG_UINT("job", connection->carried->len),
		  LOG_INT("after_ms", clock_now_ms() - job->started_ms), LOG_END);
}

/* Handles a complete message of the target; returns false when no further one is expected. */
static bool handle_message(target_connection_t *connection, bool extra_bytes)
{
	http_message_t *response = http_reader_take_message(&connection->reader);

	log_response(connection, response);
	if (response->status < STATUS_INFORMATIONAL_END) {
		http_message_free(response);
		return true;
	}
	if (is_mismatched(connection, response)) {
		counter_add(COUNTER_ANSWER_CROSSED, 1);
		log_warning("answer-crossed", LOG_STR("told", response_request_id(connection, response)),
			    LOG_END);
		http_message_free(response);
		if (++connection->mismatched_responses <= MAX_MISMATCHED_RESPONSES)
			return true;
		fail_connection(connection, CW_REASON_CUT);
		return false;
	}
	if (extra_bytes && http_status_has_no_body(response->status)) {
		report_invalid(response->status);
		http_message_free(response);
		fail_connection(connection, CW_REASON_CUT);
		return false;
	}
	handle_response(connection, response, extra_bytes);
	return false;
}

/* Parses received bytes until the job has ended. */
static void parse_bytes(target_connection_t *connection, const char *data, size_t length)
{
	while (length) {
		size_t used;
		http_read_result_t result = http_reader_feed(&connection->reader, data, length, &used);

		data += used;
		length -= used;
		if (result == HTTP_READ_INCOMPLETE && !memory_account_limit() &&
		    target_pool_buffered_bytes(connection->pool) > MAX_BUFFERED_BYTES)
			result = HTTP_READ_BODY_TOO_LARGE;
		if (result == HTTP_READ_INCOMPLETE)
			return;
		if (result != HTTP_READ_COMPLETE) {
			report_invalid(connection->reader.parser.status_code);
			fail_connection(connection, result == HTTP_READ_BODY_TOO_LARGE
							    ? CW_REASON_ANSWER_TOO_LARGE
							    : CW_REASON_CUT);
			return;
		}
		if (!handle_message(connection, length > 0))
			return;
	}
}

/* Handles the end of the stream, which completes a response without a length unless it is a reset. */
static void handle_end_of_stream(target_connection_t *connection, bool reset)
{
	if (!reset && http_reader_end_of_stream(&connection->reader) == HTTP_READ_COMPLETE) {
		connection->reader.message->keep_alive = false;
		if (!handle_message(connection, false))
			return;
	}
	fail_connection(connection, CW_REASON_CUT);
}

/* Stops to read from a connection, so that the target waits. */
static void pause_connection(target_connection_t *connection)
{
	target_pool_t *pool = connection->pool;

	connection->paused = true;
	update_events(connection);
	counter_add(COUNTER_ANSWER_PAUSED, 1);
	if (!pool->pausing)
		log_info("answers-paused", LOG_UINT("waiting_bytes", memory_account_held()),
			 LOG_UINT("unfinished_bytes", target_pool_buffered_bytes(pool)), LOG_END);
	pool->pausing = true;
}

/* Reads on from a paused connection when its answer may be read again. */
void target_connection_resume(target_connection_t *connection)
{
	if (!connection->paused || !may_read(connection))
		return;
	connection->paused = false;
	update_events(connection);
}

/* Receives and parses bytes of the target; failed: the connection has ended, which the poller reports until it is read. */
static void read_connection(target_connection_t *connection, bool failed)
{
	char buffer[READ_BUFFER_BYTES];
	ssize_t length;

	if (!failed && !may_read(connection)) {
		if (!connection->paused)
			pause_connection(connection);
		return;
	}
	length = recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
	if (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (connection->state != CONNECTION_BUSY) {
		/* Idle: either the target closed the connection, or it sent bytes without a request. */
		if (length > 0)
			counter_add(COUNTER_ANSWER_UNASKED, 1);
		target_connection_close(connection);
	} else if (length > 0) {
		parse_bytes(connection, buffer, (size_t)length);
	} else {
		handle_end_of_stream(connection, connection->reset || length < 0);
	}
}

/* Handles the result of connecting: starts the job, or ends a probe. */
static void handle_connect_result(target_connection_t *connection)
{
	int error = 0;
	socklen_t length = sizeof(error);

	getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &length);
	if (error) {
		fail_connection(connection, CW_REASON_TARGET_UNREACHABLE);
		return;
	}
	target_pool_set_reachable(connection->pool, true);
	if (connection->job && !connection->job->is_identity_probe &&
	    clock_now_ms() >= connection->pool->start_until_ms) {
		target_connection_abort(connection, CW_REASON_DRAINING);
		return;
	}
	if (connection->job) {
		target_connection_begin(connection, connection->job);
		return;
	}
	connection->pool->probing = false;
	connection->pool->next_probe_ms = clock_now_ms() + PROBE_INTERVAL_MS;
	target_connection_close(connection);
}

/* Handles the events of a connection. */
static void on_connection_ready(void *data, uint32_t events)
{
	target_connection_t *connection = data;

	if (connection->fd < 0)
		return;
	if (connection->state == CONNECTION_CONNECTING) {
		if (events & (EPOLLOUT | EPOLLERR | EPOLLHUP))
			handle_connect_result(connection);
		return;
	}
	/* A pending error is left to recv(): send() would take it, and the stream would seem to end regularly. */
	if ((events & EPOLLOUT) && !(events & (EPOLLERR | EPOLLHUP)) && connection->state == CONNECTION_BUSY)
		send_request(connection);
	if (connection->fd >= 0 && (events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)))
		read_connection(connection, events & (EPOLLERR | EPOLLHUP));
}

/* Opens a connection for a job, or a probe (NULL) that checks whether the target accepts connections. */
void target_connection_open(target_pool_t *pool, target_job_t *job)
{
	const http_limits_t limits = {MAX_HEADER_BYTES, pool->max_answer_bytes};
	target_connection_t *connection = g_new0(target_connection_t, 1);
	int one = 1;

	connection->pool = pool;
	connection->number = ++pool->opened;
	connection->carried = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	connection->job = job;
	connection->watch = (poller_watch_t){on_connection_ready, connection};
	send_buffer_init(&connection->output, MEMORY_TO_TARGET);
	connection->link.data = connection;
	http_reader_init(&connection->reader, HTTP_RESPONSE, &limits);
	connection->fd = socket(pool->address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connection->fd < 0) {
		log_error("no-socket", LOG_STR("error", g_strerror(errno)), LOG_END);
		connection_free(connection);
		if (!job)
			return;
		job->result = CW_ADMIT_NOT_STARTED;
		job->reason = CW_REASON_TARGET_UNREACHABLE;
		g_queue_push_tail(&pool->finished, job);
		return;
	}
	g_queue_push_head_link(&pool->active, &connection->link);
	setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	poller_add(pool->poller, connection->fd, EPOLLOUT, &connection->watch);
	counter_add(COUNTER_TARGET_CONNECTION, 1);
	if (connect(connection->fd, (struct sockaddr *)&pool->address, pool->address_length) &&
	    errno != EINPROGRESS)
		fail_connection(connection, CW_REASON_TARGET_UNREACHABLE);
}

/* Ends the job of a connection without a response, for a reason, and closes the connection. */
void target_connection_abort(target_connection_t *connection, cw_reason_t reason)
{
	finish_job(connection, connection->output.sent ? CW_ADMIT_FAILED : CW_ADMIT_NOT_STARTED, reason);
	if (connection->state == CONNECTION_CONNECTING)
		connection->pool->probing = false;
	target_connection_close(connection);
}
