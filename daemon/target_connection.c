/*
 * A connection that carries one call at a time to the target.
 *
 * A request is written to one connection, once, and never again by itself.  A
 * job without a byte sent is proved not run; one of which a byte was sent may
 * have run unless the target's answer says that it did not.
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
	MAX_ANSWER_BYTES = 64 << 20,
	MAX_HEADER_BYTES = 65536,
	READ_BYTES = 16384,
	MAX_IDLE_MS =
		4000, /* a kept connection is used again within this time, unless the target says less */
	KEEP_ALIVE_PART = 2, /* this part of the time that the target keeps an idle connection is used */
	MAX_CROSSED = 2,     /* answers to other requests skipped on a connection before it is given up */
	MS_PER_S = 1000,
	STATUS_INFORMATIONAL_END = 200,
	STATUS_MISDIRECTED = 421,
	STATUS_SERVER_ERROR = 500
};

/* Frees a closed connection. */
static void connection_free(void *data)
{
	target_connection_t *connection = data;

	http_reader_clear(&connection->reader);
	outbox_clear(&connection->out);
	g_free(connection);
}

/* Returns the list that a connection is in. */
static GQueue *list_of(target_connection_t *connection)
{
	return connection->state == CONNECTION_IDLE ? &connection->pool->idle : &connection->pool->active;
}

/* Closes a connection without a job. */
void target_connection_close(target_connection_t *connection)
{
	poller_remove(connection->pool->poller, connection->fd);
	close(connection->fd);
	connection->fd = -1;
	g_queue_unlink(list_of(connection), &connection->link);
	poller_free_later(connection->pool->poller, connection_free, connection);
}

/* Hands a job back to the owner of the pool. */
static void finish_job(target_connection_t *connection, cw_admit_result_t end, cw_reason_t reason)
{
	target_job_t *job = g_steal_pointer(&connection->job);

	job->arrived = connection->out.sent > 0;
	job->end = end;
	job->reason = reason;
	g_queue_push_tail(&connection->pool->done, job);
}

/*
 * Ends the job of a connection without an answer and closes the connection.  A
 * kept connection that took no byte had been closed by the target: its job goes
 * on a new one.
 */
static void fail(target_connection_t *connection, cw_reason_t reason)
{
	target_pool_t *pool = connection->pool;
	target_job_t *again = NULL;

	if (connection->state == CONNECTION_OPENING) {
		pool->probing = false;
		target_pool_set_reachable(pool, false);
	}
	if (connection->job && connection->out.sent)
		finish_job(connection, CW_ADMIT_FAILED, reason);
	else if (connection->job && connection->answered_once)
		again = g_steal_pointer(&connection->job);
	else if (connection->job)
		finish_job(connection, CW_ADMIT_NOT_STARTED, CW_REASON_TARGET_UNREACHABLE);
	target_connection_close(connection);
	if (again)
		target_connection_open(pool, again);
}

/* Moves a connection to another state and list. */
static void set_state(target_connection_t *connection, target_connection_state_t state)
{
	g_queue_unlink(list_of(connection), &connection->link);
	connection->state = state;
	g_queue_push_head_link(list_of(connection), &connection->link);
}

