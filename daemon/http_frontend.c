/* HTTP frontend of a proxy: turns callers' requests into calls and outcomes of calls into responses. */
#include "http_frontend.h"

#include <string.h>

#include "call_counters.h"
#include "headers.h"
#include "log.h"

enum {
	/* Limits until a configuration sets others; that of the body is what the memory of a proxy allows. */
	MAX_HEADER_BYTES = 65536,
	MAX_BODY_BYTES = 4 << 20,
	HEADER_TIMEOUT_MS = 10000,
	IDLE_TIMEOUT_MS = 75000,
	MS_PER_S = 1000
};

struct http_frontend {
	const proxy_settings_t *settings;
	http_server_t *server;
	forward_t *forward;
	bool refusing; /* every request is refused: the process is about to exit */
};

/* A request whose call is in progress; attached to its exchange. */
typedef struct {
	http_exchange_t *exchange;
	forward_call_t *handle; /* of the call; NULL once it has completed */
} pending_request_t;

/* Parses a header as a number, 0 when it is absent; returns false when it is not a number. */
static bool parse_number_header(const http_message_t *message, const char *name, guint64 *value)
{
	const char *text = http_message_header(message, name);

	*value = 0;
	return !text || g_ascii_string_to_unsigned(text, 10, 0, G_MAXINT32, value, NULL);
}

/* Adds a header to a list. */
static void add_header(GPtrArray *headers, const char *name, const char *value)
{
	g_ptr_array_add(headers, headers_new(name, value));
}

/* Returns the headers for the target: the caller's end-to-end headers and the caller's service. */
static GPtrArray *build_target_headers(const http_frontend_t *http_frontend, const http_message_t *message)
{
	const header_names_t *names = &http_frontend->settings->headers;
	GPtrArray *headers = g_ptr_array_new();

	for (guint i = 0; i < message->headers->len; i++) {
		const Caraway__Header *header = g_ptr_array_index(message->headers, i);

		if (headers_is_sent_to_target(names, header->name))
			add_header(headers, header->name, header->value);
	}
	if (*names->caller_service)
		add_header(headers, names->caller_service, http_frontend->settings->service);
	return headers;
}

/* Builds the call for a request; returns false when a deadline, depth or attempt header is not a number. */
static bool build_call(const http_frontend_t *http_frontend, http_exchange_t *exchange,
		       Caraway__CallRequest *call, int64_t *timeout_ms)
{
	const http_message_t *message = http_exchange_request(exchange);
	GPtrArray *headers = build_target_headers(http_frontend, message);
	guint64 timeout, depth, attempt;

	call->method = g_strdup(message->method);
	call->path = g_strdup(message->request_target);
	call->n_headers = headers->len;
	call->headers = (Caraway__Header **)g_ptr_array_free(headers, FALSE);
	call->body.data = http_exchange_take_body(exchange, &call->body.len);
	if (!parse_number_header(message, http_frontend->settings->headers.deadline, &timeout) ||
	    !parse_number_header(message, HEADER_DEPTH, &depth) ||
	    !parse_number_header(message, HEADER_ATTEMPT, &attempt))
		return false;
	call->depth = (uint32_t)depth;
	call->attempt = (uint32_t)attempt;
	*timeout_ms = (int64_t)timeout;
	return true;
}

/* Responds to a call that no target answered: outcome and reason as headers and as plain text. */
static void respond_with_reason(http_exchange_t *exchange, const forward_outcome_t *outcome)
{
	bool not_run = outcome->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN;
	const char *outcome_name = not_run ? "not-run" : "unknown";
	const char *reason = cw_reason_name(outcome->reason);
	g_autofree char *text = g_strdup_printf("%s: %s\n", outcome_name, reason);
	g_autoptr(GPtrArray) headers = g_ptr_array_new_with_free_func(cw_message_free);
	http_response_t response = {
		.status = cw_reason_http_status(outcome->reason), .body = text, .body_length = strlen(text)};
	char seconds[G_ASCII_DTOSTR_BUF_SIZE];

	add_header(headers, HEADER_OUTCOME, outcome_name);
	add_header(headers, HEADER_REASON, reason);
	add_header(headers, "Content-Type", "text/plain");
	if (not_run && outcome->retry_after_ms)
		add_header(headers, "Retry-After",
			   g_ascii_formatd(seconds, sizeof(seconds), "%.3f",
					   (double)outcome->retry_after_ms / MS_PER_S));
	response.headers = (Caraway__Header *const *)headers->pdata;
	response.header_count = headers->len;
	http_exchange_respond(exchange, &response);
}

/* Responds with the target's response. */
static void respond_with_reply(http_exchange_t *exchange, const Caraway__CallReply *reply)
{
	const http_response_t response = {.status = reply->status,
					  .headers = reply->headers,
					  .header_count = reply->n_headers,
					  .body = reply->body.data,
					  .body_length = reply->body.len};

	http_exchange_respond(exchange, &response);
}

