/* Scripted tests of carawayctl's sessions with fake control replicas, due times and output: tests/cli. */
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

/* A control replica on a thread that sends scripted replies, one per request; the last one is repeated. */
typedef struct {
	char *name;
	link_context_t *context;
	link_server_t *server;
	char **replies; /* specifications of the replies; see send_reply() */
	GThread *thread;
	gint stop;
	guint request_count;   /* received */
	guint64 first_request; /* number of the first request */
	bool same_request;     /* all requests had the number of the first one */
} fake_replica_t;

/* State that the commands of a script operate on. */
typedef struct {
	fake_replica_t replicas[MAX_REPLICAS];
	size_t count; /* of replicas */
} run_t;

/* Returns the replica with a name; fails the test without one. */
static fake_replica_t *find_replica(run_t *run, const char *name)
{
	for (size_t i = 0; i < run->count; i++)
		if (!strcmp(run->replicas[i].name, name))
			return &run->replicas[i];
	ck_abort_msg("no replica %s", name);
	return NULL;
}

/* Sends a scripted reply: "leader=ADDRESS" or a status number; "lose" sends none. */
static void send_reply(fake_replica_t *replica, const char *reply_spec, GBytes *peer, uint64_t request)
{
	Caraway__OperatorReply reply = CARAWAY__OPERATOR_REPLY__INIT;
	Caraway__Message message = CARAWAY__MESSAGE__INIT;

	if (!strcmp(reply_spec, "lose"))
		return;
	reply.request = request;
	if (g_str_has_prefix(reply_spec, "leader=")) {
		reply.status = CW_ERR_NOT_LEADER;
		reply.message = "not the leader";
		reply.leader_address = (char *)reply_spec + strlen("leader=");
	} else {
		reply.status = atoi(reply_spec);
		reply.message = "status set by the script";
	}
	message.body_case = CARAWAY__MESSAGE__BODY_OPERATOR_REPLY;
	message.operator_reply = &reply;
	link_server_send(replica->server, peer, &message);
}

/* Counts a request and sends the scripted reply. */
static void handle_request(fake_replica_t *replica, GBytes *peer, const Caraway__Message *message)
{
	guint last = g_strv_length(replica->replies) - 1;
	uint64_t request = message->operator_request->request;

	if (replica->request_count == 0)
		replica->first_request = request;
	else if (request != replica->first_request)
		replica->same_request = false;
	send_reply(replica, replica->replies[MIN(replica->request_count, last)], peer, request);
	replica->request_count++;
}

/* Thread of a replica: handles requests until the replica is stopped. */
static gpointer serve_requests(gpointer data)
{
	fake_replica_t *replica = data;

	while (!g_atomic_int_get(&replica->stop)) {
		Caraway__Message *message;
		GBytes *peer;

		link_wait(replica->server, NULL, NULL, -1, POLL_MS);
		while ((message = link_server_receive(replica->server, &peer))) {
			handle_request(replica, peer, message);
			cw_message_free(message);
			g_bytes_unref(peer);
		}
	}
	return NULL;
}

/* Returns a copy of a scripted reply, with NAME in "leader=NAME" replaced by that replica's address. */
static char *resolve_leader(run_t *run, const char *reply_spec)
{
	const char *name = reply_spec + strlen("leader=");

	if (!g_str_has_prefix(reply_spec, "leader=") || !*name)
		return g_strdup(reply_spec);
	return g_strdup_printf("leader=%s", link_server_address(find_replica(run, name)->server));
}

/* replica NAME REPLY...: starts a replica, where REPLY is "lose", "leader=[NAME]" or a status number. */
static void run_replica(run_t *run, int argc, char **argv)
{
	fake_replica_t *replica = &run->replicas[run->count];

	memset(replica, 0, sizeof(*replica));
	replica->name = g_strdup(argv[1]);
	replica->same_request = true;
	replica->context = link_context_new();
	ck_assert_int_eq(link_server_open(replica->context, "127.0.0.1:0", &replica->server), CW_OK);
	replica->replies = g_new0(char *, (gsize)argc - 1);
	for (int i = 2; i < argc; i++)
		replica->replies[i - 2] = resolve_leader(run, argv[i]);
	replica->thread = g_thread_new("replica", serve_requests, replica);
	run->count++;
}

