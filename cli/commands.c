/* Subcommands that change state: book, review, withdraw, label. */
#include "commands.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "due.h"
#include "render.h"
#include "render_json.h"
#include "wait.h"

/* Prints a one-line summary of the change that a command refers to. */
static void print_change(const Caraway__Change *change)
{
	g_autofree char *due = due_format(change->due_ms);

	switch (change->state) {
	case CARAWAY__CHANGE_STATE__CHANGE_BOOKED:
		printf("change %" PRIu64 ": booked, due %s; another operator must review it\n",
		       change->number, due);
		break;
	case CARAWAY__CHANGE_STATE__CHANGE_REFUSED:
		printf("change %" PRIu64 ": refused: %s\n", change->number, change->refusal);
		break;
	case CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE:
		printf("change %" PRIu64 ": in force as version %" PRIu64 "\n", change->number,
		       change->version);
		break;
	default:
		printf("change %" PRIu64 ": %s, due %s\n", change->number, render_state_name(change->state),
		       due);
		break;
	}
}

/* Prints the reply to a command; as text, the change in the reply to a failed one on standard error. */
static void print_reply(const arguments_t *arguments, cw_status_t status, const Caraway__OperatorReply *reply)
{
	g_autoptr(GString) text = g_string_new(NULL);

	if (!reply)
		return;
	if (arguments->json) {
		render_json(&reply->base, text);
		fputs(text->str, stdout);
	} else if (status == CW_OK && reply->n_changes) {
		print_change(reply->changes[0]);
	} else if (reply->n_changes) {
		render_change(reply->changes[0], text);
		fputs(text->str, stderr);
	}
}

/* Sends a command for a change and prints the reply; with --wait, waits until the change is in force. */
static cw_status_t send_change_command(session_t *session, const arguments_t *arguments, uint64_t number,
				       Caraway__OperatorRequest *request)
{
	Caraway__OperatorReply *reply;
	cw_status_t status = session_request(session, request, &reply);

	print_reply(arguments, status, reply);
	cw_message_free(reply);
	if (status == CW_OK && arguments->wait)
		status = wait_change(session, number, arguments->wait_timeout_ms);
	return status;
}

/* Loads and parses a change file.  CW_ERR_NOT_FOUND or CW_ERR_CHANGE_FILE. */
static cw_status_t load_change(const char *file, Caraway__Content **content)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	gsize length = 0;

	if (!g_file_get_contents(file, &text, &length, &error))
		return cw_fail(CW_ERR_NOT_FOUND, "%s", error->message);
	return cw_change_parse(text, length, file, content);
}

/* Prints the absolute due time for repeating a booking, as a relative --due would give a different time. */
static void print_repeat_hint(int64_t due_ms)
{
	g_autofree char *due = due_format(due_ms);

	if (due_ms)
		fprintf(stderr, "to repeat this booking, use --due %s\n", due);
}

/* Books the change in a file with the given number and due time. */
cw_status_t command_book(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__Book book = CARAWAY__BOOK__INIT;
	cw_status_t status = load_change(g_ptr_array_index(arguments->operands, 0), &book.content);

	if (status != CW_OK)
		return status;
	book.number = arguments->change_number;
	book.due_ms = arguments->due_ms;
	book.operator_name = (char *)session_operator_name(session);
	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_BOOK;
	request.book = &book;
	status = send_change_command(session, arguments, book.number, &request);
	if (status == CW_ERR_UNKNOWN_OUTCOME)
		print_repeat_hint(book.due_ms);
	cw_message_free(book.content);
	return status;
}

/* Reviews a booked change. */
cw_status_t command_review(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;
	cw_status_t status =
		arguments_parse_change_number(g_ptr_array_index(arguments->operands, 0), &review.number);

	if (status != CW_OK)
		return status;
	review.operator_name = (char *)session_operator_name(session);
	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_REVIEW;
	request.review = &review;
	return send_change_command(session, arguments, review.number, &request);
}

/* Withdraws a change that is not yet in force. */
cw_status_t command_withdraw(session_t *session, const arguments_t *arguments)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__Withdraw withdraw = CARAWAY__WITHDRAW__INIT;
	cw_status_t status =
		arguments_parse_change_number(g_ptr_array_index(arguments->operands, 0), &withdraw.number);

	if (status != CW_OK)
		return status;
	withdraw.operator_name = (char *)session_operator_name(session);
	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_WITHDRAW;
	request.withdraw = &withdraw;
	return send_change_command(session, arguments, withdraw.number, &request);
}

/* Parses a label "KEY=VALUE"; an empty value removes the label. */
static cw_status_t parse_label(const char *text, Caraway__Label **label)
{
	const char *equals = strchr(text, '=');

	if (!equals || equals == text)
		return cw_fail(CW_ERR_USAGE, "invalid label \"%s\": expected KEY=VALUE, or KEY= to remove it",
			       text);
	*label = g_new(Caraway__Label, 1);
	caraway__label__init(*label);
	(*label)->key = g_strndup(text, (size_t)(equals - text));
	(*label)->value = g_strdup(equals + 1);
	return CW_OK;
}

/* Frees a label made by parse_label(). */
static void free_label(void *data)
{
	Caraway__Label *label = data;

	g_free(label->key);
	g_free(label->value);
	g_free(label);
}

/* Sends labels of a VM and prints the result; with --wait, waits until its proxy has applied them. */
static cw_status_t send_labels(session_t *session, const arguments_t *arguments,
			       Caraway__SetLabels *set_labels)
{
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__OperatorReply *reply;
	cw_status_t status;

	request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_SET_LABELS;
	request.set_labels = set_labels;
	status = session_request(session, &request, &reply);
	print_reply(arguments, status, reply);
	cw_message_free(reply);
	if (status == CW_OK && !arguments->json)
		printf("%s: %zu label(s) set\n", set_labels->vm, set_labels->n_labels);
	if (status == CW_OK && arguments->wait)
		status = wait_vm(session, set_labels->vm, arguments->wait_timeout_ms);
	return status;
}

/* Sets or removes labels of a VM. */
cw_status_t command_label(session_t *session, const arguments_t *arguments)
{
	g_autoptr(GPtrArray) labels = g_ptr_array_new_with_free_func(free_label);
	Caraway__SetLabels set_labels = CARAWAY__SET_LABELS__INIT;

	for (guint i = 1; i < arguments->operands->len; i++) {
		Caraway__Label *label = NULL;
		cw_status_t status = parse_label(g_ptr_array_index(arguments->operands, i), &label);

		if (status != CW_OK)
			return status;
		g_ptr_array_add(labels, label);
	}
	set_labels.vm = g_ptr_array_index(arguments->operands, 0);
	set_labels.operator_name = (char *)session_operator_name(session);
	set_labels.n_labels = labels->len;
	set_labels.labels = (Caraway__Label **)labels->pdata;
	return send_labels(session, arguments, &set_labels);
}
