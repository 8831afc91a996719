/* A conversation with the control replicas: finds the leader and repeats requests safely. */
#include "session.h"

#include "clock.h"
#include "link.h"

enum {
	CONNECT_MS = 500,
	ANSWER_MS = 2000,
	PAUSE_MS = 100,
	CONNECT_PAUSE_MS = 10,
	POLL_MS = 50 /* a lost connection is opened again this often */
};

struct session {
	link_context_t *context;
	link_clients_t *clients;
	GPtrArray *addresses; /* char * */
	char *operator_name;
	uint32_t timeout_ms;
	uint64_t next_request;
};

/* Opens a session; nothing is sent yet. */
cw_status_t session_new(GPtrArray *addresses, const keys_t *keys, const char *operator_name,
			uint32_t timeout_ms, session_t **session)
{
	session_t *opened = g_new0(session_t, 1);
	cw_status_t status;

	opened->context = link_context_new();
	opened->addresses = g_ptr_array_ref(addresses);
	opened->operator_name = g_strdup(operator_name);
	opened->timeout_ms = timeout_ms;
	opened->next_request = clock_incarnation();
	status = link_context_enable_encryption(opened->context, keys, addresses);
	opened->clients = link_clients_new(opened->context);
	if (status == CW_OK)
		*session = opened;
	else
		session_free(opened);
	return status;
}

/* Closes a session; NULL is allowed. */
void session_free(session_t *session)
{
	if (!session)
		return;
	link_clients_free(session->clients);
	link_context_free(session->context);
	g_ptr_array_unref(session->addresses);
	g_free(session->operator_name);
	g_free(session);
}

/* Returns the name that commands are given under. */
const char *session_operator(const session_t *session)
{
	return session->operator_name;
}

/* Returns the addresses (char *) of the control replicas. */
const GPtrArray *session_addresses(const session_t *session)
{
	return session->addresses;
}

/* Sends a request as soon as a connection is open; CW_ERR_TIMEOUT when none does by the deadline. */
static cw_status_t send_request(session_t *session, const char *address, Caraway__OperatorRequest *request,
				int64_t deadline_ms)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;

	message.body_case = CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST;
	message.operator_request = request;
	while (link_clients_send(session->clients, address, &message) != CW_OK) {
		if (clock_now_ms() >= deadline_ms)
			return cw_fail(CW_ERR_TIMEOUT, "%s: no connection", address);
		g_usleep(CONNECT_PAUSE_MS * 1000);
	}
	return CW_OK;
}

/* Takes the answer to a request out of its message; NULL for any other message, which is freed. */
static Caraway__OperatorReply *take_reply(Caraway__Message *message, uint64_t request)
{
	Caraway__OperatorReply *reply = NULL;

	if (message->body_case == CARAWAY__MESSAGE__BODY_OPERATOR_REPLY &&
	    message->operator_reply->request == request) {
		reply = message->operator_reply;
		message->body_case = CARAWAY__MESSAGE__BODY__NOT_SET;
		message->operator_reply = NULL;
	}
	cw_message_free(message);
	return reply;
}

/* Waits until a socket is readable or the deadline passes. */
static void wait_readable(const session_t *session, int64_t deadline_ms)
{
	int64_t left_ms = deadline_ms - clock_now_ms();

	link_wait(NULL, session->clients, NULL, -1, CLAMP(left_ms, 0, POLL_MS));
}

/* Waits for the answer to a request; NULL when it has not come by the deadline. */
static Caraway__OperatorReply *receive_reply(session_t *session, uint64_t request, int64_t deadline_ms)
{
	const char *from;
	Caraway__Message *message;

	do {
		wait_readable(session, deadline_ms);
		while ((message = link_clients_receive(session->clients, &from))) {
			Caraway__OperatorReply *reply = take_reply(message, request);

			if (reply)
				return reply;
		}
	} while (clock_now_ms() < deadline_ms);
	return NULL;
}

/* Returns the status of an answer, with its message as the last one. */
static cw_status_t reply_status(const Caraway__OperatorReply *reply)
{
	if (reply->status == CW_OK)
		return CW_OK;
	if (reply->status < 0 || reply->status >= CW_STATUS_COUNT)
		return cw_fail(CW_ERR_DECODE, "the answer has status %d, which this program does not know",
			       reply->status);
	return cw_fail((cw_status_t)reply->status, "%s", reply->message);
}

