/* An operator who books one change after another, and a second one who reviews each. */
#include "operator.h"

#include <stdio.h>
#include <string.h>

enum {
	MAX_PAUSE_MS = 1200, /* between two changes */
	RETRY_MS = 200,
	POLL_INTERVAL_MS = 20 /* while paused */
};

struct operators {
	cluster_t *cluster;
	soak_shared_t *shared;
	char *change_file; /* path of the change to book */
	GThread *thread;
	GRand *rand;
	GAsyncQueue *errors; /* char *, see operators_next_error() */
	_Atomic bool paused;
	_Atomic bool idle;
	_Atomic bool stop;
};

/* Errors after which a command is sent again: its outcome is unknown, or it had no effect. */
static const char *const retryable_reasons[] = {"no-quorum", "unknown-outcome", "not-leader",
						"timeout",   "disk-full",	"io"};

/* Writes the file of a change, whose route /turn/N replaces that of the previous change. */
static void write_change(const operators_t *operators, int change)
{
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_append_printf(text, "[change]\ntitle=Turn %d\nselector=region=eszak\n", change);
	for (int i = 0; change == 1 && i < SOAK_SERVICES; i++)
		g_string_append_printf(text, "[service s%d]\n[route s%d]\npath=/s%d\nservice=s%d\n", i, i, i,
				       i);
	g_string_append_printf(text, "[route turn]\npath=/turn/%d\nservice=s%d\n", change,
			       change % SOAK_SERVICES);
	if (!g_file_set_contents(operators->change_file, text->str, -1, NULL))
		g_async_queue_push(operators->errors, g_strdup("cannot write the file of the change"));
}

/* Returns whether the output of a failed command has an error after which it is sent again. */
static bool is_retryable(const char *output)
{
	for (size_t i = 0; i < G_N_ELEMENTS(retryable_reasons); i++)
		if (strstr(output, retryable_reasons[i]))
			return true;
	return false;
}

/* Sends a command until it is acknowledged; returns false when it is refused or the operators stop. */
static bool send_until_acknowledged(operators_t *operators, const char *const *arguments)
{
	while (!atomic_load(&operators->stop)) {
		g_autoptr(GString) output = g_string_new(NULL);

		if (!cluster_run_carawayctl(operators->cluster, arguments, output))
			return true;
		if (!is_retryable(output->str)) {
			g_async_queue_push(operators->errors,
					   g_strdup_printf("%s refused: %s", arguments[3], output->str));
			return false;
		}
		g_usleep(RETRY_MS * SOAK_US_PER_MS);
	}
	return false;
}

/* Books and reviews a change; returns whether both were acknowledged. */
static bool book_and_review(operators_t *operators, int change)
{
	g_autofree char *number = g_strdup_printf("%d", change);
	const char *book[] = {"--timeout=2", "--operator", "anna",  "book", operators->change_file,
			      "--number",    number,	   "--due", "now",  NULL};
	const char *review[] = {"--timeout=2", "--operator", "bela", "review", number, NULL};

	write_change(operators, change);
	if (!send_until_acknowledged(operators, book))
		return false;
	atomic_store(&operators->shared->reviewed_change, change);
	return send_until_acknowledged(operators, review);
}

/* Makes changes, with random pauses, until stopped; makes none while paused. */
static void *run_operators(void *data)
{
	operators_t *operators = data;
	int change = 1;

	while (!atomic_load(&operators->stop)) {
		if (atomic_load(&operators->paused)) {
			atomic_store(&operators->idle, true);
			g_usleep(POLL_INTERVAL_MS * SOAK_US_PER_MS);
			continue;
		}
		atomic_store(&operators->idle, false);
		if (book_and_review(operators, change))
			atomic_store(&operators->shared->newest_change, change++);
		g_usleep((gulong)g_rand_int_range(operators->rand, 1, MAX_PAUSE_MS) * SOAK_US_PER_MS);
	}
	return NULL;
}

operators_t *operators_start(cluster_t *cluster, soak_shared_t *shared, const char *folder, uint32_t seed)
{
	operators_t *operators = g_new0(operators_t, 1);

	operators->cluster = cluster;
	operators->shared = shared;
	operators->change_file = g_build_filename(folder, "turn.ini", NULL);
	operators->rand = g_rand_new_with_seed(seed);
	operators->errors = g_async_queue_new_full(g_free);
	operators->thread = g_thread_new("operators", run_operators, operators);
	return operators;
}

void operators_pause(operators_t *operators, bool paused)
{
	atomic_store(&operators->idle, false);
	atomic_store(&operators->paused, paused);
}

bool operators_idle(const operators_t *operators)
{
	return atomic_load(&operators->idle);
}

char *operators_next_error(operators_t *operators)
{
	return g_async_queue_try_pop(operators->errors);
}

void operators_stop(operators_t *operators)
{
	atomic_store(&operators->stop, true);
	g_thread_join(operators->thread);
	g_async_queue_unref(operators->errors);
	g_rand_free(operators->rand);
	g_free(operators->change_file);
	g_free(operators);
}
