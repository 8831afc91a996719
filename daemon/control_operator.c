/* Requests from operators: commands go through the replicated log, queries read the current state. */
#include "clock.h"
#include "control.h"
#include "counters.h"
#include "operator_reply.h"

enum { OPERATOR_TIMEOUT_MS = 5000 /* the outcome of a request is unknown after that */ };

typedef enum {
	REQUEST_COMMAND,   /* executed through the replicated log */
	REQUEST_CONFIRMED, /* a query, answered after a quorum has confirmed leadership */
	REQUEST_LOCAL,	   /* a query about this replica only */
	REQUEST_UNEXPECTED
} request_class_t;

/* Returns how a request is processed. */
static request_class_t classify(const Caraway__OperatorRequest *request)
{
	switch (request->body_case) {
	case CARAWAY__OPERATOR_REQUEST__BODY_BOOK:
	case CARAWAY__OPERATOR_REQUEST__BODY_REVIEW:
	case CARAWAY__OPERATOR_REQUEST__BODY_WITHDRAW:
	case CARAWAY__OPERATOR_REQUEST__BODY_SET_LABELS:
		return REQUEST_COMMAND;
	case CARAWAY__OPERATOR_REQUEST__BODY_CHANGES:
	case CARAWAY__OPERATOR_REQUEST__BODY_SHOW:
	case CARAWAY__OPERATOR_REQUEST__BODY_IN_FORCE:
		return REQUEST_CONFIRMED;
	case CARAWAY__OPERATOR_REQUEST__BODY_STATUS:
	case CARAWAY__OPERATOR_REQUEST__BODY_COUNTERS:
		return REQUEST_LOCAL;
	default:
		return REQUEST_UNEXPECTED;
	}
}

/* Sets the body of a command to that of the request, which stays the owner. */
static void fill_command(const Caraway__OperatorRequest *request, Caraway__Command *command)
{
	switch (request->body_case) {
	case CARAWAY__OPERATOR_REQUEST__BODY_BOOK:
		command->body_case = CARAWAY__COMMAND__BODY_BOOK;
		command->book = request->book;
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_REVIEW:
		command->body_case = CARAWAY__COMMAND__BODY_REVIEW;
		command->review = request->review;
		break;
	case CARAWAY__OPERATOR_REQUEST__BODY_WITHDRAW:
		command->body_case = CARAWAY__COMMAND__BODY_WITHDRAW;
		command->withdraw = request->withdraw;
		break;
	default:
		command->body_case = CARAWAY__COMMAND__BODY_SET_LABELS;
		command->set_labels = request->set_labels;
		break;
	}
}

/* Returns a pending request that replies to the operator's request. */
static pending_request_t *operator_request_new(pending_request_type_t type, GBytes *peer,
					       const Caraway__OperatorRequest *request)
{
	pending_request_t *pending = pending_request_new(type, clock_now_ms() + OPERATOR_TIMEOUT_MS);

	pending->operator_request.peer = g_bytes_ref(peer);
	pending->operator_request.request = cw_message_copy(&request->base);
	return pending;
}

/* Proposes the command of a request. */
static void propose_command(control_t *control, GBytes *peer, const Caraway__OperatorRequest *request)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;

	fill_command(request, &command);
	control_propose(control, operator_request_new(PENDING_COMMAND, peer, request), &command);
}

/* Handles a request of an operator; the reply is sent at once or when Raft has an outcome. */
void control_handle_operator_request(control_t *control, GBytes *peer,
				     const Caraway__OperatorRequest *request)
{
	switch (classify(request)) {
	case REQUEST_COMMAND:
		propose_command(control, peer, request);
		break;
	case REQUEST_CONFIRMED:
		control_confirm_leadership(control, operator_request_new(PENDING_QUERY, peer, request));
		break;
	case REQUEST_LOCAL:
		control_reply_to_operator(control, peer, request, CW_OK, "", NULL);
		break;
	case REQUEST_UNEXPECTED:
		counter_add(COUNTER_MESSAGE_UNEXPECTED, 1);
		control_reply_to_operator(control, peer, request, CW_ERR_DECODE,
					  "unknown kind of operator request", NULL);
		break;
	}
}

/* Replies to a request: a command with its change, a query with its result. */
void control_reply_to_operator(control_t *control, GBytes *peer, const Caraway__OperatorRequest *request,
			       cw_status_t status, const char *message, const Caraway__Change *change)
{
	Caraway__OperatorReply *reply = g_new(Caraway__OperatorReply, 1);
	const char *leader_address = control_voter_address(control, cw_raft_leader_id(control->raft));

	caraway__operator_reply__init(reply);
	reply->request = request->request;
	if (status == CW_OK && classify(request) != REQUEST_COMMAND)
		status = control_answer_query(control, request, reply);
	else if (change)
		reply->changes = g_new(Caraway__Change *, 1);
	if (change && reply->changes)
		reply->changes[reply->n_changes++] = cw_message_copy(&change->base);
	reply->status = (int32_t)status;
	reply->message = g_strdup(status == CW_OK || *message ? message : cw_last_error_message());
	reply->leader_address = g_strdup(leader_address ? leader_address : "");
	operator_reply_send(control->server, peer, reply);
	cw_message_free(reply);
}
