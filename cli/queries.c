/* Read-only subcommands: changes, show, inforce, status, counters, accounts. */
#include "queries.h"

#include <stdio.h>

#include "render.h"
#include "render_json.h"

/* Appends a reply as text. */
typedef void (*reply_renderer_t)(const Caraway__OperatorReply *reply, GString *out);

/* Prints a reply as text or JSON and frees it; prints nothing when the query failed. */
static cw_status_t print_reply(const arguments_t *arguments, cw_status_t status,
			       Caraway__OperatorReply *reply, reply_renderer_t renderer)
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

/* Prints all changes. */
cw_status_t query_changes(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__ChangesQuery query = CARAWAY__CHANGES_QUERY__INIT;
	Caraway__OperatorReply *reply;
	cw_status_t status;

	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_CHANGES;
	request.changes = &query;
	status = session_request(session, &request, &reply);
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
	status = session_request(session, &request, reply);
	if (status == CW_OK && (*reply)->n_changes != 1)
		return cw_fail(CW_ERR_DECODE, "the reply contains %zu changes instead of one",
			       (*reply)->n_changes);
	return status;
}

/* Appends the only change of a reply as text. */
static void render_only_change(const Caraway__OperatorReply *reply, GString *out)
{
	render_change(reply->changes[0], out);
}

/* Prints one change. */
cw_status_t query_show(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorReply *reply;
	uint64_t number;
	cw_status_t status =
		arguments_parse_change_number(g_ptr_array_index(arguments->operands, 0), &number);

	if (status != CW_OK)
		return status;
	status = query_fetch_change(session, number, &reply);
	return print_reply(arguments, status, reply, render_only_change);
}

/* Fetches the versions that the proxies hold, of the VMs that match a selector and a service. */
cw_status_t query_fetch_in_force(session_t *session, const char *selector, const char *service,
				 Caraway__OperatorReply **reply)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__InForceQuery query = CARAWAY__IN_FORCE_QUERY__INIT;

	query.selector = (char *)selector;
	query.service = (char *)service;
	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_IN_FORCE;
	request.in_force = &query;
	return session_request(session, &request, reply);
}

/* Prints the versions that the selected proxies hold. */
cw_status_t query_in_force(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorReply *reply;
	cw_status_t status = query_fetch_in_force(session, arguments->selector, arguments->service, &reply);

	return print_reply(arguments, status, reply, render_in_force);
}

/* Sends a request to each process; returns the number of successful replies. */
static size_t query_processes(session_t *session, const GPtrArray *addresses,
			      Caraway__OperatorRequest *request, process_reply_t *replies)
{
	size_t reply_count = 0;

	for (guint i = 0; i < addresses->len; i++) {
		Caraway__OperatorReply *reply = NULL;

		replies[i].address = g_ptr_array_index(addresses, i);
		if (session_request_at(session, replies[i].address, request, &reply) == CW_OK) {
			replies[i].reply = reply;
			reply_count++;
		} else {
			cw_message_free(reply);
		}
	}
	return reply_count;
}

/* Appends the replies as JSON, one object for each process that replied. */
static void render_replies_json(const process_reply_t *replies, size_t count, GString *out)
{
	for (size_t i = 0; i < count; i++)
		if (replies[i].reply)
			render_json(&replies[i].reply->base, out);
}

/* Appends the replies of several processes as text. */
typedef void (*replies_renderer_t)(const process_reply_t *replies, size_t count, GString *out);

/* Sends a request to each process, those of --at if given, and prints the replies; CW_ERR_TIMEOUT if none. */
static cw_status_t query_and_print(session_t *session, const arguments_t *arguments,
				   Caraway__OperatorRequest *request, replies_renderer_t renderer)
{
	const GPtrArray *addresses =
		arguments->at_addresses->len ? arguments->at_addresses : session_addresses(session);
	process_reply_t *replies = g_new0(process_reply_t, addresses->len);
	size_t reply_count = query_processes(session, addresses, request, replies);
	g_autoptr(GString) text = g_string_new(NULL);

	if (arguments->json)
		render_replies_json(replies, addresses->len, text);
	else
		renderer(replies, addresses->len, text);
	fputs(text->str, stdout);
	for (guint i = 0; i < addresses->len; i++)
		cw_message_free((void *)replies[i].reply);
	g_free(replies);
	return reply_count ? CW_OK : cw_fail(CW_ERR_TIMEOUT, "none of %u processes replied", addresses->len);
}

/* Prints the status of the control replicas, or of the processes named with --at. */
cw_status_t query_status(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__StatusQuery query = CARAWAY__STATUS_QUERY__INIT;

	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_STATUS;
	request.status = &query;
	return query_and_print(session, arguments, &request, render_status);
}

/* Prints the counters of the control replicas, or of the processes named with --at. */
cw_status_t query_counters(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__CountersQuery query = CARAWAY__COUNTERS_QUERY__INIT;

	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_COUNTERS;
	request.counters = &query;
	return query_and_print(session, arguments, &request, render_counters);
}

/* Prints the client accounts of the proxies named with --at. */
cw_status_t query_accounts(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__AccountsQuery query = CARAWAY__ACCOUNTS_QUERY__INIT;

	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_ACCOUNTS;
	request.accounts = &query;
	return query_and_print(session, arguments, &request, render_accounts);
}
