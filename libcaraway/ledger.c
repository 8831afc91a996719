/* The ledger: the changes by number, built from the commands of the replicated log. */
#include "ledger.h"

enum { MAX_FINISHED_WITH_CONTENT = 1000, MAX_FINISHED_UNARCHIVED = 40000 };

/* Returns a new, empty ledger whose feed keeps at least the last keep_records records for its children. */
cw_ledger_t *cw_ledger_new(size_t keep_records)
{
	cw_ledger_t *ledger = g_new0(cw_ledger_t, 1);

	ledger->feed = cw_feed_new(keep_records);
	ledger->changes = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, cw_message_free);
	ledger->schedule = schedule_new();
	ledger->finished_with_content = g_queue_new();
	ledger->finished_unarchived = g_queue_new();
	ledger->archive = g_array_new(FALSE, FALSE, sizeof(archived_t));
	ledger->releases = g_array_new(FALSE, FALSE, sizeof(release_t));
	ledger->account_keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_bytes_unref);
	ledger->rollouts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, cw_message_free);
	return ledger;
}

/* Frees a ledger; NULL is allowed. */
void cw_ledger_free(cw_ledger_t *ledger)
{
	if (!ledger)
		return;
	g_queue_free(ledger->finished_with_content);
	g_queue_free(ledger->finished_unarchived);
	g_array_unref(ledger->archive);
	g_array_unref(ledger->releases);
	g_hash_table_destroy(ledger->account_keys);
	g_hash_table_destroy(ledger->rollouts);
	schedule_free(ledger->schedule);
	g_hash_table_destroy(ledger->changes);
	cw_feed_free(ledger->feed);
	g_free(ledger);
}

/* Removes all changes, releases, keys of accounts and roll-outs; the feed is not altered. */
void ledger_reset(cw_ledger_t *ledger)
{
	g_queue_clear(ledger->finished_with_content);
	g_queue_clear(ledger->finished_unarchived);
	g_array_set_size(ledger->archive, 0);
	g_array_set_size(ledger->releases, 0);
	g_hash_table_remove_all(ledger->account_keys);
	g_hash_table_remove_all(ledger->rollouts);
	ledger->rollout_count = 0;
	ledger->rollout_revision++;
	schedule_free(ledger->schedule);
	ledger->schedule = schedule_new();
	g_hash_table_remove_all(ledger->changes);
	ledger->finished_count = 0;
	ledger->open_count = 0;
}

/* Returns the feed; the pointer is valid for as long as the ledger, also across cw_ledger_load(). */
cw_feed_t *cw_ledger_feed(cw_ledger_t *ledger)
{
	return ledger->feed;
}

/* Returns a change by number; NULL when there is none or it is archived. */
Caraway__Change *ledger_find(const cw_ledger_t *ledger, uint64_t number)
{
	return g_hash_table_lookup(ledger->changes, &number);
}

/*
 * Returns a change by number, borrowed; an accepted one has no content here.
 * NULL when there is none or it is archived.
 */
const Caraway__Change *cw_ledger_change(const cw_ledger_t *ledger, uint64_t number)
{
	return ledger_find(ledger, number);
}

/*
 * Returns a copy of a change with its content, freed with cw_message_free(); the copy
 * of an archived one has only the number and the state.  NULL when there is none.
 */
Caraway__Change *cw_ledger_copy_change(const cw_ledger_t *ledger, uint64_t number)
{
	const Caraway__Change *found = ledger_find(ledger, number);
	const archived_t *archived = found ? NULL : archive_find(ledger->archive, number);
	Caraway__Change *change;

	if (found) {
		change = cw_message_copy(&found->base);
		if (found->state == CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED)
			change->content = cw_feed_copy_staged_content(ledger->feed, number);
		return change;
	}
	if (!archived)
		return NULL;
	change = malloc(sizeof(*change));
	caraway__change__init(change);
	change->number = number;
	change->state = archive_state(archived);
	return change;
}

/* Orders changes by number. */
static gint compare_changes(gconstpointer a, gconstpointer b)
{
	const Caraway__Change *left = *(Caraway__Change *const *)a;
	const Caraway__Change *right = *(Caraway__Change *const *)b;

	return left->number < right->number ? -1 : left->number > right->number;
}

/*
 * Returns every change that is not archived, borrowed, accepted ones without
 * their content, ordered by number; the caller frees the array.
 */