/* Returns a count as text; "several" for more than 2, as their number depends on the speed of the machine. */
static const char *format_count(guint count)
{
	const char *const names[] = {"none", "1", "2"};

	return count < G_N_ELEMENTS(names) ? names[count] : "several";
}

/* Stops every replica and appends how many requests each received. */
static void stop_replicas(run_t *run, GString *out)
{
	for (size_t i = 0; i < run->count; i++) {
		fake_replica_t *replica = &run->replicas[i];

		g_atomic_int_set(&replica->stop, 1);
		g_thread_join(replica->thread);
		g_string_append_printf(out, "%s received %s%s\n", replica->name,
				       format_count(replica->request_count),
				       replica->same_request ? "" : ", with different numbers");
		link_server_close(replica->server);
		link_context_free(replica->context);
		g_strfreev(replica->replies);
		g_free(replica->name);
	}
	run->count = 0;
}

/* ask review|show TIMEOUT_MS: sends a request to the replicas, in order of their start, and stops them. */
static void run_ask(run_t *run, char **argv, GString *out)
{
	GPtrArray *addresses = g_ptr_array_new();
	Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;
	Caraway__ShowQuery show = CARAWAY__SHOW_QUERY__INIT;
	Caraway__OperatorReply *reply = NULL;
	cw_status_t status;

	for (size_t i = 0; i < run->count; i++)
		g_ptr_array_add(addresses, (char *)link_server_address(run->replicas[i].server));
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
	stop_replicas(run, out);
}

/* due TEXT NOW_MS: parses a due time and formats it again. */
static void run_due(char **argv, GString *out)
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

/* inforce table|json: renders the report of a current proxy and, in the table, of one that is behind. */
static void run_inforce(const char *format, GString *out)
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
	reply.n_vms = strcmp(format, "table") ? 1 : 2;
	reply.vms = list;
	if (!strcmp(format, "table"))
		render_in_force(&reply, out);
	else
		render_json(&reply.base, out);
}

/* accounts table|json: renders two client accounts of a proxy and, in the table, a proxy without an answer. */
static void run_accounts(const char *format, GString *out)
{
	Caraway__OperatorReply reply = CARAWAY__OPERATOR_REPLY__INIT;
	Caraway__Counter refused[] = {CARAWAY__COUNTER__INIT, CARAWAY__COUNTER__INIT};
	Caraway__Counter *refused_list[] = {&refused[0], &refused[1]};
	Caraway__AccountCounts accounts[] = {CARAWAY__ACCOUNT_COUNTS__INIT, CARAWAY__ACCOUNT_COUNTS__INIT};
	Caraway__AccountCounts *list[] = {&accounts[0], &accounts[1]};
	const process_reply_t replies[] = {{"10.0.0.4:7201", &reply}, {"10.0.0.5:7201", NULL}};

	refused[0].name = "crowded";
	refused[0].value = 12;
	refused[1].name = "over-allotment";
	refused[1].value = 30;
	accounts[0].name = "ferry-lines";
	accounts[0].taken = 240;
	accounts[0].answered = 198;
	accounts[0].n_refused = G_N_ELEMENTS(refused);
	accounts[0].refused = refused_list;
	accounts[1].granted = 25;
	reply.n_accounts = G_N_ELEMENTS(accounts);
	reply.accounts = list;
	if (!strcmp(format, "table"))
		render_accounts(replies, G_N_ELEMENTS(replies), out);
	else
		render_json(&reply.base, out);
}

/* Executes one script command. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "replica") && argc >= 3)
		run_replica(run, argc, argv);
	else if (!strcmp(argv[0], "ask") && argc == 3)
		run_ask(run, argv, out);
	else if (!strcmp(argv[0], "due") && argc == 3)
		run_due(argv, out);
	else if (!strcmp(argv[0], "inforce") && argc == 2)
		run_inforce(argv[1], out);
	else if (!strcmp(argv[0], "accounts") && argc == 2)
		run_accounts(argv[1], out);
	else
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
}

/* Runs every script of tests/cli. */
START_TEST(test_scripts)
{
	GPtrArray *files = script_list("tests/cli");
	run_t run = {0};

	ck_assert_uint_gt(files->len, 0);
	for (guint i = 0; i < files->len; i++) {
		char *difference = script_run(files->pdata[i], run_command, &run);
		ck_assert_msg(!difference, "%s", difference);
	}
	g_ptr_array_unref(files);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("cli");
	TCase *tcase = tcase_create("scripts");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, test_scripts);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