/* Tries one process once; *sent tells whether the request may have reached it. */
static cw_status_t try_address(session_t *session, const char *address, Caraway__OperatorRequest *request,
			       int64_t deadline_ms, bool *sent, Caraway__OperatorReply **reply)
{
	int64_t now_ms = clock_now_ms();
	cw_status_t status = send_request(session, address, request, MIN(deadline_ms, now_ms + CONNECT_MS));

	if (status != CW_OK)
		return status;
	*sent = true;
	now_ms = clock_now_ms();
	*reply = receive_reply(session, request->request, MIN(deadline_ms, now_ms + ANSWER_MS));
	return *reply ? reply_status(*reply) : cw_fail(CW_ERR_TIMEOUT, "%s: no answer", address);
}

/* True when another replica, or the same one later, may give a better answer. */
static bool is_retryable(cw_status_t status)
{
	switch (status) {
	case CW_ERR_NOT_LEADER:
	case CW_ERR_NO_QUORUM:
	case CW_ERR_UNKNOWN_OUTCOME:
	case CW_ERR_TIMEOUT:
	case CW_ERR_FULL:
	case CW_ERR_IO: /* its data folder has failed; the other replicas' may be well */
		return true;
	default:
		return false;
	}
}

/* True for a request that changes state. */
static bool is_command(const Caraway__OperatorRequest *request)
{
	switch (request->body_case) {
	case CARAWAY__OPERATOR_REQUEST__BODY_BOOK:
	case CARAWAY__OPERATOR_REQUEST__BODY_REVIEW:
	case CARAWAY__OPERATOR_REQUEST__BODY_WITHDRAW:
	case CARAWAY__OPERATOR_REQUEST__BODY_SET_LABELS:
		return true;
	default:
		return false;
	}
}

/* Gives a request its number and its sender. */
static void prepare(session_t *session, Caraway__OperatorRequest *request)
{
	request->request = session->next_request++;
	request->operator_name = session->operator_name;
}

/* Returns where to try next: the leader that an answer names, or the next replica in turn. */
static char *next_address(session_t *session, const Caraway__OperatorReply *reply, const char *tried,
			  size_t *turn)
{
	if (reply && *reply->leader_address && g_strcmp0(reply->leader_address, tried) != 0)
		return g_strdup(reply->leader_address);
	*turn = (*turn + 1) % session->addresses->len;
	return g_strdup(g_ptr_array_index(session->addresses, *turn));
}

/*
 * Asks the replicas in turn until one gives a final answer or the session's
 * timeout has passed.  The same request is sent again with the same number;
 * commands are idempotent, so a repeated one gets the first answer.
 * CW_ERR_UNKNOWN_OUTCOME: a command was sent and no answer came.
 */
cw_status_t session_ask(session_t *session, Caraway__OperatorRequest *request, Caraway__OperatorReply **reply)
{
	int64_t deadline_ms = clock_now_ms() + session->timeout_ms;
	g_autofree char *address = g_strdup(g_ptr_array_index(session->addresses, 0));
	cw_status_t status;
	size_t turn = 0;
	bool sent = false;

	prepare(session, request);
	for (;;) {
		*reply = NULL;
		status = try_address(session, address, request, deadline_ms, &sent, reply);
		if (!is_retryable(status) || clock_now_ms() + PAUSE_MS >= deadline_ms)
			break;

		char *next = next_address(session, *reply, address, &turn);
		if (!*reply || !*(*reply)->leader_address)
			g_usleep(PAUSE_MS * 1000);
		g_free(address);
		address = next;
		cw_message_free(*reply);
	}
	if (is_command(request) && sent && (status == CW_ERR_TIMEOUT || status == CW_ERR_UNKNOWN_OUTCOME))
		return cw_fail(CW_ERR_UNKNOWN_OUTCOME, "no answer within %u ms", session->timeout_ms);
	return status;
}

/* Asks one process once, within the session's timeout. */
cw_status_t session_ask_at(session_t *session, const char *address, Caraway__OperatorRequest *request,
			   Caraway__OperatorReply **reply)
{
	bool sent;

	prepare(session, request);
	*reply = NULL;
	return try_address(session, address, request, clock_now_ms() + session->timeout_ms, &sent, reply);
}
