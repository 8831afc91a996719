/* What only reads: changes, show, inforce, status, counters. */
#include "queries.h"

#include <stdio.h>

#include "render.h"
#include "render_json.h"

/* Renders an answer as text. */
typedef void (*renderer_t)(const Caraway__OperatorReply *reply, GString *out);

/* Prints an answer as text or JSON and frees it; prints nothing when the query failed. */
static cw_status_t print_reply(const arguments_t *arguments, cw_status_t status,
			       Caraway__OperatorReply *reply, renderer_t renderer)
{
	g_autoptr(GString) text = g_string_new(NULL);

	if (status == CW_OK && arguments->json)
		render_json(&reply->base, text);
	else if (status == CW_OK)
		renderer(reply, text);
	fputs(text->str, stdout);
	cw_message_free(reply);
	return status;
}

/* Prints every change. */
cw_status_t query_changes(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__ChangesQuery query = CARAWAY__CHANGES_QUERY__INIT;
	Caraway__OperatorReply *reply;
	cw_status_t status;

	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_CHANGES;
	request.changes = &query;
	status = session_ask(session, &request, &reply);
	return print_reply(arguments, status, reply, render_changes);
}

/* Fetches one change.  CW_ERR_NOT_FOUND when the number was never booked. */
cw_status_t query_fetch_change(session_t *session, uint64_t number, Caraway__OperatorReply **reply)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__ShowQuery query = CARAWAY__SHOW_QUERY__INIT;
	cw_status_t status;

	query.number = number;
	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_SHOW;
	request.show = &query;
	status = session_ask(session, &request, reply);
	if (status == CW_OK && (*reply)->n_changes != 1)
		return cw_fail(CW_ERR_DECODE, "the answer holds %zu changes instead of one",
			       (*reply)->n_changes);
	return status;
}

/* Renders the one change of an answer. */
static void render_first_change(const Caraway__OperatorReply *reply, GString *out)
{
	render_change(reply->changes[0], out);
}

/* Prints one change. */
cw_status_t query_show(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorReply *reply;
	uint64_t number;
	cw_status_t status = arguments_number(g_ptr_array_index(arguments->operands, 0), &number);

	if (status != CW_OK)
		return status;
	status = query_fetch_change(session, number, &reply);
	return print_reply(arguments, status, reply, render_first_change);
}

/* Fetches who holds what among the VMs that a selector and a service choose. */
cw_status_t query_fetch_in_force(session_t *session, const char *selector, const char *service,
				 Caraway__OperatorReply **reply)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__InForceQuery query = CARAWAY__IN_FORCE_QUERY__INIT;

	query.selector = (char *)selector;
	query.service = (char *)service;
	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_IN_FORCE;
	request.in_force = &query;
	return session_ask(session, &request, reply);
}

/* Prints who holds what. */
cw_status_t query_in_force(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorReply *reply;
	cw_status_t status = query_fetch_in_force(session, arguments->selector, arguments->service, &reply);

	return print_reply(arguments, status, reply, render_in_force);
}

/* Asks every process for its own state; returns how many answered. */
static size_t ask_each(session_t *session, const GPtrArray *addresses, Caraway__OperatorRequest *request,
		       answer_t *answers)
{
	size_t answered = 0;

	for (guint i = 0; i < addresses->len; i++) {
		Caraway__OperatorReply *reply = NULL;

		answers[i].address = g_ptr_array_index(addresses, i);
		if (session_ask_at(session, answers[i].address, request, &reply) == CW_OK) {
			answers[i].reply = reply;
			answered++;
		} else {
			cw_message_free(reply);
		}
	}
	return answered;
}

/* Appends the answers as JSON, one object for each process that answered. */
static void render_answers_json(const answer_t *answers, size_t count, GString *out)
{
	for (size_t i = 0; i < count; i++)
		if (answers[i].reply)
			render_json(&answers[i].reply->base, out);
}

/* Renders the answers of several processes. */
typedef void (*answers_renderer_t)(const answer_t *answers, size_t count, GString *out);

/* Asks every process and prints their answers.  CW_ERR_TIMEOUT when none answered. */
static cw_status_t print_each(session_t *session, const arguments_t *arguments,
			      Caraway__OperatorRequest *request, answers_renderer_t renderer)
{
	const GPtrArray *addresses = arguments->at->len ? arguments->at : session_addresses(session);
	answer_t *answers = g_new0(answer_t, addresses->len);
	size_t answered = ask_each(session, addresses, request, answers);
	g_autoptr(GString) text = g_string_new(NULL);

	if (arguments->json)
		render_answers_json(answers, addresses->len, text);
	else
		renderer(answers, addresses->len, text);
	fputs(text->str, stdout);
	for (guint i = 0; i < addresses->len; i++)
		cw_message_free((void *)answers[i].reply);
	g_free(answers);
	return answered ? CW_OK : cw_fail(CW_ERR_TIMEOUT, "none of %u processes answered", addresses->len);
}

/* Prints how the control replicas are. */
cw_status_t query_status(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__StatusQuery query = CARAWAY__STATUS_QUERY__INIT;

	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_STATUS;
	request.status = &query;
	return print_each(session, arguments, &request, render_status);
}

/* Prints the counters of the control replicas, or of the processes named with --at. */
cw_status_t query_counters(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__CountersQuery query = CARAWAY__COUNTERS_QUERY__INIT;

	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_COUNTERS;
	request.counters = &query;
	return print_each(session, arguments, &request, render_counters);
}