/* Responds with the outcome of a call. */
void http_frontend_respond(http_frontend_t *http_frontend, void *cookie, const forward_outcome_t *outcome)
{
	pending_request_t *request = cookie;

	(void)http_frontend;
	if (outcome->outcome == CARAWAY__CALL_OUTCOME__OUTCOME_ANSWERED)
		respond_with_reply(request->exchange, outcome->reply);
	else
		respond_with_reason(request->exchange, outcome);
	g_free(request);
}

/* Begins the call for a request. */
static void on_request(void *data, http_exchange_t *exchange)
{
	http_frontend_t *http_frontend = data;
	const http_message_t *message = http_exchange_request(exchange);
	Caraway__CallRequest *call = g_new(Caraway__CallRequest, 1);
	forward_outcome_t refusal = {.outcome = CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN,
				     .reason = CW_REASON_BAD_HEADER};
	int64_t timeout_ms;
	pending_request_t *request;

	caraway__call_request__init(call);
	if (http_frontend->refusing)
		refusal.reason = CW_REASON_DRAINING;
	if (http_frontend->refusing || !build_call(http_frontend, exchange, call, &timeout_ms)) {
		call_count_outcome(refusal.reason);
		cw_message_free(call);
		respond_with_reason(exchange, &refusal);
		return;
	}
	request = g_new0(pending_request_t, 1);
	request->exchange = exchange;
	http_exchange_set_data(exchange, request);
	forward_start_call(http_frontend->forward, call, http_message_header(message, "Host"), timeout_ms,
			   request, &request->handle);
}

/* Cancels the call of a caller that has disconnected. */
static void on_disconnect(void *data, http_exchange_t *exchange)
{
	http_frontend_t *http_frontend = data;
	pending_request_t *request = http_exchange_data(exchange);

	if (request->handle)
		forward_cancel_call(http_frontend->forward, request->handle);
	g_free(request);
}

/* Returns the limit of a request's body: that of the configuration, or what memory allows if that is less. */
static size_t max_body_bytes(const proxy_settings_t *settings, size_t configured)
{
	size_t memory = settings_body_memory(settings);

	return memory ? MIN(configured, memory) : configured;
}

/* Returns how many bytes of answers callers may leave unread: half of the account, and at least one whole answer. */
static size_t max_unread_bytes(const proxy_settings_t *settings)
{
	size_t answer = settings_answer_memory(settings);

	return answer ? MAX(settings_waiting_memory(settings) / 2, answer + MAX_HEADER_BYTES) : 0;
}

/* Listens for callers.  Returns CW_ERR_IO when that fails. */
cw_status_t http_frontend_new(poller_t *poller, const proxy_settings_t *settings, http_frontend_t **out)
{
	http_frontend_t *http_frontend = g_new0(http_frontend_t, 1);
	const http_handlers_t handlers = {
		.request = on_request, .disconnected = on_disconnect, .data = http_frontend};
	const http_server_limits_t limits = {.max_header_bytes = MAX_HEADER_BYTES,
					     .max_body_bytes = max_body_bytes(settings, MAX_BODY_BYTES),
					     .max_buffered_bytes = settings_body_memory(settings),
					     .header_timeout_ms = HEADER_TIMEOUT_MS,
					     .idle_timeout_ms = IDLE_TIMEOUT_MS,
					     .max_connections = settings->connections,
					     .max_unread_bytes = max_unread_bytes(settings),
					     .slow_reader_ms = settings->slow_reader_ms};
	cw_status_t status =
		http_server_new(poller, settings->listen, &limits, &handlers, &http_frontend->server);

	http_frontend->settings = settings;
	if (status == CW_OK)
		*out = http_frontend;
	else
		g_free(http_frontend);
	return status;
}

/* Sets the sending side that calls are passed to. */
void http_frontend_set_forward(http_frontend_t *http_frontend, forward_t *forward)
{
	http_frontend->forward = forward;
}

/* Closes the callers' port and every connection; calls in flight are cancelled. */
void http_frontend_free(http_frontend_t *http_frontend)
{
	http_server_free(http_frontend->server);
	g_free(http_frontend);
}

/* Returns the HTTP server that callers connect to. */
http_server_t *http_frontend_server(http_frontend_t *http_frontend)
{
	return http_frontend->server;
}

/* Refuses every request from now on. */
void http_frontend_refuse_requests(http_frontend_t *http_frontend)
{
	http_frontend->refusing = true;
}

/* Applies the limits for callers of a configuration. */
void http_frontend_set_limits(http_frontend_t *http_frontend, const Caraway__CallerLimits *limits)
{
	const proxy_settings_t *settings = http_frontend->settings;
	const http_server_limits_t server_limits = {.max_header_bytes = limits->max_header_bytes,
						    .max_body_bytes =
							    max_body_bytes(settings, limits->max_body_bytes),
						    .max_buffered_bytes = settings_body_memory(settings),
						    .header_timeout_ms = limits->header_timeout_ms,
						    .idle_timeout_ms = limits->idle_timeout_ms,
						    .max_connections = settings->connections,
						    .max_unread_bytes = max_unread_bytes(settings),
						    .slow_reader_ms = settings->slow_reader_ms};

	http_server_set_limits(http_frontend->server, &server_limits);
}
