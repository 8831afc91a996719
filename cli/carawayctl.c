/* The command-line tool for operators: manages changes and VM labels, and prints the state of the system. */
#include <stdio.h>

#include "arguments.h"
#include "commands.h"
#include "queries.h"
#include "session.h"

/* Runs the subcommand of the command line. */
static cw_status_t run_subcommand(session_t *session, const arguments_t *arguments)
{
	switch (arguments->subcommand) {
	case SUBCOMMAND_BOOK:
		return command_book(session, arguments);
	case SUBCOMMAND_REVIEW:
		return command_review(session, arguments);
	case SUBCOMMAND_WITHDRAW:
		return command_withdraw(session, arguments);
	case SUBCOMMAND_LABEL:
		return command_label(session, arguments);
	case SUBCOMMAND_CHANGES:
		return query_changes(session, arguments);
	case SUBCOMMAND_SHOW:
		return query_show(session, arguments);
	case SUBCOMMAND_IN_FORCE:
		return query_in_force(session, arguments);
	case SUBCOMMAND_STATUS:
		return query_status(session, arguments);
	case SUBCOMMAND_COUNTERS:
		return query_counters(session, arguments);
	case SUBCOMMAND_ACCOUNTS:
		return query_accounts(session, arguments);
	case SUBCOMMAND_KEY:
	case SUBCOMMAND_DIGEST:
	case SUBCOMMAND_COUNT:
		break;
	}
	return cw_fail(CW_ERR_INTERNAL, "subcommand without a handler");
}

/* Returns a hint on how to resolve a failure, or NULL. */
static const char *failure_hint(cw_status_t status)
{
	switch (status) {
	case CW_ERR_NOT_FOUND:
		return "list what exists: carawayctl changes, carawayctl inforce";
	case CW_ERR_CONFLICT:
		return "the change shown above already has this number; book other content under another number";
	case CW_ERR_STATE:
		return "check its state: carawayctl show N";
	case CW_ERR_SAME_OPERATOR:
		return "have another operator review it";
	case CW_ERR_CHECK:
		return "add the missing service or target, or book it in a change that is due earlier";
	case CW_ERR_NOT_LEADER:
	case CW_ERR_NO_QUORUM:
	case CW_ERR_TIMEOUT:
		return "check which control replicas respond: carawayctl status";
	case CW_ERR_UNKNOWN_OUTCOME:
		return "repeat the same command with the same due time; it is not executed twice";
	case CW_ERR_DENIED:
		return "use a key whose role permits this request";
	default:
		return NULL;
	}
}

/* Prints the error and a hint on how to resolve it. */
static void print_failure(cw_status_t status)
{
	const char *hint = failure_hint(status);

	fprintf(stderr, "carawayctl: %s: %s\n", cw_status_name(status), cw_last_error_message());
	if (hint)
		fprintf(stderr, "%s\n", hint);
}

/* Opens a session and runs the subcommand. */
static cw_status_t run_with_session(const arguments_t *arguments)
{
	session_t *session = NULL;
	cw_status_t status = session_new(arguments->control_addresses, arguments->keys,
					 arguments->operator_name, arguments->timeout_ms, &session);

	if (status == CW_OK)
		status = run_subcommand(session, arguments);
	session_free(session);
	return status;
}

/* Generates a key pair and prints the public key. */
static cw_status_t generate_key(const arguments_t *arguments)
{
	char public_key[KEY_TEXT_BYTES];
	cw_status_t status = keys_generate(g_ptr_array_index(arguments->operands, 0), public_key);

	if (status == CW_OK)
		printf("%s\n", public_key);
	return status;
}

/* Prints the digest of the key in a file, with a salt. */
static cw_status_t print_digest(const arguments_t *arguments)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *key = NULL;
	char text[CW_KEY_DIGEST_TEXT_BYTES];
	cw_key_digest_t salt, digest;

	if (!cw_key_digest_parse(g_ptr_array_index(arguments->operands, 0), &salt))
		return cw_fail(CW_ERR_USAGE, "the salt must have 32 hexadecimal digits");
	if (!g_file_get_contents(g_ptr_array_index(arguments->operands, 1), &key, NULL, &error))
		return cw_fail(CW_ERR_NOT_FOUND, "%s", error->message);
	digest = cw_account_key_digest(salt.words, g_strstrip(key));
	cw_key_digest_format(&digest, text);
	printf("%s\n", text);
	return CW_OK;
}

/* Runs a subcommand. */
static cw_status_t run(const arguments_t *arguments)
{
	switch (arguments->subcommand) {
	case SUBCOMMAND_KEY:
		return generate_key(arguments);
	case SUBCOMMAND_DIGEST:
		return print_digest(arguments);
	default:
		return run_with_session(arguments);
	}
}

/* Runs the subcommand; the exit code is its status. */
int main(int argc, char **argv)
{
	arguments_t *arguments = arguments_parse(argc, argv);
	cw_status_t status = run(arguments);

	if (status != CW_OK)
		print_failure(status);
	arguments_free(arguments);
	return (int)status;
}
