/* Uses one part of libcaraway on its own: books, reviews and activates a change in a ledger. */
#include <libcaraway.h>
#include <stdio.h>
#include <string.h>

static const char change_file[] = "[change]\ntitle = Closure board\nselector =\n[service tabla]\n"
				  "[route board]\npath = /board\nservice = tabla\n";

/* Applies a command as if the replicated log had committed it, and prints the resulting status. */
static void apply(cw_ledger_t *ledger, const Caraway__Command *command, const char *step)
{
	Caraway__Change *change = NULL;
	cw_status_t status = cw_ledger_apply(ledger, command, &change);

	printf("%s: %s%s%s\n", step, cw_status_name(status), status ? ": " : "",
	       status ? cw_last_error_message() : "");
	cw_message_free(change);
}

int main(void)
{
	Caraway__Book book = CARAWAY__BOOK__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;
	Caraway__Activate activate = CARAWAY__ACTIVATE__INIT;
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	cw_ledger_t *ledger = cw_ledger_new(100);

	if (cw_change_parse(change_file, strlen(change_file), "embedded", &book.content) != CW_OK)
		return 1;
	book.number = review.number = activate.number = 7;
	book.due_ms = 5000;
	book.operator_name = "ilona";
	command.proposed_ms = 1000;
	command.body_case = CARAWAY__COMMAND__BODY_BOOK;
	command.book = &book;
	apply(ledger, &command, "book");
	apply(ledger, &command, "book again");

	command.body_case = CARAWAY__COMMAND__BODY_REVIEW;
	command.review = &review;
	review.operator_name = "ilona";
	apply(ledger, &command, "review by the booker");
	review.operator_name = "bence";
	apply(ledger, &command, "review by another");

	command.body_case = CARAWAY__COMMAND__BODY_ACTIVATE;
	command.activate = &activate;
	apply(ledger, &command, "activate early");
	command.proposed_ms = cw_ledger_next_due_ms(ledger);
	apply(ledger, &command, "activate when due");
	printf("version %d\n", (int)cw_feed_version(cw_ledger_feed(ledger)));

	cw_message_free(book.content);
	cw_ledger_free(ledger);
	return 0;
}
