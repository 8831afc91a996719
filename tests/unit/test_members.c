/* Scripted tests of member tables: announcements, reports, leases, and updates from a parent to a child. */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "libcaraway.h"
#include "script.h"

typedef struct {
	GHashTable *tables; /* name -> cw_members_t * */
	int64_t now_ms;	    /* virtual time, and UTC time of reports */
} run_t;

static const char *const state_names[] = {"up", "draining", "gone"};

/* Returns the table with a name. */
static cw_members_t *find_table(const run_t *run, const char *name)
{
	return g_hash_table_lookup(run->tables, name);
}

/* Appends the name of a status as a line. */
static void append_status(GString *out, cw_status_t status)
{
	g_string_append_printf(out, "%s\n", cw_status_name(status));
}

/* announce TABLE VM INCARNATION SEQUENCE STATE */
static void run_announce(const run_t *run, char **argv, GString *out)
{
	Caraway__Endpoint endpoint = CARAWAY__ENDPOINT__INIT;

	endpoint.vm = argv[2];
	endpoint.incarnation = strtoull(argv[3], NULL, 10);
	endpoint.sequence = strtoull(argv[4], NULL, 10);
	for (size_t i = 0; i < G_N_ELEMENTS(state_names); i++)
		if (!strcmp(argv[5], state_names[i]))
			endpoint.state = (Caraway__EndpointState)i;
	append_status(out, cw_members_announce(find_table(run, argv[1]), &endpoint, run->now_ms));
}

/* many TABLE COUNT: announces the endpoints of COUNT VMs, "ozd-00" and so on */
static void run_many(const run_t *run, char **argv)
{
	for (int i = 0; i < atoi(argv[2]); i++) {
		g_autofree char *vm = g_strdup_printf("ozd-%02d", i);
		Caraway__Endpoint endpoint = CARAWAY__ENDPOINT__INIT;

		endpoint.vm = vm;
		endpoint.incarnation = endpoint.sequence = 1;
		cw_members_announce(find_table(run, argv[1]), &endpoint, run->now_ms);
	}
}

/* report TABLE VM INCARNATION SEQUENCE VERSION */
static void run_report(const run_t *run, char **argv, GString *out)
{
	Caraway__Report report = CARAWAY__REPORT__INIT;

	report.vm = argv[2];
	report.incarnation = strtoull(argv[3], NULL, 10);
	report.sequence = strtoull(argv[4], NULL, 10);
	report.version = strtoull(argv[5], NULL, 10);
	append_status(out, cw_members_report(find_table(run, argv[1]), &report, run->now_ms, run->now_ms));
}

/* pull CHILD PARENT [EPOCH SEQUENCE [damaged]]: a position other than the child's simulates a late answer */
static void run_pull(const run_t *run, int argc, char **argv, GString *out)
{
	cw_members_t *child = find_table(run, argv[1]);
	Caraway__News *news = g_malloc(sizeof(*news));
	uint64_t epoch = argc > 3 ? strtoull(argv[3], NULL, 10) : cw_members_epoch(child);
	uint64_t sequence = argc > 4 ? strtoull(argv[4], NULL, 10) : cw_members_sequence(child);

	caraway__news__init(news);
	cw_members_fill_update(find_table(run, argv[2]), epoch, sequence, news);
	if (argc > 5)
		news->endpoints_packed.data[news->endpoints_packed.len / 2] ^= 1;
	if (news->endpoints_packed.len)
		g_string_append(out, "compressed");
	else
		g_string_append_printf(out, "%zu endpoints", news->n_endpoints);
	g_string_append(out, news->endpoints_whole ? " (whole table): " : ": ");
	append_status(out, cw_members_apply_update(child, news, run->now_ms));
	cw_message_free(news);
}

/* show TABLE: prints the position, the endpoints and their last reports */
static void run_show(const run_t *run, char **argv, GString *out)
{
	const cw_members_t *members = find_table(run, argv[1]);
	GPtrArray *endpoints = cw_members_endpoints(members);

	g_string_append_printf(out, "epoch %" G_GUINT64_FORMAT " sequence %" G_GUINT64_FORMAT "\n",
			       cw_members_epoch(members), cw_members_sequence(members));
	for (guint i = 0; i < endpoints->len; i++) {
		const Caraway__Endpoint *endpoint = g_ptr_array_index(endpoints, i);
		int64_t reported_ms;
		const Caraway__Report *report = cw_members_last_report(members, endpoint->vm, &reported_ms);

		g_string_append_printf(out, "%s %s", endpoint->vm, state_names[endpoint->state]);
		if (report)
			g_string_append_printf(out, " version %" G_GUINT64_FORMAT " at %" G_GINT64_FORMAT,
					       report->version, reported_ms);
		g_string_append_c(out, '\n');
	}
	g_ptr_array_unref(endpoints);
}

/*
 * Executes a command of a script: those above, and table NAME EPOCH LEASE_MS, at MS (sets the time),
 * expire TABLE, lead TABLE EPOCH (makes the table authoritative) and follow TABLE (makes it a copy).
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "table"))
		g_hash_table_insert(run->tables, g_strdup(argv[1]),
				    cw_members_new(strtoull(argv[2], NULL, 10), (uint32_t)atoi(argv[3])));
	else if (!strcmp(argv[0], "at"))
		run->now_ms = atoll(argv[1]);
	else if (!strcmp(argv[0], "announce"))
		run_announce(run, argv, out);
	else if (!strcmp(argv[0], "many"))
		run_many(run, argv);
	else if (!strcmp(argv[0], "report"))
		run_report(run, argv, out);
	else if (!strcmp(argv[0], "expire"))
		g_string_append_printf(out, "%zu expired\n",
				       cw_members_expire(find_table(run, argv[1]), run->now_ms));
	else if (!strcmp(argv[0], "lead"))
		cw_members_become_authoritative(find_table(run, argv[1]), strtoull(argv[2], NULL, 10),
						run->now_ms);
	else if (!strcmp(argv[0], "follow"))
		cw_members_become_copy(find_table(run, argv[1]));
	else if (!strcmp(argv[0], "pull"))
		run_pull(run, argc, argv, out);
	else if (!strcmp(argv[0], "show"))
		run_show(run, argv, out);
	else
		g_string_append(out, "no such command\n");
}

/* Frees a member table; a GDestroyNotify. */
static void free_table(void *members)
{
	cw_members_free(members);
}

START_TEST(test_script)
{
	run_t run = {g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_table), 0};

	script_assert("tests/members", _i, run_command, &run);
	g_hash_table_unref(run.tables);
}
END_TEST

int main(void)
{
	return script_main("tests/members", test_script, 30);
}
