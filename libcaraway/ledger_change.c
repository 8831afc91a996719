/* State transitions of a change: booked, reviewed, withdrawn, put in force. */
#include "ledger.h"

#include <string.h>

#define NUMBER_FORMAT "%" G_GUINT64_FORMAT

enum { OPERATOR_MAX_BYTES = 128, MAX_OPEN_CHANGES = 200000 };

static const char *const state_names[] = {"not booked", "booked",  "accepted",
					  "in force",	"refused", "withdrawn"};

/* Returns when an accepted change is due, UTC ms: the later of its due time and its review. */
int64_t change_effective_due_ms(const Caraway__Change *change)
{
	return MAX(change->due_ms, change->reviewed_ms);
}

/* Returns the digest of a content, given by its own, and its due time. */
static uint64_t digest_with_due(uint64_t content_digest, int64_t due_ms)
{
	return cw_hash(&due_ms, sizeof(due_ms), content_digest);
}

/* Returns the digest of a content and its due time. */
uint64_t change_digest(const Caraway__Content *content, int64_t due_ms)
{
	return digest_with_due(cw_content_digest(content), due_ms);
}

/* Replaces a string field of a message. */
static void set_text(char **field, const char *text)
{
	if (*field != (char *)protobuf_c_empty_string)
		free(*field);
	*field = strdup(text);
}

/* Checks an operator's name; CW_ERR_USAGE. */
cw_status_t ledger_check_operator(const char *name)
{
	size_t length = strlen(name);

	if (!length || length > OPERATOR_MAX_BYTES || !g_utf8_validate(name, -1, NULL))
		return cw_fail(CW_ERR_USAGE,
			       "the operator's name is missing, longer than %d bytes or not UTF-8",
			       OPERATOR_MAX_BYTES);
	return CW_OK;
}

/* Fails with CW_ERR_STATE and a message that gives a change's state. */
static cw_status_t fail_for_state(const Caraway__Change *change)
{
	switch (change->state) {
	case CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED:
		return cw_fail(CW_ERR_STATE, "change " NUMBER_FORMAT " is accepted, reviewed by %s",
			       change->number, change->reviewed_by);
	case CARAWAY__CHANGE_STATE__CHANGE_REFUSED:
		return cw_fail(CW_ERR_STATE, "change " NUMBER_FORMAT " is refused: %s", change->number,
			       change->refusal);
	case CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN:
		return cw_fail(CW_ERR_STATE, "change " NUMBER_FORMAT " is withdrawn by %s", change->number,
			       change->withdrawn_by);
	default:
		return cw_fail(CW_ERR_STATE, "change " NUMBER_FORMAT " is %s", change->number,
			       state_names[change->state]);
	}
}

/* Finds a change that is not archived; CW_ERR_NOT_FOUND, or CW_ERR_STATE when it is archived. */
static cw_status_t find_change(const cw_ledger_t *ledger, uint64_t number, Caraway__Change **change)
{
	const archived_t *archived;

	*change = ledger_find(ledger, number);
	if (*change)
		return CW_OK;
	archived = archive_find(ledger->archive, number);
	if (!archived)
		return cw_fail(CW_ERR_NOT_FOUND, "no change has number " NUMBER_FORMAT, number);
	return cw_fail(CW_ERR_STATE, "change " NUMBER_FORMAT " is %s and archived", number,
		       state_names[archive_state(archived)]);
}

/* Handles a booking of a number in use: an identical booking succeeds again, others get CW_ERR_CONFLICT. */
static cw_status_t repeat_booking(const Caraway__Change *change, const Caraway__Book *book)
{
	if (change->digest == change_digest(book->content, book->due_ms) && change->due_ms == book->due_ms &&
	    !strcmp(change->booked_by, book->operator_name))
		return CW_OK;
	return cw_fail(CW_ERR_CONFLICT,
		       "change " NUMBER_FORMAT " was already booked by %s, due %" G_GINT64_FORMAT
		       " ms, digest %016" G_GINT64_MODIFIER "x; book under another number",
		       change->number, change->booked_by, change->due_ms, change->digest);
}

/* Handles a booking of an archived number like repeat_booking(). */
static cw_status_t repeat_archived_booking(const archived_t *archived, const Caraway__Book *book)
{
	uint64_t digest = change_digest(book->content, book->due_ms);

	if (archive_matches_booking(archived, archive_booking_hash(digest, book->operator_name)))
		return CW_OK;
	return cw_fail(CW_ERR_CONFLICT,
		       "change " NUMBER_FORMAT
		       " was booked with another content, due time or booker and is %s and archived; "
		       "book under another number",
		       archived->number, state_names[archive_state(archived)]);
}

