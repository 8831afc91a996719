/* Scripted runs of the operators' tool against replicas that answer by script: tests/cli. */
#include <check.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "due.h"
#include "link.h"
#include "render.h"
#include "render_json.h"
#include "script.h"
#include "session.h"

enum { MAX_REPLICAS = 4, POLL_MS = 5 };

/* A replica that answers its requests by a list of behaviours, the last one for all that follow. */
typedef struct {
	char *name;
	link_context_t *context;
	link_server_t *server;
	char **behaviours;
	GThread *thread;
	gint stop;
	guint heard;
	guint64 first_request;
	bool same_request; /* every request heard had one number */
} fake_t;

typedef struct {
	fake_t fakes[MAX_REPLICAS];
	size_t count;
} run_t;

/* Finds a fake by name. */
static fake_t *find_fake(run_t *run, const char *name)
{
	for (size_t i = 0; i < run->count; i++)
		if (!strcmp(run->fakes[i].name, name))
			return &run->fakes[i];
	ck_abort_msg("no replica %s", name);
	return NULL;
}

/* Sends the answer that a behaviour stands for: "lose", "leader=ADDRESS" or a status number. */
static void act(fake_t *fake, const char *behaviour, GBytes *peer, uint64_t request)
{
	Caraway__OperatorReply reply = CARAWAY__OPERATOR_REPLY__INIT;
	Caraway__Message message = CARAWAY__MESSAGE__INIT;

	if (!strcmp(behaviour, "lose"))
		return;
	reply.request = request;
	if (g_str_has_prefix(behaviour, "leader=")) {
		reply.status = CW_ERR_NOT_LEADER;
		reply.message = "not the leader";
		reply.leader_address = (char *)behaviour + strlen("leader=");
	} else {
		reply.status = atoi(behaviour);
		reply.message = "as the script says";
	}
	message.body_case = CARAWAY__MESSAGE__BODY_OPERATOR_REPLY;
	message.operator_reply = &reply;
	link_server_send(fake->server, peer, &message);
}

/* Takes one request. */
static void hear(fake_t *fake, GBytes *peer, const Caraway__Message *message)
{
	guint last = g_strv_length(fake->behaviours) - 1;
	uint64_t request = message->operator_request->request;

	if (fake->heard == 0)
		fake->first_request = request;
	else if (request != fake->first_request)
		fake->same_request = false;
	act(fake, fake->behaviours[MIN(fake->heard, last)], peer, request);
	fake->heard++;
}

/* Runs a fake until it is told to stop. */
static gpointer run_fake(gpointer data)
{
	fake_t *fake = data;

	while (!g_atomic_int_get(&fake->stop)) {
		Caraway__Message *message;
		GBytes *peer;

		link_wait(fake->server, NULL, NULL, -1, POLL_MS);
		while ((message = link_server_receive(fake->server, &peer))) {
			hear(fake, peer, message);
			cw_message_free(message);
			g_bytes_unref(peer);
		}
	}
	return NULL;
}

/* Replaces "leader=NAME" by the address of the fake of that name. */
static char *resolve(run_t *run, const char *behaviour)
{
	const char *name = behaviour + strlen("leader=");

	if (!g_str_has_prefix(behaviour, "leader=") || !*name)
		return g_strdup(behaviour);
	return g_strdup_printf("leader=%s", link_server_address(find_fake(run, name)->server));
}

/* Starts a fake: replica NAME BEHAVIOUR... */
static void start_fake(run_t *run, int argc, char **argv)
{
	fake_t *fake = &run->fakes[run->count];

	memset(fake, 0, sizeof(*fake));
	fake->name = g_strdup(argv[1]);
	fake->same_request = true;
	fake->context = link_context_new();
	ck_assert_int_eq(link_server_open(fake->context, "127.0.0.1:0", &fake->server), CW_OK);
	fake->behaviours = g_new0(char *, (gsize)argc - 1);
	for (int i = 2; i < argc; i++)
		fake->behaviours[i - 2] = resolve(run, argv[i]);
	fake->thread = g_thread_new("fake", run_fake, fake);
	run->count++;
}

/* Returns a count that does not depend on the speed of the machine. */
static const char *count_word(guint count)
{
	const char *const words[] = {"none", "1", "2"};

	return count < G_N_ELEMENTS(words) ? words[count] : "several";
}

