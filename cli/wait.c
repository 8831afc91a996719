/* Implements --wait: polls until a change or a version is in force, with progress on standard error. */
#include "wait.h"

#include <inttypes.h>
#include <stdio.h>

#include "clock.h"
#include "due.h"
#include "queries.h"
#include "render.h"

enum { POLL_MS = 250, US_PER_MS = 1000 };

/* The deadline and the progress output of one wait. */
typedef struct {
	int64_t deadline_ms; /* monotonic; INT64_MAX: no timeout */
	char *last_line;     /* the last progress line printed; NULL: none yet */
} progress_t;

/* Starts a wait with a timeout of timeout_ms; 0 for no timeout. */
static progress_t progress_init(uint32_t timeout_ms)
{
	return (progress_t){.deadline_ms = timeout_ms ? clock_now_ms() + timeout_ms : INT64_MAX};
}

/* Prints a progress line unless it equals the last one; takes ownership of the line. */
static void progress_print(progress_t *progress, char *line)
{
	if (g_strcmp0(progress->last_line, line) != 0)
		fprintf(stderr, "%s\n", line);
	g_free(progress->last_line);
	progress->last_line = line;
}

/* Sleeps until the next poll; returns false when the deadline would pass before it. */
static bool progress_sleep(const progress_t *progress)
{
	if (clock_now_ms() + POLL_MS > progress->deadline_ms)
		return false;
	g_usleep(POLL_MS * US_PER_MS);
	return true;
}

/* Ends a wait and returns its status.  CW_ERR_TIMEOUT with the last progress line when it timed out. */
static cw_status_t progress_finish(progress_t *progress, bool done, cw_status_t status)
{
	if (!done && status == CW_OK)
		status = cw_fail(CW_ERR_TIMEOUT, "wait timed out; last progress: %s", progress->last_line);
	g_free(progress->last_line);
	return status;
}

/* Counts the VMs whose proxies have reported a version of at least the given one. */
static size_t count_proxies_at_version(const Caraway__OperatorReply *reply, uint64_t version)
{
	size_t up_to_date = 0;

	for (size_t i = 0; i < reply->n_vms; i++)
		if (reply->vms[i]->reported && reply->vms[i]->version >= version)
			up_to_date++;
	return up_to_date;
}

/* Checks whether every proxy that a change selects holds its version. */
static cw_status_t check_proxies(session_t *session, const Caraway__Change *change, progress_t *progress,
				 bool *done)
{
	const char *selector = change->content ? change->content->selector : "";
	Caraway__OperatorReply *reply;
	cw_status_t status = query_fetch_in_force(session, selector, "", &reply);

	if (status == CW_OK) {
		size_t up_to_date = count_proxies_at_version(reply, change->version);

		*done = up_to_date == reply->n_vms;
		progress_print(progress,
			       g_strdup_printf("change %" PRIu64 ": version %" PRIu64
					       " held by %zu of %zu selected proxies",
					       change->number, change->version, up_to_date, reply->n_vms));
	}
	cw_message_free(reply);
	return status;
}

/* Checks the state of a change, and when it is in force also the proxies. */
static cw_status_t check_change(session_t *session, const Caraway__Change *change, progress_t *progress,
				bool *done)
{
	g_autofree char *due = due_format(change->due_ms);

	switch (change->state) {
	case CARAWAY__CHANGE_STATE__CHANGE_IN_FORCE:
		return check_proxies(session, change, progress, done);
	case CARAWAY__CHANGE_STATE__CHANGE_REFUSED:
		return cw_fail(CW_ERR_CHECK, "change %" PRIu64 " is refused: %s", change->number,
			       change->refusal);
	case CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN:
		return cw_fail(CW_ERR_STATE, "change %" PRIu64 " is withdrawn by %s", change->number,
			       change->withdrawn_by);
	default:
		progress_print(progress, g_strdup_printf("change %" PRIu64 ": %s, due %s", change->number,
							 render_state_name(change->state), due));
		return CW_OK;
	}
}

/* Fetches a change and checks it once. */
static cw_status_t poll_change(session_t *session, uint64_t number, progress_t *progress, bool *done)
{
	Caraway__OperatorReply *reply;
	cw_status_t status = query_fetch_change(session, number, &reply);

	if (status == CW_OK)
		status = check_change(session, reply->changes[0], progress, done);
	cw_message_free(reply);
	return status;
}

/* Waits until a change is in force on every proxy it selects. */
cw_status_t wait_change(session_t *session, uint64_t number, uint32_t timeout_ms)
{
	progress_t progress = progress_init(timeout_ms);
	cw_status_t status;
	bool done = false;

	do
		status = poll_change(session, number, &progress, &done);
	while (status == CW_OK && !done && progress_sleep(&progress));
	return progress_finish(&progress, done, status);
}

/* Checks once whether the proxy of a VM holds the version in force. */
static cw_status_t poll_vm(session_t *session, const char *vm, progress_t *progress, bool *done)
{
	Caraway__OperatorReply *reply;
	cw_status_t status = query_fetch_in_force(session, "", "", &reply);

	for (size_t i = 0; status == CW_OK && i < reply->n_vms; i++) {
		const Caraway__VmInForce *entry = reply->vms[i];

		if (g_strcmp0(entry->vm->name, vm) != 0)
			continue;
		*done = entry->reported && entry->version >= entry->wanted;
		progress_print(progress,
			       g_strdup_printf("%s: proxy holds version %" PRIu64 ", in force is %" PRIu64,
					       vm, entry->version, entry->wanted));
	}
	cw_message_free(reply);
	return status;
}

/* Waits until the proxy of a VM holds the version in force. */
cw_status_t wait_vm(session_t *session, const char *vm, uint32_t timeout_ms)
{
	progress_t progress = progress_init(timeout_ms);
	cw_status_t status;
	bool done = false;

	do
		status = poll_vm(session, vm, &progress, &done);
	while (status == CW_OK && !done && progress_sleep(&progress));
	return progress_finish(&progress, done, status);
}