/* Appends a line of formatted text to what is sent. */
static void append_line(outbox_t *out, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void append_line(outbox_t *out, const char *format, ...)
{
	va_list arguments;
	char *text;

	va_start(arguments, format);
	text = g_strdup_vprintf(format, arguments);
	va_end(arguments);
	outbox_append_text(out, text);
	outbox_append_text(out, "\r\n");
	g_free(text);
}

/* Returns whether a request has a body, or a method that is usually sent with one. */
static bool has_body(const Caraway__CallRequest *call)
{
	return call->body.len || !strcmp(call->method, "POST") || !strcmp(call->method, "PUT") ||
	       !strcmp(call->method, "PATCH");
}

/* Writes a call's request: the caller's headers, and those that the system sets. */
static void write_request(target_connection_t *connection)
{
	const target_pool_t *pool = connection->pool;
	const target_job_t *job = connection->job;
	const Caraway__CallRequest *call = job->message->call_request;
	outbox_t *out = &connection->out;

	outbox_reset(out);
	append_line(out, "%s %s HTTP/1.1", call->method, call->path);
	for (size_t i = 0; i < call->n_headers; i++)
		append_line(out, "%s: %s", call->headers[i]->name, call->headers[i]->value);
	append_line(out, "%s: %" PRId64, pool->names->deadline, MAX(job->deadline_ms - clock_now_ms(), 1));
	append_line(out, HEADER_DEPTH ": %u", call->depth + 1);
	if (call->attempt)
		append_line(out, HEADER_ATTEMPT ": %u", call->attempt);
	if (pool->target_id && *pool->names->expected_target)
		append_line(out, "%s: %s", pool->names->expected_target, pool->target_id);
	if (has_body(call))
		append_line(out, "Content-Length: %zu", call->body.len);
	append_line(out, "%s", "");
	outbox_append(out, call->body.data, call->body.len);
}

/* Watches a connection for what it waits for. */
static void update_events(target_connection_t *connection)
{
	uint32_t events = EPOLLIN | EPOLLRDHUP;

	if (connection->state == CONNECTION_OPENING || outbox_waiting(&connection->out))
		events |= EPOLLOUT;
	poller_change(connection->pool->poller, connection->fd, events, &connection->watch);
}

/* Sends what is left of the request; a failure before the first byte ends the job. */
static void send_request(target_connection_t *connection)
{
	if (outbox_flush(&connection->out, connection->fd) != OUTBOX_FAILED)
		update_events(connection);
	else if (!connection->out.sent)
		fail(connection, CW_REASON_CUT);
	/* Else the target may have answered before it closed: the reader decides. */
}

/* Gives an open connection its job. */
void target_connection_begin(target_connection_t *connection, target_job_t *job)
{
	connection->job = job;
	connection->crossed = 0;
	connection->reader.without_body = !strcmp(job->message->call_request->method, "HEAD");
	set_state(connection, CONNECTION_BUSY);
	write_request(connection);
	send_request(connection);
}

/* Keeps a connection whose job is done, or closes it. */
static void keep_or_close(target_connection_t *connection, bool keep, int64_t keep_ms)
{
	if (!keep) {
		target_connection_close(connection);
		return;
	}
	connection->answered_once = true;
	connection->idle_since_ms = clock_now_ms();
	connection->idle_until_ms = connection->idle_since_ms + keep_ms;
	outbox_reset(&connection->out);
	set_state(connection, CONNECTION_IDLE);
}

/* Returns for how long a connection may be used again after an answer, in milliseconds. */
static int64_t keep_ms(const http_message_t *answer)
{
	const char *text = http_message_header(answer, "Keep-Alive");
	const char *timeout = text ? strstr(text, "timeout=") : NULL;
	int64_t told_ms;

	if (!timeout)
		return MAX_IDLE_MS;
	told_ms = (int64_t)g_ascii_strtoull(timeout + strlen("timeout="), NULL, 10) * MS_PER_S;
	return MIN(MAX_IDLE_MS, told_ms / KEEP_ALIVE_PART);
}

/* Returns whether an answer belongs to another request than the one that waits. */
static bool is_crossed(const target_connection_t *connection, const http_message_t *answer)
{
	const char *name = connection->pool->names->request_id;
	const Caraway__CallRequest *call = connection->job->message->call_request;
	const char *told = http_message_header(answer, name);

	if (!told)
		return false;
	for (size_t i = 0; i < call->n_headers; i++)
		if (!g_ascii_strcasecmp(call->headers[i]->name, name))
			return strcmp(call->headers[i]->value, told) != 0;
	return false;
}

/* Returns the reason for an answer that says that the call did not run. */
static cw_reason_t not_run_reason(const http_message_t *answer)
{
	return answer->status == STATUS_MISDIRECTED ? CW_REASON_INCARNATION : CW_REASON_TARGET_FULL;
}

/* Takes the answer to the request that waits. */
static void take_answer(target_connection_t *connection, http_message_t *answer, bool spare_bytes)
{
	const header_names_t *names = connection->pool->names;
	target_job_t *job = connection->job;
	bool whole_request = !outbox_waiting(&connection->out);
	bool keep = answer->keep_alive && whole_request && !spare_bytes && !connection->crossed;
	int64_t time_ms = keep_ms(answer);

	job->target_leaving = http_message_header(answer, HEADER_DRAINING) != NULL;
	job->answer = answer;
	if (*names->not_executed && http_message_header(answer, names->not_executed))
		finish_job(connection, CW_ADMIT_DECLINED, not_run_reason(answer));
	else
		finish_job(connection,
			   answer->status >= STATUS_SERVER_ERROR ? CW_ADMIT_ERROR : CW_ADMIT_ANSWERED,
			   CW_REASON_NONE);
	keep_or_close(connection, keep, time_ms);
}

/* Takes a whole message of the target; false when the connection ends with it. */
static bool take_message(target_connection_t *connection, bool spare_bytes)
{
	http_message_t *answer = http_reader_take(&connection->reader);

	if (answer->status < STATUS_INFORMATIONAL_END) {
		http_message_free(answer);
		return true;
	}
	if (is_crossed(connection, answer)) {
		counter_add(COUNTER_ANSWER_CROSSED, 1);
		log_warning("answer-crossed",
			    LOG_STR("told", http_message_header(answer, connection->pool->names->request_id)),
			    LOG_END);
		http_message_free(answer);
		if (++connection->crossed <= MAX_CROSSED)
			return true;
		fail(connection, CW_REASON_CUT);
		return false;
	}
	take_answer(connection, answer, spare_bytes);
	return false;
}

/* Takes bytes of the target. */
static void take_bytes(target_connection_t *connection, const char *data, size_t length)
{
	while (length) {
		size_t used;
		http_read_t result = http_reader_feed(&connection->reader, data, length, &used);

		data += used;
		length -= used;
		if (result == HTTP_READ_MORE)
			return;
		if (result != HTTP_READ_WHOLE) {
			counter_add(COUNTER_ANSWER_UNREADABLE, 1);
			fail(connection,
			     result == HTTP_READ_BODY_TOO_LARGE ? CW_REASON_ANSWER_TOO_LARGE : CW_REASON_CUT);
			return;
		}
		if (!take_message(connection, length > 0))
			return;
	}
}

/* Takes the end of the target's stream: an answer without a length is whole by it, unless it was reset. */
static void take_end(target_connection_t *connection, bool reset)
{
	if (!reset && http_reader_end(&connection->reader) == HTTP_READ_WHOLE) {
		connection->reader.message->keep_alive = false;
		if (!take_message(connection, false))
			return;
	}
	fail(connection, CW_REASON_CUT);
}

/* Reads what has come from the target. */
static void read_connection(target_connection_t *connection)
{
	char buffer[READ_BYTES];
	ssize_t length = recv(connection->fd, buffer, sizeof(buffer), MSG_DONTWAIT);

	if (length < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
		return;
	if (connection->state != CONNECTION_BUSY) {
		/* An idle connection: its end, or bytes that belong to no request. */
		if (length > 0)
			counter_add(COUNTER_ANSWER_UNASKED, 1);
		target_connection_close(connection);
	} else if (length > 0) {
		take_bytes(connection, buffer, (size_t)length);
	} else {
		take_end(connection, length < 0);
	}
}

/* Takes the outcome of opening a connection. */
static void take_opened(target_connection_t *connection)
{
	int error = 0;
	socklen_t length = sizeof(error);

	getsockopt(connection->fd, SOL_SOCKET, SO_ERROR, &error, &length);
	if (error) {
		fail(connection, CW_REASON_TARGET_UNREACHABLE);
		return;
	}
	target_pool_set_reachable(connection->pool, true);
	if (connection->job) {
		target_connection_begin(connection, connection->job);
		return;
	}
	connection->pool->probing = false;
	connection->pool->probe_ms = clock_now_ms() + PROBE_MS;
	target_connection_close(connection);
}

/* Serves a connection that is ready. */
static void connection_ready(void *data, uint32_t events)
{
	target_connection_t *connection = data;

	if (connection->fd < 0)
		return;
	if (connection->state == CONNECTION_OPENING) {
		if (events & (EPOLLOUT | EPOLLERR | EPOLLHUP))
			take_opened(connection);
		return;
	}
	if ((events & EPOLLOUT) && connection->state == CONNECTION_BUSY)
		send_request(connection);
	if (connection->fd >= 0 && (events & (EPOLLIN | EPOLLRDHUP | EPOLLERR | EPOLLHUP)))
		read_connection(connection);
}

/* Opens a connection for a job, or for none to see whether the target is there. */
void target_connection_open(target_pool_t *pool, target_job_t *job)
{
	static const http_limits_t limits = {MAX_HEADER_BYTES, MAX_ANSWER_BYTES};
	target_connection_t *connection = g_new0(target_connection_t, 1);
	int one = 1;

	connection->pool = pool;
	connection->job = job;
	connection->watch = (poller_watch_t){connection_ready, connection};
	outbox_init(&connection->out);
	connection->link.data = connection;
	http_reader_init(&connection->reader, HTTP_RESPONSE, &limits);
	connection->fd = socket(pool->address.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connection->fd < 0) {
		log_error("no-socket", LOG_STR("error", g_strerror(errno)), LOG_END);
		connection_free(connection);
		if (!job)
			return;
		job->end = CW_ADMIT_NOT_STARTED;
		job->reason = CW_REASON_TARGET_UNREACHABLE;
		g_queue_push_tail(&pool->done, job);
		return;
	}
	g_queue_push_head_link(&pool->active, &connection->link);
	setsockopt(connection->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	poller_add(pool->poller, connection->fd, EPOLLOUT, &connection->watch);
	counter_add(COUNTER_TARGET_CONNECTION, 1);
	if (connect(connection->fd, (struct sockaddr *)&pool->address, pool->address_length) &&
	    errno != EINPROGRESS)
		fail(connection, CW_REASON_TARGET_UNREACHABLE);
}

/* Ends a job by closing its connection. */
void target_connection_abort(target_connection_t *connection, cw_reason_t reason)
{
	finish_job(connection, connection->out.sent ? CW_ADMIT_FAILED : CW_ADMIT_NOT_STARTED, reason);
	if (connection->state == CONNECTION_OPENING)
		connection->pool->probing = false;
	target_connection_close(connection);
}
