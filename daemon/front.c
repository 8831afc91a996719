/*
 * The HTTP side of a proxy, on libmicrohttpd with its epoll descriptor in the
 * traffic thread's loop.  A connection is suspended while its call is in
 * flight; a second epoll descriptor watches for callers that go meanwhile.
 */
#include "front.h"

#include <arpa/inet.h>
#include <errno.h>
#include <linux/filter.h>
#include <microhttpd.h>
#include <netdb.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "call_counters.h"
#include "headers.h"
#include "log.h"

enum {
	MAX_BODY_BYTES = 4 << 20,
	CONNECTION_MEMORY_BYTES = 64 << 10,
	IDLE_TIMEOUT_S = 75,
	BACKLOG = 512,
	GONE_EVENTS = 64,
	ADDRESS_BYTES = 64
};

struct front {
	struct MHD_Daemon *daemon;
	int listen_fd;
	int epoll_fd; /* of the library */
	int gone_fd;  /* of this module */
	char *address;
	forward_t *forward;
	GHashTable *suspended; /* set of request_t */
	uint32_t in_flight;
	bool draining;
};

/* One request of a caller. */
typedef struct {
	front_t *front;
	struct MHD_Connection *connection;
	int fd;
	bool begun;	/* its headers were read */
	bool suspended; /* its call is in flight */
	char *uri;	/* as the caller wrote it */
	Caraway__CallRequest *call;
	GByteArray *body;
	int64_t asked_ms;
	cw_reason_t refusal;
	forward_call_t *handle;
	struct MHD_Response *answer;
	unsigned status;
} request_t;

/* Starts a request with its address as written; called by the library before the headers are read. */
static void *on_uri(void *data, const char *uri, struct MHD_Connection *connection)
{
	request_t *request = g_new0(request_t, 1);

	request->front = data;
	request->connection = connection;
	request->uri = g_strdup(uri);
	request->body = g_byte_array_new();
	request->front->in_flight++;
	return request;
}

/* Stops watching whether the caller goes. */
static void unwatch(request_t *request)
{
	if (!request->suspended)
		return;
	epoll_ctl(request->front->gone_fd, EPOLL_CTL_DEL, request->fd, NULL);
	g_hash_table_remove(request->front->suspended, request);
	request->suspended = false;
}

/* Frees a request when the library is done with it; a call still in flight is cancelled. */
static void on_completed(void *data, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	request_t *request = *state;

	(void)data;
	(void)connection;
	(void)code;
	if (!request)
		return;
	*state = NULL;
	if (request->handle)
		forward_cancel(request->front->forward, request->handle);
	request->front->in_flight--;
	if (request->answer)
		MHD_destroy_response(request->answer);
	cw_message_free(request->call);
	g_byte_array_free(request->body, TRUE);
	g_free(request->uri);
	g_free(request);
}

/* Reads a number out of a header; absent gives 0, anything else is refused. */
static bool read_number(request_t *request, const char *name, guint64 *value)
{
	const char *text = MHD_lookup_connection_value(request->connection, MHD_HEADER_KIND, name);

	*value = 0;
	if (!text || g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT32, value, NULL))
		return true;
	request->refusal = CW_REASON_BAD_HEADER;
	return false;
}

/* Copies one header of the caller into the call. */
static enum MHD_Result on_header(void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
	GPtrArray *headers = data;

	(void)kind;
	if (headers_passes_on(name))
		g_ptr_array_add(headers, headers_new(name, value ? value : ""));
	return MHD_YES;
}

/* Builds the call out of the request line and headers. */
static void begin(request_t *request, const char *method)
{
	Caraway__CallRequest *call = g_new(Caraway__CallRequest, 1);
	GPtrArray *headers = g_ptr_array_new();
	guint64 asked_ms = 0, depth = 0, attempt = 0;

	caraway__call_request__init(call);
	call->method = g_strdup(method);
	call->path = g_strdup(request->uri);
	MHD_get_connection_values(request->connection, MHD_HEADER_KIND, on_header, headers);
	call->n_headers = headers->len;
	call->headers = (Caraway__Header **)g_ptr_array_free(headers, FALSE);
	if (read_number(request, HEADER_DEADLINE, &asked_ms) && read_number(request, HEADER_DEPTH, &depth))
		read_number(request, HEADER_ATTEMPT, &attempt);
	call->depth = (uint32_t)depth;
	call->attempt = (uint32_t)attempt;
	request->asked_ms = (int64_t)asked_ms;
	request->call = call;
	request->begun = true;
}

/* Takes in a part of the body; a body that is too long is read on and refused at its end. */
static void take_body(request_t *request, const char *data, size_t length)
{
	if (request->body->len + length > MAX_BODY_BYTES) {
		request->refusal = CW_REASON_TOO_LARGE;
		g_byte_array_set_size(request->body, 0);
		return;
	}
	if (request->refusal == CW_REASON_NONE)
		g_byte_array_append(request->body, (const guint8 *)data, (guint)length);
}