/* Stops every fake and prints what it heard. */
static void stop_fakes(run_t *run, GString *out)
{
	for (size_t i = 0; i < run->count; i++) {
		fake_t *fake = &run->fakes[i];

		g_atomic_int_set(&fake->stop, 1);
		g_thread_join(fake->thread);
		g_string_append_printf(out, "%s heard %s%s\n", fake->name, count_word(fake->heard),
				       fake->same_request ? "" : ", of different numbers");
		link_server_close(fake->server);
		link_context_free(fake->context);
		g_strfreev(fake->behaviours);
		g_free(fake->name);
	}
	run->count = 0;
}

/* Asks the fakes in the order they were started: ask review|show TIMEOUT_MS. */
static void ask(run_t *run, char **argv, GString *out)
{
	GPtrArray *addresses = g_ptr_array_new();
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;
	Caraway__ShowQuery show = CARAWAY__SHOW_QUERY__INIT;
	Caraway__OperatorReply *reply = NULL;
	cw_status_t status;

	for (size_t i = 0; i < run->count; i++)
		g_ptr_array_add(addresses, (char *)link_server_address(run->fakes[i].server));
	if (!strcmp(argv[1], "review")) {
		request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_REVIEW;
		request.review = &review;
	} else {
		request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_SHOW;
		request.show = &show;
	}
	keys_t *keys = keys_new_insecure();
	session_t *session = NULL;
	ck_assert_int_eq(session_new(addresses, keys, "ilona", (uint32_t)atoi(argv[2]), &session), CW_OK);
	status = session_request(session, &request, &reply);
	g_string_append_printf(out, "%s\n", cw_status_name(status));
	cw_message_free(reply);
	session_free(session);
	keys_free(keys);
	g_ptr_array_unref(addresses);
	stop_fakes(run, out);
}

/* Reads a due time: due TEXT NOW_MS. */
static void due(char **argv, GString *out)
{
	int64_t due_ms = 0;

	if (due_parse(argv[1], g_ascii_strtoll(argv[2], NULL, 10), &due_ms) != CW_OK) {
		g_string_append_printf(out, "%s\n", cw_last_error_message());
		return;
	}
	char *text = due_format(due_ms);
	g_string_append_printf(out, "%" PRId64 " %s\n", due_ms, text);
	g_free(text);
}

/* Prints two proxies, one behind: inforce table|json. */
static void in_force(const char *form, GString *out)
{
	Caraway__OperatorReply reply = CARAWAY__OPERATOR_REPLY__INIT;
	Caraway__Route route = CARAWAY__ROUTE__INIT;
	Caraway__Route *routes[] = {&route};
	Caraway__Vm vms[] = {CARAWAY__VM__INIT, CARAWAY__VM__INIT};
	Caraway__VmInForce entries[] = {CARAWAY__VM_IN_FORCE__INIT, CARAWAY__VM_IN_FORCE__INIT};
	Caraway__VmInForce *list[] = {&entries[0], &entries[1]};

	route.name = "board";
	route.path = "/board";
	route.service = "tabla";
	for (size_t i = 0; i < G_N_ELEMENTS(vms); i++) {
		vms[i].name = i ? "sorompó-1" : "tabla-1";
		vms[i].zone = "eger";
		entries[i].vm = &vms[i];
		entries[i].reported = 1;
		entries[i].wanted = 4;
		entries[i].version = i ? 3 : 4;
		entries[i].n_routes = i ? 0 : 1;
		entries[i].routes = routes;
	}
	reply.n_vms = strcmp(form, "table") ? 1 : 2;
	reply.vms = list;
	if (!strcmp(form, "table"))
		render_in_force(&reply, out);
	else
		render_json(&reply.base, out);
}

/* Carries out one command of a script. */
static void command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "replica") && argc >= 3)
		start_fake(run, argc, argv);
	else if (!strcmp(argv[0], "ask") && argc == 3)
		ask(run, argv, out);
	else if (!strcmp(argv[0], "due") && argc == 3)
		due(argv, out);
	else if (!strcmp(argv[0], "inforce") && argc == 2)
		in_force(argv[1], out);
	else
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
}

START_TEST(test_scripts)
{
	GPtrArray *files = script_list("tests/cli");
	run_t run = {0};

	ck_assert_uint_gt(files->len, 0);
	for (guint i = 0; i < files->len; i++) {
		char *difference = script_run(files->pdata[i], command, &run);
		ck_assert_msg(!difference, "%s", difference);
	}
	g_ptr_array_unref(files);
}
END_TEST

/* Runs every script of the folder. */
int main(void)
{
	Suite *suite = suite_create("cli");
	TCase *tcase = tcase_create("scripts");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, test_scripts);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
