/* Who may connect to this process, and what each may send. */
#include "guard.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "counters.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define USER_CONTROL "control"
#define USER_PROXY   "proxy"

/* User ids of operators: "operator", a digit for the roles, and the name. */
#define USER_OPERATOR "operator"

enum { KEY_BYTES = 32, FRAME_BYTES = 256, REQUEST_FRAMES = 7, FRAME_REQUEST_ID = 1, FRAME_KEY = 6 };

struct guard {
	const keys_t *keys;
	void *socket;
	GThread *thread;
};

/* One question of ZeroMQ: the id to answer under and the connecting key. */
typedef struct {
	char id[FRAME_BYTES];
	int id_length;
	uint8_t key[FRAME_BYTES];
	int key_length;
} question_t;

/* Reads the frames of a question; false when the context has ended. */
static bool receive_question(void *socket, question_t *question)
{
	int more = 1;
	size_t size = sizeof(more);

	memset(question, 0, sizeof(*question));
	for (int i = 0; more; i++) {
		uint8_t frame[FRAME_BYTES];
		int length = zmq_recv(socket, frame, sizeof(frame), 0);

		if (length < 0)
			return false;
		length = MIN(length, (int)sizeof(frame));
		if (i == FRAME_REQUEST_ID) {
			memcpy(question->id, frame, (size_t)length);
			question->id_length = length;
		} else if (i == FRAME_KEY) {
			memcpy(question->key, frame, (size_t)length);
			question->key_length = length;
		}
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

/* Returns the user id for a key, or NULL for an unknown key; the caller frees it. */
static char *user_of(const keys_t *keys, const question_t *question)
{
	char text[KEY_TEXT_BYTES];
	const operator_key_t *entry;

	if (question->key_length != KEY_BYTES || !zmq_z85_encode(text, question->key, KEY_BYTES))
		return NULL;
	if (strcmp(text, keys->control_public) == 0)
		return g_strdup(USER_CONTROL);
	if (strcmp(text, keys->proxy_public) == 0)
		return g_strdup(USER_PROXY);
	entry = keys_operator(keys, text);
	return entry ? g_strdup_printf(USER_OPERATOR "%u%s", entry->roles, entry->name) : NULL;
}

/* Sends one text frame of an answer. */
static void send_text(void *socket, const char *text, int flags)
{
	zmq_send(socket, text, strlen(text), flags);
}

/* Answers a question: accepted under a user id, or refused. */
static void answer_question(void *socket, const question_t *question, const char *user)
{
	send_text(socket, "1.0", ZMQ_SNDMORE);
	zmq_send(socket, question->id, (size_t)question->id_length, ZMQ_SNDMORE);
	send_text(socket, user ? "200" : "400", ZMQ_SNDMORE);
	send_text(socket, user ? "OK" : "unknown key", ZMQ_SNDMORE);
	send_text(socket, user ? user : "", ZMQ_SNDMORE);
	send_text(socket, "", 0);
}

/* Answers questions until the context ends. */
static gpointer run_guard(gpointer data)
{
	guard_t *guard = data;
	question_t question;

	while (receive_question(guard->socket, &question)) {
		char *user = user_of(guard->keys, &question);

		if (!user)
			counter_add(COUNTER_KEY_UNKNOWN, 1);
		answer_question(guard->socket, &question, user);
		g_free(user);
	}
	zmq_close(guard->socket);
	return NULL;
}

/* Starts the thread that knows the keys; CW_ERR_IO when the context has one already. */
cw_status_t guard_new(void *zmq_context, const keys_t *keys, guard_t **guard)
{
	void *socket = zmq_socket(zmq_context, ZMQ_REP);

	if (!socket || zmq_bind(socket, ZAP_ENDPOINT)) {
		cw_fail(CW_ERR_IO, "keys cannot be checked: %s", zmq_strerror(errno));
		if (socket)
			zmq_close(socket);
		return CW_ERR_IO;
	}
	*guard = g_new0(guard_t, 1);
	(*guard)->keys = keys;
	(*guard)->socket = socket;
	(*guard)->thread = g_thread_new("guard", run_guard, *guard);
	return CW_OK;
}

/* Waits for the thread, which ends with the context; NULL is allowed. */
void guard_free(guard_t *guard)
{
	if (!guard)
		return;
	g_thread_join(guard->thread);
	g_free(guard);
}

/* Replaces a text of an unpacked message. */
static void set_text(char **field, const char *text)
{
	if (*field != (char *)protobuf_c_empty_string)
		free(*field);
	*field = strdup(text);
}

/* Checks that roles allow a request and puts the operator's name in. */
static cw_status_t check_request(unsigned roles, const char *name, Caraway__OperatorRequest *request)
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

/* Checks a request of the operator that a user id stands for. */
static cw_status_t check_operator(const char *user, Caraway__Message *message)
{
	const char *roles = user + strlen(USER_OPERATOR);

	if (message->body_case != CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST)
		return cw_fail(CW_ERR_DENIED, "an operator may only send requests of operators");
	return check_request((unsigned)(*roles - '0'), roles + 1, message->operator_request);
}

/* Checks that the sender of a message may send it. */
cw_status_t guard_check(const char *user, Caraway__Message *message)
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
		if (is_proxy)
			return CW_OK;
		break;
	default:
		break;
	}
	return cw_fail(CW_ERR_DENIED, "the key does not allow this message");
}
