/* Client of the control replicas: finds the leader and retries requests, which are idempotent. */
#include "session.h"

#include "clock.h"
#include "link.h"

enum {
	CONNECT_TIMEOUT_MS = 500, /* of one attempt at one address */
	REPLY_TIMEOUT_MS = 2000,  /* of one attempt at one address */
	RETRY_DELAY_MS = 100,	  /* unless the reply names a leader */
	CONNECT_POLL_MS = 10,
	MAX_WAIT_MS = 50 /* of one link_wait(): lost connections are reopened between them */
};

struct session {
	link_context_t *context;
	link_clients_t *clients;
	GPtrArray *addresses; /* char * */
	char *operator_name;
	uint32_t timeout_ms;	  /* of a request with its retries */
	uint64_t next_request_id; /* starts at clock_incarnation(): sessions do not reuse ids */
};

/* Creates a session without sending anything. */
cw_status_t session_new(GPtrArray *addresses, const keys_t *keys, const char *operator_name,
			uint32_t timeout_ms, session_t **session)
{
	session_t *opened = g_new0(session_t, 1);
	cw_status_t status;

	opened->context = link_context_new();
	opened->addresses = g_ptr_array_ref(addresses);
	opened->operator_name = g_strdup(operator_name);
	opened->timeout_ms = timeout_ms;
	opened->next_request_id = clock_incarnation();
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

/* Returns the operator name that is sent with commands. */
const char *session_operator_name(const session_t *session)
{
	return session->operator_name;
}

/* Returns the addresses (char *) of the control replicas. */
const GPtrArray *session_addresses(const session_t *session)
{
	return session->addresses;
}

/* Sends a request once the connection is open.  CW_ERR_TIMEOUT when it is not open by the deadline. */
static cw_status_t send_request(session_t *session, const char *address, Caraway__OperatorRequest *request,
				int64_t deadline_ms)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;

	message.body_case = CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST;
	message.operator_request = request;
	while (link_clients_send(session->clients, address, &message) != CW_OK) {
		if (clock_now_ms() >= deadline_ms)
			return cw_fail(CW_ERR_TIMEOUT, "%s: no connection", address);
		g_usleep(CONNECT_POLL_MS * 1000);
	}
	return CW_OK;
}

/* Frees a message and returns the reply in it, or NULL when it is not the reply to the request. */
static Caraway__OperatorReply *extract_reply(Caraway__Message *message, uint64_t request_id)
{
	Caraway__OperatorReply *reply = NULL;

	if (message->body_case == CARAWAY__MESSAGE__BODY_OPERATOR_REPLY &&
	    message->operator_reply->request == request_id) {
		reply = message->operator_reply;
		message->body_case = CARAWAY__MESSAGE__BODY__NOT_SET;
		message->operator_reply = NULL;
	}
	cw_message_free(message);
	return reply;
}

/* Waits until a socket is readable or the deadline passes, at most MAX_WAIT_MS. */
static void wait_readable(const session_t *session, int64_t deadline_ms)
{
	int64_t remaining_ms = deadline_ms - clock_now_ms();

	link_wait(NULL, session->clients, NULL, -1, CLAMP(remaining_ms, 0, MAX_WAIT_MS));
}

/* Waits for the reply to a request; NULL when none arrives by the deadline. */
static Caraway__OperatorReply *receive_reply(session_t *session, uint64_t request_id, int64_t deadline_ms)
{
	const char *from;
	Caraway__Message *message;

	do {
		wait_readable(session, deadline_ms);
		while ((message = link_clients_receive(session->clients, &from))) {
			Caraway__OperatorReply *reply = extract_reply(message, request_id);

			if (reply)
				return reply;
		}
	} while (clock_now_ms() < deadline_ms);
	return NULL;
}

/* Returns the status of a reply and records its error message for cw_last_error_message(). */
static cw_status_t reply_status(const Caraway__OperatorReply *reply)
{
	if (reply->status == CW_OK)
		return CW_OK;
	if (reply->status < 0 || reply->status >= CW_STATUS_COUNT)
		return cw_fail(CW_ERR_DECODE, "the reply has the unknown status %d", reply->status);
	return cw_fail((cw_status_t)reply->status, "%s", reply->message);
}

