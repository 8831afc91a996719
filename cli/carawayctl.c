/* The operators' tool: books, reviews and withdraws changes, labels VMs, tells what is in force. */
#include <stdio.h>

#include "arguments.h"
#include "commands.h"
#include "queries.h"
#include "session.h"

/* Carries out the command or query of the command line. */
static cw_status_t run(session_t *session, const arguments_t *arguments)
{
	switch (arguments->verb) {
	case VERB_BOOK:
		return command_book(session, arguments);
	case VERB_REVIEW:
		return command_review(session, arguments);
	case VERB_WITHDRAW:
		return command_withdraw(session, arguments);
	case VERB_LABEL:
		return command_label(session, arguments);
	case VERB_CHANGES:
		return query_changes(session, arguments);
	case VERB_SHOW:
		return query_show(session, arguments);
	case VERB_IN_FORCE:
		return query_in_force(session, arguments);
	case VERB_STATUS:
		return query_status(session, arguments);
	case VERB_COUNTERS:
		return query_counters(session, arguments);
	case VERB_KEY:
	case VERB_COUNT:
		break;
	}
	return cw_fail(CW_ERR_INTERNAL, "verb without a function");
}

/* Returns what an operator can do about a failure, or NULL. */
static const char *remedy(cw_status_t status)
{
	switch (status) {
	case CW_ERR_NOT_FOUND:
		return "see what there is: carawayctl changes, carawayctl inforce";
	case CW_ERR_CONFLICT:
		return "the change above stands under this number; book other content under another number";
	case CW_ERR_STATE:
		return "see its state: carawayctl show N";
	case CW_ERR_SAME_OPERATOR:
		return "have another operator review it";
	case CW_ERR_CHECK:
		return "add the missing service or target, or book it to fall due first";
	case CW_ERR_NOT_LEADER:
	case CW_ERR_NO_QUORUM:
	case CW_ERR_TIMEOUT:
		return "see which control replicas answer: carawayctl status";
	case CW_ERR_UNKNOWN_OUTCOME:
		return "give the same command again, with the same due time; it is not carried out twice";
	case CW_ERR_DENIED:
		return "use a key whose role allows this";
	default:
		return NULL;
	}
}

/* Prints why the run failed and what can be done about it. */
static void print_failure(cw_status_t status)
{
	const char *text = remedy(status);

	fprintf(stderr, "carawayctl: %s: %s\n", cw_status_name(status), cw_last_error_message());
	if (text)
		fprintf(stderr, "%s\n", text);
}

/* Opens a session and carries the command or query out. */
static cw_status_t run_session(const arguments_t *arguments)
{
	session_t *session = NULL;
	cw_status_t status = session_new(arguments->controls, arguments->keys, arguments->operator_name,
					 arguments->timeout_ms, &session);

	if (status == CW_OK)
		status = run(session, arguments);
	session_free(session);
	return status;
}

/* Makes a key pair and prints the public key. */
static cw_status_t make_key(const arguments_t *arguments)
{
	char public_key[KEY_TEXT_BYTES];
	cw_status_t status = keys_generate(g_ptr_array_index(arguments->operands, 0), public_key);

	if (status == CW_OK)
		printf("%s\n", public_key);
	return status;
}

/* Exits with the number of the status of the command or query. */
int main(int argc, char **argv)
{
	arguments_t *arguments = arguments_parse(argc, argv);
	cw_status_t status = arguments->verb == VERB_KEY ? make_key(arguments) : run_session(arguments);

	if (status != CW_OK)
		print_failure(status);
	arguments_free(arguments);
	return (int)status;
}
