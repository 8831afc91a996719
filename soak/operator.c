/* An operator who books one change after the other, and another who reviews each. */
#include "operator.h"

#include <stdio.h>
#include <string.h>

enum { MAX_PAUSE_MS = 1200, AGAIN_MS = 200, STEP_MS = 20 };

struct operators {
	cluster_t *cluster;
	soak_load_t *load;
	char *file; /* of the change */
	GThread *thread;
	GRand *rand;
	GAsyncQueue *faults; /* char * */
	_Atomic bool paused;
	_Atomic bool idle;
	_Atomic bool stop;
};

/* Answers after which the same command is sent again: the outcome is open, or nothing was done. */
static const char *const open_outcomes[] = {"no-quorum", "unknown-outcome", "not-leader",
					    "timeout",	 "disk-full",	    "io"};

/* Writes the change of a turn: the route that leads to it replaces the one of the turn before. */
static void write_change(const operators_t *operators, int turn)
{
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_append_printf(text, "[change]\ntitle=Turn %d\nselector=region=eszak\n", turn);
	for (int i = 0; turn == 1 && i < SOAK_SERVICES; i++)
		g_string_append_printf(text, "[service s%d]\n[route s%d]\npath=/s%d\nservice=s%d\n", i, i, i,
				       i);
	g_string_append_printf(text, "[route turn]\npath=/turn/%d\nservice=s%d\n", turn,
			       turn % SOAK_SERVICES);
	if (!g_file_set_contents(operators->file, text->str, -1, NULL))
		g_async_queue_push(operators->faults, g_strdup("the change cannot be written"));
}

/* Returns whether the answer leaves open what became of a command. */
static bool is_open(const char *answer)
{
	for (size_t i = 0; i < G_N_ELEMENTS(open_outcomes); i++)
		if (strstr(answer, open_outcomes[i]))
			return true;
	return false;
}

/* Sends a command until it is acknowledged; false when told to stop before. */
static bool insist(operators_t *operators, const char *const *arguments)
{
	while (!atomic_load(&operators->stop)) {
		g_autoptr(GString) out = g_string_new(NULL);

		if (!cluster_ctl(operators->cluster, arguments, out))
			return true;
		if (!is_open(out->str)) {
			g_async_queue_push(operators->faults,
					   g_strdup_printf("%s refused: %s", arguments[3], out->str));
			return false;
		}
		g_usleep(AGAIN_MS * SOAK_US_PER_MS);
	}
	return false;
}

/* Books and reviews the change of a turn. */
static bool make_turn(operators_t *operators, int turn)
{
	g_autofree char *number = g_strdup_printf("%d", turn);
	const char *book[] = {"--timeout=2", "--operator", "anna",  "book", operators->file,
			      "--number",    number,	   "--due", "now",  NULL};
	const char *review[] = {"--timeout=2", "--operator", "bela", "review", number, NULL};

	write_change(operators, turn);
	if (!insist(operators, book))
		return false;
	atomic_store(&operators->load->reviewed_turn, turn);
	return insist(operators, review);
}

/* Makes changes until told to stop. */
static void *run_operators(void *data)
{
	operators_t *operators = data;
	int turn = 1;

	while (!atomic_load(&operators->stop)) {
		if (atomic_load(&operators->paused)) {
			atomic_store(&operators->idle, true);
			g_usleep(STEP_MS * SOAK_US_PER_MS);
			continue;
		}
		atomic_store(&operators->idle, false);
		if (make_turn(operators, turn))
			atomic_store(&operators->load->newest_turn, turn++);
		g_usleep((gulong)g_rand_int_range(operators->rand, 1, MAX_PAUSE_MS) * SOAK_US_PER_MS);
	}
	return NULL;
}

operators_t *operators_start(cluster_t *cluster, soak_load_t *load, const char *folder, uint32_t seed)
{
	operators_t *operators = g_new0(operators_t, 1);

	operators->cluster = cluster;
	operators->load = load;
	operators->file = g_build_filename(folder, "turn.ini", NULL);
	operators->rand = g_rand_new_with_seed(seed);
	operators->faults = g_async_queue_new_full(g_free);
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

char *operators_fault(operators_t *operators)
{
	return g_async_queue_try_pop(operators->faults);
}

void operators_stop(operators_t *operators)
{
	atomic_store(&operators->stop, true);
	g_thread_join(operators->thread);
	g_async_queue_unref(operators->faults);
	g_rand_free(operators->rand);
	g_free(operators->file);
	g_free(operators);
}