/* Checks the fields of a booking; CW_ERR_USAGE, CW_ERR_CHANGE_FILE or CW_ERR_SELECTOR. */
static cw_status_t check_book(const Caraway__Book *book)
{
	cw_status_t status = ledger_check_operator(book->operator_name);

	if (status)
		return status;
	if (!book->number || book->due_ms < 0 || !book->content)
		return cw_fail(CW_ERR_USAGE, "a booking needs a number, a due time and a content");
	if (book->number >= FIRST_RELEASE_NUMBER)
		return cw_fail(CW_ERR_USAGE,
			       "numbers from " NUMBER_FORMAT " on are reserved for complete configurations",
			       FIRST_RELEASE_NUMBER);
	return cw_content_check(book->content);
}

/* Returns a new change in the state booked. */
static Caraway__Change *change_new(uint64_t number, const char *operator_name,
				   const Caraway__Content *content, int64_t due_ms, int64_t at_ms)
{
	Caraway__Change *change = malloc(sizeof(*change));

	caraway__change__init(change);
	change->number = number;
	change->state = CARAWAY__CHANGE_STATE__CHANGE_BOOKED;
	set_text(&change->booked_by, operator_name);
	change->booked_ms = at_ms;
	change->due_ms = due_ms;
	change->content = cw_message_copy(&content->base);
	change->digest = change_digest(change->content, change->due_ms);
	return change;
}

/* Books a change under an unused number; repeating an identical booking succeeds. */
cw_status_t ledger_book(cw_ledger_t *ledger, const Caraway__Book *book, int64_t at_ms)
{
	const archived_t *archived = archive_find(ledger->archive, book->number);
	Caraway__Change *change;
	cw_status_t status = check_book(book);

	if (status)
		return status;
	change = ledger_find(ledger, book->number);
	if (change)
		return repeat_booking(change, book);
	if (archived)
		return repeat_archived_booking(archived, book);
	if (ledger->open_count >= MAX_OPEN_CHANGES)
		return cw_fail(CW_ERR_FULL, "the limit of %d unfinished changes is reached",
			       MAX_OPEN_CHANGES);
	ledger_add(ledger, change_new(book->number, book->operator_name, book->content, book->due_ms, at_ms));
	return CW_OK;
}

/* Handles a review of a reviewed change: its reviewer gets the same result, others get CW_ERR_STATE. */
static cw_status_t repeat_review(const Caraway__Change *change, const char *operator_name)
{
	if (!*change->reviewed_by || strcmp(change->reviewed_by, operator_name) != 0)
		return fail_for_state(change);
	return change->accepted ? CW_OK : cw_fail(CW_ERR_CHECK, "%s", change->refusal);
}

/*
 * Puts a change into the final state refused, with the last error message as
 * the reason.  The message becomes part of the replicated state.
 */
static cw_status_t refuse_change(cw_ledger_t *ledger, Caraway__Change *change)
{
	set_text(&change->refusal, cw_last_error_message());
	ledger_finish(ledger, change, CARAWAY__CHANGE_STATE__CHANGE_REFUSED);
	return CW_ERR_CHECK;
}

/* Accepts a change and moves its content to the feed. */
static void accept_change(cw_ledger_t *ledger, Caraway__Change *change)
{
	change->accepted = true;
	change->state = CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED;
	schedule_add(ledger->schedule, change, change->content);
	cw_feed_stage(ledger->feed, change->number, change->content);
	cw_message_free(change->content);
	change->content = NULL;
}

/*
 * Accepts a booked change when the configurations of the VMs that it selects
 * are valid from its due time on; refuses it otherwise.
 */
cw_status_t ledger_review(cw_ledger_t *ledger, const Caraway__Review *review, int64_t at_ms)
{
	Caraway__Change *change;
	cw_status_t status = ledger_check_operator(review->operator_name);

	if (!status)
		status = find_change(ledger, review->number, &change);
	if (status)
		return status;
	if (change->state != CARAWAY__CHANGE_STATE__CHANGE_BOOKED)
		return repeat_review(change, review->operator_name);
	if (!strcmp(change->booked_by, review->operator_name))
		return cw_fail(CW_ERR_SAME_OPERATOR,
			       "change " NUMBER_FORMAT " was booked by %s; another operator must review it",
			       change->number, change->booked_by);
	set_text(&change->reviewed_by, review->operator_name);
	change->reviewed_ms = at_ms;
	if (schedule_check_add(ledger->schedule, ledger->feed, change, change->content))
		return refuse_change(ledger, change);
	accept_change(ledger, change);
	return CW_OK;
}

/*
 * Removes an accepted change from the schedule, and moves its content back from the feed, when the later
 * ones are valid without it; CW_ERR_CHECK.
 */
static cw_status_t unschedule(cw_ledger_t *ledger, Caraway__Change *change)
{
	Caraway__Content *content = cw_feed_copy_staged_content(ledger->feed, change->number);
	cw_status_t status = schedule_check_remove(ledger->schedule, ledger->feed, change, content);

	if (status) {
		cw_message_free(content);
		return status;
	}
	schedule_remove(ledger->schedule, change, content);
	cw_feed_drop(ledger->feed, change->number);
	change->content = content;
	return CW_OK;
}