/* Makes the answer of the system: outcome and reason in headers, and the same in words. */
static void answer_reason(request_t *request, Caraway__CallOutcome outcome, cw_reason_t reason)
{
	const char *word = outcome == CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN ? "not-run" : "unknown";
	char *text = g_strdup_printf("%s: %s\n", word, cw_reason_word(reason));

	request->status = cw_reason_http_status(reason);
	request->answer = MHD_create_response_from_buffer(strlen(text), text, MHD_RESPMEM_MUST_COPY);
	g_free(text);
	MHD_add_response_header(request->answer, HEADER_OUTCOME, word);
	MHD_add_response_header(request->answer, HEADER_REASON, cw_reason_word(reason));
	MHD_add_response_header(request->answer, MHD_HTTP_HEADER_CONTENT_TYPE, "text/plain");
}

/* Makes the answer that the target gave. */
static void answer_whole(request_t *request, const Caraway__CallReply *reply)
{
	request->status = reply->status;
	request->answer =
		MHD_create_response_from_buffer(reply->body.len, reply->body.data, MHD_RESPMEM_MUST_COPY);
	for (size_t i = 0; i < reply->n_headers; i++)
		MHD_add_response_header(request->answer, reply->headers[i]->name, reply->headers[i]->value);
}

/* Sends the answer of a request. */
static enum MHD_Result send_answer(request_t *request)
{
	if (request->front->draining)
		MHD_add_response_header(request->answer, MHD_HTTP_HEADER_CONNECTION, "close");
	return MHD_queue_response(request->connection, request->status, request->answer);
}

/* Suspends the connection and starts its call. */
static void start_call(request_t *request)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct epoll_event event = {.events = EPOLLRDHUP, .data.ptr = request};
	Caraway__CallRequest *call = g_steal_pointer(&request->call);

	call->body.len = request->body->len;
	call->body.data = g_byte_array_free(request->body, FALSE);
	request->body = g_byte_array_new();
	MHD_suspend_connection(request->connection);
	request->suspended = true;
	g_hash_table_add(request->front->suspended, request);
	request->fd = info->connect_fd;
	epoll_ctl(request->front->gone_fd, EPOLL_CTL_ADD, request->fd, &event);
	forward_begin(request->front->forward, call, request->asked_ms, request, &request->handle);
}

/* Takes a request in: its headers, parts of its body, its end, and again once its answer is there. */
static enum MHD_Result on_request(void *data, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *upload, size_t *length,
				  void **state)
{
	request_t *request = *state;

	(void)data;
	(void)connection;
	(void)url;
	(void)version;
	if (!request->begun) {
		begin(request, method);
		return MHD_YES;
	}
	if (*length) {
		take_body(request, upload, *length);
		*length = 0;
		return MHD_YES;
	}
	if (request->answer)
		return send_answer(request);
	if (request->refusal == CW_REASON_NONE) {
		start_call(request);
		return MHD_YES;
	}
	call_count_outcome(request->refusal);
	answer_reason(request, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN, request->refusal);
	return send_answer(request);
}

/* Takes the outcome of a call and lets the library send it. */
void front_done(front_t *front, void *cookie, const forward_outcome_t *outcome)
{
	request_t *request = cookie;

	(void)front;
	if (outcome->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED)
		answer_whole(request, outcome->reply);
	else
		answer_reason(request, outcome->outcome, outcome->reason);
	unwatch(request);
	MHD_resume_connection(request->connection);
}

/* Opens a listening socket on HOST:PORT; -1 when that fails. */
static int open_listener(const char *address)
{
	const char *colon = strrchr(address, ':');
	g_autofree char *host = colon ? g_strndup(address, (gsize)(colon - address)) : NULL;
	struct addrinfo hints = {.ai_flags = AI_PASSIVE | AI_NUMERICHOST | AI_NUMERICSERV,
				 .ai_socktype = SOCK_STREAM};
	struct addrinfo *found = NULL;
	int one = 1;
	int fd;

	if (!colon || getaddrinfo(host, colon + 1, &hints, &found))
		return -1;
	fd = socket(found->ai_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd >= 0) {
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		if (bind(fd, found->ai_addr, found->ai_addrlen) || listen(fd, BACKLOG)) {
			close(fd);
			fd = -1;
		}
	}
	freeaddrinfo(found);
	return fd;
}

/* Returns HOST:PORT of a bound socket. */
static char *bound_address(int fd)
{
	struct sockaddr_storage address;
	socklen_t length = sizeof(address);
	char host[ADDRESS_BYTES], port[ADDRESS_BYTES];

	getsockname(fd, (struct sockaddr *)&address, &length);
	getnameinfo((struct sockaddr *)&address, length, host, sizeof(host), port, sizeof(port),
		    NI_NUMERICHOST | NI_NUMERICSERV);
	return g_strdup_printf("%s:%s", host, port);
}