GPtrArray *cw_ledger_changes(const cw_ledger_t *ledger)
{
	GPtrArray *changes = g_ptr_array_sized_new(g_hash_table_size(ledger->changes));
	GHashTableIter iter;
	gpointer change;

	g_hash_table_iter_init(&iter, ledger->changes);
	while (g_hash_table_iter_next(&iter, NULL, &change))
		g_ptr_array_add(changes, change);
	g_ptr_array_sort(changes, compare_changes);
	return changes;
}

/* Adds an unfinished change whose number is not in use, and takes ownership of it. */
void ledger_add(cw_ledger_t *ledger, Caraway__Change *change)
{
	g_hash_table_insert(ledger->changes, &change->number, change);
	ledger->open_count++;
}

/* Drops the content of a finished change. */
static void drop_content(Caraway__Change *change)
{
	cw_message_free(change->content);
	change->content = NULL;
}

/* Archives a finished change. */
static void archive_change(cw_ledger_t *ledger, const Caraway__Change *change)
{
	archive_add(ledger->archive, change);
	g_hash_table_remove(ledger->changes, &change->number);
}

/*
 * Sets the final state of a change.  The last MAX_FINISHED_WITH_CONTENT
 * finished changes keep their content, the last MAX_FINISHED_UNARCHIVED their
 * other fields; of older ones the archive keeps what is needed to recognise a
 * repeated booking.
 */
void ledger_finish(cw_ledger_t *ledger, Caraway__Change *change, Caraway__ChangeState state)
{
	change->state = state;
	change->finished = ++ledger->finished_count;
	ledger->open_count--;
	g_queue_push_tail(ledger->finished_with_content, change);
	g_queue_push_tail(ledger->finished_unarchived, change);
	if (g_queue_get_length(ledger->finished_with_content) > MAX_FINISHED_WITH_CONTENT)
		drop_content(g_queue_pop_head(ledger->finished_with_content));
	if (g_queue_get_length(ledger->finished_unarchived) > MAX_FINISHED_UNARCHIVED)
		archive_change(ledger, g_queue_pop_head(ledger->finished_unarchived));
}

/* Returns the number of the change to activate next when it is due at utc_ms; 0 when none is. */
uint64_t cw_ledger_due_change(const cw_ledger_t *ledger, int64_t utc_ms)
{
	const schedule_item_t *first = schedule_first(ledger->schedule);

	return first && first->effective_due_ms <= utc_ms ? first->change->number : 0;
}

/* Returns when the next accepted change is due, UTC ms; INT64_MAX when there is none. */
int64_t cw_ledger_next_due_ms(const cw_ledger_t *ledger)
{
	const schedule_item_t *first = schedule_first(ledger->schedule);

	return first ? first->effective_due_ms : INT64_MAX;
}

/* Applies the body of a command in one part; *number is that of the change concerned, 0 when there is none. */
cw_status_t ledger_apply_body(cw_ledger_t *ledger, const Caraway__Command *command, uint64_t *number)
{
	int64_t at_ms = command->proposed_ms;

	*number = 0;
	switch (command->body_case) {
	case CARAWAY__COMMAND__BODY_BOOK:
		*number = command->book->number;
		return ledger_book(ledger, command->book, at_ms);
	case CARAWAY__COMMAND__BODY_REVIEW:
		*number = command->review->number;
		return ledger_review(ledger, command->review, at_ms);
	case CARAWAY__COMMAND__BODY_WITHDRAW:
		*number = command->withdraw->number;
		return ledger_withdraw(ledger, command->withdraw);
	case CARAWAY__COMMAND__BODY_ACTIVATE:
		*number = command->activate->number;
		return ledger_activate(ledger, command->activate, at_ms);
	case CARAWAY__COMMAND__BODY_SET_LABELS:
		return ledger_set_labels(ledger, command->set_labels);
	case CARAWAY__COMMAND__BODY_REGISTER_VM:
		return ledger_register_vm(ledger, command->register_vm);
	case CARAWAY__COMMAND__BODY_REPLACE:
		return ledger_replace_without_content(ledger, command->replace);
	case CARAWAY__COMMAND__BODY_ROLLOUT_BEGIN:
		return ledger_begin_rollout(ledger, command->rollout_begin, at_ms);
	case CARAWAY__COMMAND__BODY_ROLLOUT_STEP:
		return ledger_step_rollout(ledger, command->rollout_step, at_ms);
	case CARAWAY__COMMAND__BODY_ROLLOUT_VERDICT:
		return ledger_end_rollout(ledger, command->rollout_verdict, at_ms);
	default:
		return cw_fail(CW_ERR_DECODE, "the command is empty or of an unknown kind");
	}
}