/* Withdraws a change that is not in force yet; succeeds again when the same operator repeats it. */
cw_status_t ledger_withdraw(cw_ledger_t *ledger, const Caraway__Withdraw *withdraw)
{
	Caraway__Change *change;
	cw_status_t status = ledger_check_operator(withdraw->operator_name);

	if (!status)
		status = find_change(ledger, withdraw->number, &change);
	if (status)
		return status;
	if (change->state == CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN &&
	    !strcmp(change->withdrawn_by, withdraw->operator_name))
		return CW_OK;
	if (change->finished)
		return fail_for_state(change);
	if (change->state == CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED)
		status = unschedule(ledger, change);
	if (status)
		return status;
	set_text(&change->withdrawn_by, withdraw->operator_name);
	ledger_finish(ledger, change, CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN);
	return CW_OK;
}

/* Checks, on a copy of the catalog in force, the references from and to the sections of a change. */
static cw_status_t check_against_catalog(const cw_catalog_t *catalog, const Caraway__Change *change)
{
	cw_catalog_t *copy = cw_catalog_copy(catalog);
	cw_status_t status;

	cw_catalog_apply(copy, change->content, change->number, cw_catalog_version(copy) + 1);
	status = cw_catalog_check_content(copy, change->content);
	cw_catalog_free(copy);
	return status;
}

/* Puts the first change of the schedule in force, or refuses it when it no longer passes the check. */
static cw_status_t activate_first(cw_ledger_t *ledger, Caraway__Change *change, int64_t at_ms)
{
	cw_status_t status;

	change->content = cw_feed_copy_staged_content(ledger->feed, change->number);
	status = check_against_catalog(cw_feed_catalog(ledger->feed), change);
	schedule_remove(ledger->schedule, change, change->content);
	if (status) {
		cw_feed_drop(ledger->feed, change->number);
		return refuse_change(ledger, change);
	}
	status = cw_feed_activate(ledger->feed, change->number, change->due_ms, at_ms);
	if (status)
		g_error("accepted change " NUMBER_FORMAT " is not staged", change->number);
	change->in_force_ms = at_ms;
	change->version = cw_feed_version(ledger->feed);
	ledger_finish(ledger, change, CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE);
	return CW_OK;
}

/* Returns the change that a replacement is recorded as, without its digest; takes its content. */
static Caraway__Change *change_of_replacement(Caraway__Replace *replace, int64_t at_ms)
{
	Caraway__Change *change = malloc(sizeof(*change));

	caraway__change__init(change);
	change->number = FIRST_RELEASE_NUMBER + replace->release;
	set_text(&change->booked_by, replace->operator_name);
	change->booked_ms = at_ms;
	change->due_ms = at_ms;
	set_text(&change->reviewed_by, replace->approval);
	change->reviewed_ms = at_ms;
	change->accepted = true;
	change->state = CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED;
	change->content = g_steal_pointer(&replace->content);
	return change;
}

/*
 * Books, accepts and activates a complete configuration's difference in one step, or changes
 * nothing when an accepted change would fail after it; CW_ERR_CHECK.  The catalog
 * is that in force with the difference applied and checked; takes ownership of it
 * and of the content of the command.
 */
cw_status_t ledger_put_in_force(cw_ledger_t *ledger, Caraway__Command *command, cw_catalog_t *catalog)
{
	int64_t at_ms = command->proposed_ms;
	Caraway__Change *change = change_of_replacement(command->replace, at_ms);

	if (schedule_first(ledger->schedule) &&
	    schedule_check_add(ledger->schedule, ledger->feed, change, change->content)) {
		cw_message_free(change);
		cw_catalog_free(catalog);
		return CW_ERR_CHECK;
	}
	ledger_apply_account_keys(ledger, change->content, command->replace);
	ledger_add(ledger, change);
	change->digest = digest_with_due(cw_feed_stage(ledger->feed, change->number, change->content), at_ms);
	cw_feed_activate_checked(ledger->feed, change->number, change->due_ms, at_ms, catalog);
	schedule_forget_valid_vms(ledger->schedule);
	change->in_force_ms = at_ms;
	change->version = cw_feed_version(ledger->feed);
	ledger_finish(ledger, change, CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE);
	ledger_record_release(ledger, command->replace);
	return CW_OK;
}

/* Puts an accepted change in force when it is due and the first of the schedule. */
cw_status_t ledger_activate(cw_ledger_t *ledger, const Caraway__Activate *activate, int64_t at_ms)
{
	Caraway__Change *change;
	uint64_t first_due = cw_ledger_due_change(ledger, at_ms);
	cw_status_t status = find_change(ledger, activate->number, &change);

	if (status)
		return status;
	if (change->state == CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE)
		return CW_OK;
	if (change->state != CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED)
		return fail_for_state(change);
	if (!first_due)
		return cw_fail(CW_ERR_STATE, "change " NUMBER_FORMAT " is not due", change->number);
	if (first_due != change->number)
		return cw_fail(CW_ERR_STATE,
			       "change " NUMBER_FORMAT " falls due before change " NUMBER_FORMAT, first_due,
			       change->number);
	return activate_first(ledger, change, at_ms);
}
