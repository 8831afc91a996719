/* Authentication of connections by key (ZeroMQ ZAP) and authorization of their messages. */
#include "auth.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "counters.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define USER_CONTROL "control"
#define USER_PROXY   "proxy"

/* Prefix of operators' user ids; the role bits as one digit and the name follow. */
#define USER_OPERATOR "operator"

enum { KEY_BYTES = 32, MAX_FRAME_BYTES = 256, REQUEST_FRAMES = 7, FRAME_REQUEST_ID = 1, FRAME_KEY = 6 };

struct auth {
	const keys_t *keys;
	void *socket;
	GThread *thread;
};

/* The fields used of a ZAP request: its id, which the reply repeats, and the key of the connecting peer. */
typedef struct {
	char id[MAX_FRAME_BYTES];
	int id_length;
	uint8_t key[MAX_FRAME_BYTES];
	int key_length;
} zap_request_t;

/* Receives a ZAP request; false when the context was terminated. */
static bool receive_zap_request(void *socket, zap_request_t *request)
{
	int more = 1;
	size_t size = sizeof(more);

	memset(request, 0, sizeof(*request));
	for (int i = 0; more; i++) {
		uint8_t frame[MAX_FRAME_BYTES];
		int length = zmq_recv(socket, frame, sizeof(frame), 0);

		if (length < 0)
			return false;
		length = MIN(length, (int)sizeof(frame));
		if (i == FRAME_REQUEST_ID) {
			memcpy(request->id, frame, (size_t)length);
			request->id_length = length;
		} else if (i == FRAME_KEY) {
			memcpy(request->key, frame, (size_t)length);
			request->key_length = length;
		}
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

/* Returns the user id of a key, to be freed by the caller, or NULL for an unknown key. */
static char *user_id_of_key(const keys_t *keys, const zap_request_t *request)
{
	char text[KEY_TEXT_BYTES];
	const operator_key_t *entry;

	if (request->key_length != KEY_BYTES || !zmq_z85_encode(text, request->key, KEY_BYTES))
		return NULL;
	if (strcmp(text, keys->control_public) == 0)
		return g_strdup(USER_CONTROL);
	if (strcmp(text, keys->proxy_public) == 0)
		return g_strdup(USER_PROXY);
	entry = keys_find_operator(keys, text);
	return entry ? g_strdup_printf(USER_OPERATOR "%u%s", entry->roles, entry->name) : NULL;
}

/* Sends one text frame of a reply. */
static void send_text_frame(void *socket, const char *text, int flags)
{
	zmq_send(socket, text, strlen(text), flags);
}

/* Replies to a ZAP request: accepted with a user id, or refused when user is NULL. */
static void send_zap_reply(void *socket, const zap_request_t *request, const char *user)
{
	send_text_frame(socket, "1.0", ZMQ_SNDMORE);
	zmq_send(socket, request->id, (size_t)request->id_length, ZMQ_SNDMORE);
	send_text_frame(socket, user ? "200" : "400", ZMQ_SNDMORE);
	send_text_frame(socket, user ? "OK" : "unknown key", ZMQ_SNDMORE);
	send_text_frame(socket, user ? user : "", ZMQ_SNDMORE);
	send_text_frame(socket, "", 0);
}

/* Handles ZAP requests until the context is terminated. */
static gpointer run_zap_handler(gpointer data)
{
	auth_t *auth = data;
	zap_request_t request;

	while (receive_zap_request(auth->socket, &request)) {
		char *user = user_id_of_key(auth->keys, &request);

		if (!user)
			counter_add(COUNTER_KEY_UNKNOWN, 1);
		send_zap_reply(auth->socket, &request, user);
		g_free(user);
	}
	zmq_close(auth->socket);
	return NULL;
}

/* Starts the ZAP thread; CW_ERR_IO when the context has one already. */
cw_status_t auth_new(void *zmq_context, const keys_t *keys, auth_t **auth)
{
	void *socket = zmq_socket(zmq_context, ZMQ_REP);

	if (!socket || zmq_bind(socket, ZAP_ENDPOINT)) {
		cw_fail(CW_ERR_IO, "cannot bind the ZAP handler that authenticates keys: %s",
			zmq_strerror(errno));
		if (socket)
			zmq_close(socket);
		return CW_ERR_IO;
	}
	*auth = g_new0(auth_t, 1);
	(*auth)->keys = keys;
	(*auth)->socket = socket;
	(*auth)->thread = g_thread_new("guard", run_zap_handler, *auth);
	return CW_OK;
}

/* Waits for the thread, which exits when the context is terminated; NULL is allowed. */
void auth_free(auth_t *auth)
{
	if (!auth)
		return;
	g_thread_join(auth->thread);
	g_free(auth);
}

/* Replaces a string field of an unpacked message. */
static void set_text(char **field, const char *text)
{
	if (*field != (char *)protobuf_c_empty_string)
		free(*field);
	*field = strdup(text);
}

/* Checks that an operator has the role that a request requires; sets the operator name in the request. */
static cw_status_t check_roles(unsigned roles, const char *name, Caraway__OperatorRequest *request)
{
	unsigned needed = 0;

	set_text(&request->operator_name, name);
	switch (request->body_case) {
	case CARAWAY__OPERATOR_REQUEST__BODY_BOOK:
		needed = OPERATOR_BOOKER;
		set_text(&request->book->operator_name, name);
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_WITHDRAW:
		needed = OPERATOR_BOOKER;
		set_text(&request->withdraw->operator_name, name);
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_SET_LABELS:
		needed = OPERATOR_BOOKER;
		set_text(&request->set_labels->operator_name, name);
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_REVIEW:
		needed = OPERATOR_REVIEWER;
		set_text(&request->review->operator_name, name);
		break;
	default:
		break;
	}
	if ((roles & needed) == needed)
		return CW_OK;
	return cw_fail(CW_ERR_DENIED, "the key of %s does not have the role %s", name,
		       needed == OPERATOR_BOOKER ? "booker" : "reviewer");
}

/* Checks a message sent with an operator's user id. */
static cw_status_t check_operator(const char *user, Caraway__Message *message)
{
	const char *roles = user + strlen(USER_OPERATOR);

	if (message->body_case != CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST)
		return cw_fail(CW_ERR_DENIED, "an operator key may send operator requests only");
	return check_roles((unsigned)(*roles - '0'), roles + 1, message->operator_request);
}

/* Checks that the user id of a connection is authorized to send a message. */
cw_status_t auth_check_message(const char *user, Caraway__Message *message)
{
	bool is_proxy = g_strcmp0(user, USER_PROXY) == 0;
	bool is_control = g_strcmp0(user, USER_CONTROL) == 0;

	if (user && g_str_has_prefix(user, USER_OPERATOR))
		return check_operator(user, message);
	switch (message->body_case) {
	case CARAWAY__MESSAGE__BODY_RAFT:
		if (is_control)
			return CW_OK;
		break;
	case CARAWAY__MESSAGE__BODY_PULL:
		if (is_control || is_proxy)
			return CW_OK;
		break;
	case CARAWAY__MESSAGE__BODY_CALL_REQUEST:
	case CARAWAY__MESSAGE__BODY_REVOKE:
	case CARAWAY__MESSAGE__BODY_ALLOTMENT_REQUEST:
		if (is_proxy)
			return CW_OK;
		break;
	default:
		break;
	}
	return cw_fail(CW_ERR_DENIED, "the sender's key does not permit this type of message");
}