/* Makes one attempt at one address; sets *sent when the request may have been received. */
static cw_status_t try_address(session_t *session, const char *address, Caraway__OperatorRequest *request,
			       int64_t deadline_ms, bool *sent, Caraway__OperatorReply **reply)
{
	int64_t now_ms = clock_now_ms();
	cw_status_t status =
		send_request(session, address, request, MIN(deadline_ms, now_ms + CONNECT_TIMEOUT_MS));

	if (status != CW_OK)
		return status;
	*sent = true;
	now_ms = clock_now_ms();
	*reply = receive_reply(session, request->request, MIN(deadline_ms, now_ms + REPLY_TIMEOUT_MS));
	return *reply ? reply_status(*reply) : cw_fail(CW_ERR_TIMEOUT, "%s: no reply", address);
}

/* Returns whether a retry, at this replica or another one, may succeed. */
static bool is_retryable(cw_status_t status)
{
	switch (status) {
	case CW_ERR_NOT_LEADER:
	case CW_ERR_NO_QUORUM:
	case CW_ERR_UNKNOWN_OUTCOME:
	case CW_ERR_TIMEOUT:
	case CW_ERR_FULL:
	case CW_ERR_IO: /* the storage of this replica failed; that of the others may work */
		return true;
	default:
		return false;
	}
}

/* Returns whether a request changes state. */
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

/* Sets the id and the operator name of a request. */
static void prepare_request(session_t *session, Caraway__OperatorRequest *request)
{
	request->request = session->next_request_id++;
	request->operator_name = session->operator_name;
}

/* Returns the next address to try: the leader named by the reply, or else the next replica of the list. */
static char *next_address(session_t *session, const Caraway__OperatorReply *reply, const char *tried,
			  size_t *replica_index)
{
	if (reply && *reply->leader_address && g_strcmp0(reply->leader_address, tried) != 0)
		return g_strdup(reply->leader_address);
	*replica_index = (*replica_index + 1) % session->addresses->len;
	return g_strdup(g_ptr_array_index(session->addresses, *replica_index));
}

/*
 * Sends a request to the replicas in turn until one gives a final reply or the
 * timeout of the session expires.  Retries keep the request id; commands
 * are idempotent, so a retry gets the result of the first execution.
 * CW_ERR_UNKNOWN_OUTCOME: a command was sent and no final reply arrived.
 */
cw_status_t session_request(session_t *session, Caraway__OperatorRequest *request,
			    Caraway__OperatorReply **reply)
{
	int64_t deadline_ms = clock_now_ms() + session->timeout_ms;
	g_autofree char *address = g_strdup(g_ptr_array_index(session->addresses, 0));
	cw_status_t status;
	size_t replica_index = 0;
	bool sent = false;

	prepare_request(session, request);
	for (;;) {
		*reply = NULL;
		status = try_address(session, address, request, deadline_ms, &sent, reply);
		if (!is_retryable(status) || clock_now_ms() + RETRY_DELAY_MS >= deadline_ms)
			break;

		char *next = next_address(session, *reply, address, &replica_index);
		if (!*reply || !*(*reply)->leader_address)
			g_usleep(RETRY_DELAY_MS * 1000);
		g_free(address);
		address = next;
		cw_message_free(*reply);
	}
	if (is_command(request) && sent && (status == CW_ERR_TIMEOUT || status == CW_ERR_UNKNOWN_OUTCOME))
		return cw_fail(CW_ERR_UNKNOWN_OUTCOME, "no reply within %u ms", session->timeout_ms);
	return status;
}

/* Sends a request to one process once, with the timeout of the session. */
cw_status_t session_request_at(session_t *session, const char *address, Caraway__OperatorRequest *request,
			       Caraway__OperatorReply **reply)
{
	bool sent;

	prepare_request(session, request);
	*reply = NULL;
	return try_address(session, address, request, clock_now_ms() + session->timeout_ms, &sent, reply);
}
