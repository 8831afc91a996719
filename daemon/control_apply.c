/*
 * Applies the committed entries of the log to the ledger, in order.  One that is too
 * large for the present iteration of the event loop goes on in the next ones; what
 * follows it, confirmed reads too, waits.
 */
#include <inttypes.h>

#include "clock.h"
#include "control.h"
#include "counters.h"

enum { BYTES_PER_SECTION = 250 /* that unpacking costs as much as a section */ };

/* A committed entry, or a read that is answered once the entries before it have been applied. */
typedef struct {
	Caraway__Entry *entry; /* NULL: a read */
	uint64_t cookie;       /* of the read */
} apply_item_t;

/* Frees an item. */
static void item_free(gpointer data)
{
	apply_item_t *item = data;

	cw_message_free(item->entry);
	g_free(item);
}

/* Gives up the entry that is being applied; it is begun anew, unless its item is removed as well. */
void control_apply_restart(control_t *control)
{
	cw_ledger_job_free(control->apply_job);
	control->apply_job = NULL;
}

/*
 * Completes the pending request at this log index: with the outcome, or with
 * an error when the entry of another leader has replaced its entry.
 */
static void finish_entry(control_t *control, const Caraway__Entry *entry, cw_status_t status,
			 const Caraway__Change *change)
{
	pending_request_t *pending = g_hash_table_lookup(control->pending_by_index, &entry->index);

	if (!pending)
		return;
	if (pending->term != entry->term) {
		control_finish_pending(control, pending, CW_ERR_NOT_LEADER,
				       "another replica became leader; the command was not executed", NULL);
		return;
	}
	counter_add(status == CW_OK ? COUNTER_COMMAND_ACCEPTED : COUNTER_COMMAND_REFUSED, 1);
	control_finish_pending(control, pending, status, status == CW_OK ? "" : cw_last_error_message(),
			       change);
}

/* Subtracts the handling of a packed command from the budget of this iteration. */
void control_spend_on_command(control_t *control, size_t length)
{
	control->apply_budget -= MIN(control->apply_budget, length / BYTES_PER_SECTION);
}

/* Begins to apply the command of an entry; CW_ERR_DECODE. */
static cw_status_t begin_command(control_t *control, const Caraway__Entry *entry)
{
	Caraway__Command *command = caraway__command__unpack(NULL, entry->data.len, entry->data.data);

	control_spend_on_command(control, entry->data.len);

	if (!command)
		return cw_fail(CW_ERR_DECODE, "log entry %" PRIu64 " cannot be decoded", entry->index);
	control->apply_job = cw_ledger_job_new(control->ledger, command);
	return CW_OK;
}

/* Applies the command of an entry as far as the budget lasts; returns whether it has been applied. */
static bool continue_command(control_t *control, const Caraway__Entry *entry)
{
	int64_t start_ms = clock_now_ms();
	Caraway__Change *change = NULL;
	cw_status_t status = CW_OK;
	bool ready = true;

	if (!control->apply_job)
		status = begin_command(control, entry);
	if (!status)
		ready = cw_ledger_job_continue(control->apply_job, &control->apply_budget);
	if (!status && ready)
		status = cw_ledger_job_finish(g_steal_pointer(&control->apply_job), &change);
	control_add_work(control, WORK_APPLY, start_ms);
	if (!ready)
		return false;
	control->applied_index = entry->index;
	finish_entry(control, entry, status, change);
	cw_message_free(change);
	return true;
}

/* Carries out an item as far as the budget lasts; returns whether it has been. */
static bool continue_item(control_t *control, const apply_item_t *item)
{
	if (!item->entry) {
		control_finish_read(control, item->cookie);
		return true;
	}
	if (item->entry->kind == CARAWAY__ENTRY_KIND__ENTRY_COMMAND)
		return continue_command(control, item->entry);
	control->applied_index = item->entry->index;
	finish_entry(control, item->entry, CW_OK, NULL);
	return true;
}

/* Carries out the waiting items while the budget lasts.  The outcome of one may lead to others. */
void control_apply_continue(control_t *control)
{
	if (control->applying)
		return;
	control->applying = true;
	while (control->apply_budget && control->apply_items.length) {
		apply_item_t *item = control->apply_items.head->data;

		control->apply_budget--;
		if (!continue_item(control, item))
			break;
		item_free(g_queue_pop_head(&control->apply_items));
	}
	control->applying = false;
}

/* Adds an item and carries out what the budget allows. */
static void add_item(control_t *control, Caraway__Entry *entry, uint64_t cookie)
{
	apply_item_t *item = g_new(apply_item_t, 1);

	*item = (apply_item_t){.entry = entry, .cookie = cookie};
	g_queue_push_tail(&control->apply_items, item);
	control_apply_continue(control);
}

/*
 * Applies a committed entry; Raft itself handles membership entries.  After a
 * storage failure, such as a full disk, the recreated Raft state machine delivers
 * entries again that were delivered before.
 */
void control_apply_entry(control_t *control, const Caraway__Entry *entry)
{
	if (entry->index <= control->delivered_index)
		return;
	control->delivered_index = entry->index;
	add_item(control, cw_message_copy(&entry->base), 0);
}

/* Answers a confirmed read once the entries delivered before it have been applied. */
void control_apply_read(control_t *control, uint64_t cookie)
{
	add_item(control, NULL, cookie);
}

/* Gives up what waits to be applied, as a snapshot covers it; the ledger has applied all up to index. */
void control_apply_reset(control_t *control, uint64_t index)
{
	control_apply_restart(control);
	g_queue_clear_full(&control->apply_items, item_free);
	control->applied_index = index;
	control->delivered_index = index;
}
