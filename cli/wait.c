/* Waiting, with progress on standard error, until something is in force. */
#include "wait.h"

#include <inttypes.h>
#include <stdio.h>

#include "clock.h"
#include "due.h"
#include "queries.h"
#include "render.h"

enum { POLL_MS = 250, US_PER_MS = 1000 };

/* How far a wait has come. */
typedef struct {
	int64_t deadline_ms; /* INT64_MAX: none */
	char *shown;	     /* the last line of progress */
} progress_t;

/* Starts a wait of at most limit_ms; 0 for no limit. */
static progress_t progress_start(uint32_t limit_ms)
{
	return (progress_t){.deadline_ms = limit_ms ? clock_now_ms() + limit_ms : INT64_MAX};
}

/* Prints a line of progress unless it was the last one; takes the line over. */
static void progress_show(progress_t *progress, char *line)
{
	if (g_strcmp0(progress->shown, line) != 0)
		fprintf(stderr, "%s\n", line);
	g_free(progress->shown);
	progress->shown = line;
}

/* Sleeps until the next look; false when the wait is over. */
static bool progress_pause(const progress_t *progress)
{
	if (clock_now_ms() + POLL_MS > progress->deadline_ms)
		return false;
	g_usleep(POLL_MS * US_PER_MS);
	return true;
}

/* Ends a wait; a wait that was cut short fails with what was last seen. */
static cw_status_t progress_end(progress_t *progress, bool done, cw_status_t status)
{
	if (!done && status == CW_OK)
		status = cw_fail(CW_ERR_TIMEOUT, "the wait is over; last seen: %s", progress->shown);
	g_free(progress->shown);
	return status;
}

/* Counts the VMs whose proxies have reported at least a version. */
static size_t count_holders(const Caraway__OperatorReply *reply, uint64_t version)
{
	size_t holders = 0;

	for (size_t i = 0; i < reply->n_vms; i++)
		if (reply->vms[i]->reported && reply->vms[i]->version >= version)
			holders++;
	return holders;
}

/* Looks whether a change in force is held by every proxy it selects. */
static cw_status_t look_at_holders(session_t *session, const Caraway__Change *change, progress_t *progress,
				   bool *done)
{
	const char *selector = change->content ? change->content->selector : "";
	Caraway__OperatorReply *reply;
	cw_status_t status = query_fetch_in_force(session, selector, "", &reply);

	if (status == CW_OK) {
		size_t holders = count_holders(reply, change->version);

		*done = holders == reply->n_vms;
		progress_show(progress,
			      g_strdup_printf("change %" PRIu64 ": version %" PRIu64
					      " held by %zu of %zu selected proxies",
					      change->number, change->version, holders, reply->n_vms));
	}
	cw_message_free(reply);
	return status;
}

/* Looks at a change once. */
static cw_status_t look_at_change(session_t *session, const Caraway__Change *change, progress_t *progress,
				  bool *done)
{
	g_autofree char *due = due_text(change->due_ms);

	switch (change->state) {
	case CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE:
		return look_at_holders(session, change, progress, done);
	case CARAWAY__CHANGE_STATE__CHANGE_REFUSED:
		return cw_fail(CW_ERR_CHECK, "change %" PRIu64 " is refused: %s", change->number,
			       change->refusal);
	case CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN:
		return cw_fail(CW_ERR_STATE, "change %" PRIu64 " is withdrawn by %s", change->number,
			       change->withdrawn_by);
	default:
		progress_show(progress, g_strdup_printf("change %" PRIu64 ": %s, due %s", change->number,
							render_state_word(change->state), due));
		return CW_OK;
	}
}

/* Fetches a change and looks at it once. */
static cw_status_t step_change(session_t *session, uint64_t number, progress_t *progress, bool *done)
{
	Caraway__OperatorReply *reply;
	cw_status_t status = query_fetch_change(session, number, &reply);

	if (status == CW_OK)
		status = look_at_change(session, reply->changes[0], progress, done);
	cw_message_free(reply);
	return status;
}

/* Waits until a change is in force on every proxy it selects. */
cw_status_t wait_change(session_t *session, uint64_t number, uint32_t limit_ms)
{
	progress_t progress = progress_start(limit_ms);
	cw_status_t status;
	bool done = false;

	do
		status = step_change(session, number, &progress, &done);
	while (status == CW_OK && !done && progress_pause(&progress));
	return progress_end(&progress, done, status);
}

/* Looks once whether the proxy of a VM holds the version in force. */
static cw_status_t step_vm(session_t *session, const char *vm, progress_t *progress, bool *done)
{
	Caraway__OperatorReply *reply;
	cw_status_t status = query_fetch_in_force(session, "", "", &reply);

	for (size_t i = 0; status == CW_OK && i < reply->n_vms; i++) {
		const Caraway__VmInForce *entry = reply->vms[i];

		if (g_strcmp0(entry->vm->name, vm) != 0)
			continue;
		*done = entry->reported && entry->version >= entry->wanted;
		progress_show(progress, g_strdup_printf("%s: holds version %" PRIu64 " of %" PRIu64, vm,
							entry->version, entry->wanted));
	}
	cw_message_free(reply);
	return status;
}

/* Waits until the proxy of a VM holds the version in force. */
cw_status_t wait_vm(session_t *session, const char *vm, uint32_t limit_ms)
{
	progress_t progress = progress_start(limit_ms);
	cw_status_t status;
	bool done = false;

	do
		status = step_vm(session, vm, &progress, &done);
	while (status == CW_OK && !done && progress_pause(&progress));
	return progress_end(&progress, done, status);
}