/* Starts the library on the listening socket, without threads of its own. */
static struct MHD_Daemon *start_library(front_t *front, uint32_t connections)
{
	return MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0, NULL, NULL,
				on_request, front, MHD_OPTION_LISTEN_SOCKET, front->listen_fd,
				MHD_OPTION_CONNECTION_LIMIT, connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
				(size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
				(unsigned)IDLE_TIMEOUT_S, MHD_OPTION_URI_LOG_CALLBACK, on_uri, front,
				MHD_OPTION_NOTIFY_COMPLETED, on_completed, front, MHD_OPTION_END);
}

/* Binds the callers' port.  CW_ERR_IO when that fails. */
cw_status_t front_new(const proxy_settings_t *settings, front_t **out)
{
	front_t *front = g_new0(front_t, 1);
	const union MHD_DaemonInfo *info;

	front->listen_fd = open_listener(settings->listen);
	if (front->listen_fd >= 0)
		front->daemon = start_library(front, settings->connections);
	if (!front->daemon) {
		if (front->listen_fd >= 0)
			close(front->listen_fd);
		g_free(front);
		return cw_fail(CW_ERR_IO, "%s: cannot listen for callers", settings->listen);
	}
	front->address = bound_address(front->listen_fd);
	info = MHD_get_daemon_info(front->daemon, MHD_DAEMON_INFO_EPOLL_FD);
	front->epoll_fd = info->epoll_fd;
	front->gone_fd = epoll_create1(EPOLL_CLOEXEC);
	front->suspended = g_hash_table_new(NULL, NULL);
	*out = front;
	return CW_OK;
}

/* Names the sending side that takes the calls. */
void front_set_forward(front_t *front, forward_t *forward)
{
	front->forward = forward;
}

/* Cancels a call and lets the library have its connection back. */
static void abandon(request_t *request)
{
	if (request->handle)
		forward_cancel(request->front->forward, request->handle);
	answer_reason(request, CARAWAY__CALL_OUTCOME__OUTCOME_UNKNOWN, CW_REASON_CUT);
	unwatch(request);
	MHD_resume_connection(request->connection);
}

/* Cancels the calls of callers that have gone; the library then finds the closed connection itself. */
void front_run_gone(front_t *front)
{
	struct epoll_event events[GONE_EVENTS];
	int count = epoll_wait(front->gone_fd, events, GONE_EVENTS, 0);

	for (int i = 0; i < count; i++)
		abandon(events[i].data.ptr);
}

/* Closes the callers' port and every connection; calls in flight are cancelled. */
void front_free(front_t *front)
{
	GHashTableIter iter;
	gpointer request;

	MHD_quiesce_daemon(front->daemon);
	close(front->listen_fd);
	for (g_hash_table_iter_init(&iter, front->suspended); g_hash_table_iter_next(&iter, &request, NULL);
	     g_hash_table_iter_init(&iter, front->suspended))
		abandon(request);
	MHD_stop_daemon(front->daemon);
	g_hash_table_destroy(front->suspended);
	close(front->gone_fd);
	g_free(front->address);
	g_free(front);
}

/* Returns HOST:PORT as bound. */
const char *front_address(const front_t *front)
{
	return front->address;
}

/* Returns the library's epoll descriptor. */
int front_fd(const front_t *front)
{
	return front->epoll_fd;
}

/* Returns the descriptor that tells of callers that have gone. */
int front_gone_fd(const front_t *front)
{
	return front->gone_fd;
}

/* Lets the library read and write. */
void front_run(front_t *front)
{
	MHD_run(front->daemon);
}

/* Returns how long the library may be left alone, in milliseconds, or -1. */
int64_t front_timeout_ms(front_t *front)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	return MHD_get_timeout(front->daemon, &timeout_ms) == MHD_YES ? (int64_t)timeout_ms : -1;
}

/* Asks callers to close their connections from now on. */
void front_drain(front_t *front)
{
	front->draining = true;
}

/*
 * Lets no new connection begin: a filter on the listening socket drops segments
 * that open one (SYN without ACK).  Closing the socket at once would instead
 * reset connections that are made but not yet accepted, with their requests.
 * A caller whose first segment was dropped repeats it after a second and is
 * then refused, before it has sent a request.
 */
void front_close_port(front_t *front)
{
	enum { TCP_FLAGS_OFFSET = 13, TCP_SYN = 0x02, TCP_ACK = 0x10, WHOLE = 0x40000 };
	struct sock_filter drop_syn[] = {
		BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
		BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TCP_SYN | TCP_ACK),
		BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TCP_SYN, 0, 1),
		BPF_STMT(BPF_RET | BPF_K, 0),
		BPF_STMT(BPF_RET | BPF_K, WHOLE),
	};
	struct sock_fprog program = {.len = G_N_ELEMENTS(drop_syn), .filter = drop_syn};

	if (setsockopt(front->listen_fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)))
		log_warning("port filter", LOG_STR("error", g_strerror(errno)), LOG_END);
}

/* Returns how many requests have begun to arrive and are not answered. */
uint32_t front_in_flight(const front_t *front)
{
	return front->in_flight;
}

/* Returns how many callers are connected. */
uint32_t front_connections(const front_t *front)
{
	return MHD_get_daemon_info(front->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
}
