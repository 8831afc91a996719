/*
 * Planned stops under load on real processes: no call is cut, lost or doubled.
 * Callers post without pause, each post under an id of its own, to proxies that
 * are up; a port that refuses the connection is tried no further.
 */
#include <check.h>
#include <glib.h>
#include <jansson.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "mesh.h"
#include "script.h"

enum { CALLERS = 12, TIMEOUT_S = 90, ID_BYTES = 32, WARM_US = 300000, DEADLINE_MS = 4000 };

static const char *const target_arguments[] = {"--service-ms=10", "--grace-ms=1500", NULL};

/* The load on a mesh. */
typedef struct {
	mesh_t *mesh;
	GThread *threads[CALLERS];
	atomic_bool stop;
	atomic_int last_id;
	atomic_int answered;
	atomic_int not_run; /* truthfully refused: the caller may send again */
	GAsyncQueue *bad;   /* texts of answers that a planned stop must not give */
	bool every_proxy;   /* callers turn to the next proxy when one refuses the connection */
} load_t;

/* Sends one call to the first proxy that takes the connection. */
static void call_once(const load_t *load, const char *id, unsigned turn, answer_t *answer)
{
	int proxies = load->every_proxy ? MESH_PROXIES : 1;

	for (int i = 0; i < proxies; i++) {
		int proxy = load->every_proxy ? (int)((turn + (unsigned)i) % MESH_PROXIES) : MESH_O;

		caller_call(load->mesh->http_ports[proxy], "POST", "/", id, DEADLINE_MS, answer);
		if (!answer->refused)
			return;
	}
}

/* One caller: posts until told to stop. */
static void *run_caller(void *data)
{
	load_t *load = data;

	while (!atomic_load(&load->stop)) {
		unsigned number = (unsigned)atomic_fetch_add(&load->last_id, 1);
		g_autofree char *id = g_strdup_printf("load-%u", number);
		answer_t answer;

		call_once(load, id, number, &answer);
		if (answer.status == 200 && answer.whole)
			atomic_fetch_add(&load->answered, 1);
		else
			g_async_queue_push(load->bad,
					   g_strdup_printf("%s: %s status %d %s %s", id,
							   answer.refused ? "refused" : "taken",
							   answer.status, answer.outcome, answer.reason));
	}
	return NULL;
}

/* Starts the callers. */
static void load_start(load_t *load, mesh_t *mesh, bool every_proxy)
{
	memset(load, 0, sizeof(*load));
	load->mesh = mesh;
	load->every_proxy = every_proxy;
	load->bad = g_async_queue_new_full(g_free);
	for (int i = 0; i < CALLERS; i++)
		load->threads[i] = g_thread_new("caller", run_caller, load);
	usleep(WARM_US);
}

/* Stops the callers and checks that every call was answered. */
static void load_stop(load_t *load)
{
	char *bad;

	usleep(WARM_US);
	atomic_store(&load->stop, true);
	for (int i = 0; i < CALLERS; i++)
		g_thread_join(load->threads[i]);
	bad = g_async_queue_try_pop(load->bad);
	ck_assert_msg(!bad, "%d more; %s", g_async_queue_length(load->bad), bad);
	ck_assert_int_gt(atomic_load(&load->answered), CALLERS);
	g_async_queue_unref(load->bad);
}

/* Returns the executions that a target counted, by id. */
static json_t *executions_of(const load_t *load, int target)
{
	g_autofree char *text = caller_get(load->mesh->target_ports[target], "/executions");
	json_t *executions = json_loads(text, 0, NULL);

	ck_assert_ptr_nonnull(executions);
	return executions;
}

/* Checks that every call ran so often on both targets, at least and at most. */
static void check_ran(const load_t *load, int least, int most)
{
	json_t *at_a = executions_of(load, MESH_A);
	json_t *at_b = executions_of(load, MESH_B);
	char id[ID_BYTES];

	for (int i = 0; i < atomic_load(&load->last_id); i++) {
		int runs;

		snprintf(id, sizeof(id), "load-%d", i);
		runs = (int)json_integer_value(json_object_get(at_a, id)) +
		       (int)json_integer_value(json_object_get(at_b, id));
		ck_assert_msg(runs >= least && runs <= most, "%s ran %d times", id, runs);
	}
	json_decref(at_a);
	json_decref(at_b);
}

/* A proxy beside a target stops and comes back. */
START_TEST(test_receiver_stops)
{
	load_t load;
	mesh_t mesh;

	mesh_start(&mesh, target_arguments);
	load_start(&load, &mesh, false);
	process_signal(&mesh.proxies[MESH_A], SIGTERM);
	ck_assert(process_wait(&mesh.proxies[MESH_A]));
	usleep(WARM_US);
	mesh_start_proxy(&mesh, MESH_A);
	load_stop(&load);
	check_ran(&load, 1, 1);
	mesh_stop(&mesh);
}
END_TEST

/* Every proxy stops and comes back, one after the other. */
START_TEST(test_every_proxy_stops)
{
	load_t load;
	mesh_t mesh;

	mesh_start(&mesh, target_arguments);
	load_start(&load, &mesh, true);
	for (int i = 0; i < MESH_PROXIES; i++) {
		process_signal(&mesh.proxies[i], SIGTERM);
		ck_assert(process_wait(&mesh.proxies[i]));
		mesh_start_proxy(&mesh, i);
		usleep(WARM_US);
	}
	load_stop(&load);
	check_ran(&load, 1, 1);
	mesh_stop(&mesh);
}
END_TEST

/*
 * Each target stops and comes back, one after the other.  Its executions are
 * lost with it, so that the answers are checked, and the runs that are left.
 */
START_TEST(test_every_target_stops)
{
	load_t load;
	mesh_t mesh;

	mesh_start(&mesh, target_arguments);
	load_start(&load, &mesh, false);
	for (int i = MESH_A; i <= MESH_B; i++) {
		process_signal(&mesh.targets[i], SIGTERM);
		ck_assert(process_wait(&mesh.targets[i]));
		mesh_start_target(&mesh, i, target_arguments);
		mesh_wait_used(&mesh, i);
	}
	load_stop(&load);
	check_ran(&load, 0, 1);
	mesh_stop(&mesh);
}
END_TEST

/* Adds a test as a case of its own, so that CK_RUN_CASE can select it. */
static void add(Suite *suite, const TTest *test)
{
	TCase *tcase = tcase_create(test->name);

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test);
	suite_add_tcase(suite, tcase);
}

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("drain");

	add(suite, test_receiver_stops);
	add(suite, test_every_proxy_stops);
	add(suite, test_every_target_stops);
	return script_run_suite(suite);
}
