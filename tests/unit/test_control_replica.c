/*
 * Tests of the replicated log of a control replica with two peers that the test plays: requests that arrive
 * while the actions of a Raft event are carried out, or while an entry is being applied.
 */
#include <check.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include "clock.h"
#include "control.h"
#include "script.h"

enum {
	ELECTION_MS = 1000, /* longer than this process is held up on a busy machine */
	POLL_US = 2000,
	ELECTION_TIMEOUT_MS = 5000,
	TIMEOUT_S = 30,
	ROUTES = 40,
	PART = 7, /* sections that are applied at a time */
	FOLLOWER = 2,
	LOST = 3, /* a replica that has lost its data folder and comes back under another incarnation */
	LOST_INCARNATION = 99
};

/* A control replica without relay and gateway. */
typedef struct {
	char *folder;
	settings_t *settings;
	link_context_t *context;
	control_t control;
	int outcomes; /* callbacks that were called */
	cw_status_t last_status;
	uint64_t release_read;	       /* in force when a read was answered */
	pending_request_t *pending[2]; /* not ended yet, or NULL */
} fixture_t;

/* Loads the settings of replica 1 of three. */
static void load_settings(fixture_t *fixture)
{
	g_autofree char *path = g_build_filename(fixture->folder, "control.ini", NULL);
	g_autofree char *text = g_strdup_printf(
		"[process]\nrole = control\n[control-replicas]\n1 = 127.0.0.1:1\n2 = 127.0.0.1:2\n"
		"3 = 127.0.0.1:3\n[control]\nid = 1\nlisten = 127.0.0.1:1\ndata-folder = %s/data\n"
		"bootstrap = true\nelection-ms = %d\nleader-lease-ms = 100\nheartbeat-ms = 20\n"
		"[keys]\ninsecure = yes\n",
		fixture->folder, ELECTION_MS);

	ck_assert(g_file_set_contents(path, text, -1, NULL));
	ck_assert_int_eq(settings_load(path, &fixture->settings), CW_OK);
}

/* Passes a message of a peer, whose body the caller has set, to the replica. */
static void deliver(fixture_t *fixture, uint32_t from, uint64_t incarnation, Caraway__RaftMessage *message)
{
	Caraway__Replica sender = CARAWAY__REPLICA__INIT;
	cw_raft_event_t event = {.type = CW_RAFT_EV_MESSAGE, .message = message};
	g_autofree char *address = g_strdup_printf("127.0.0.1:%u", from);

	sender.id = from;
	sender.incarnation = incarnation;
	sender.address = address;
	message->from = &sender;
	message->to_id = 1;
	message->to_incarnation = FIRST_INCARNATION;
	control_raft_step(&fixture->control, &event);
}

/* Grants a vote, or a pre-vote, as a peer. */
static void grant_vote(fixture_t *fixture, uint32_t from, bool pre_vote)
{
	Caraway__RaftMessage message = CARAWAY__RAFT_MESSAGE__INIT;
	Caraway__VoteReply reply = CARAWAY__VOTE_REPLY__INIT;

	reply.pre_vote = pre_vote;
	reply.granted = true;
	message.term = cw_raft_term(fixture->control.raft) + pre_vote;
	message.body_case = CARAWAY__RAFT_MESSAGE__BODY_VOTE_REPLY;
	message.vote_reply = &reply;
	deliver(fixture, from, FIRST_INCARNATION, &message);
}

/* Acknowledges the log up to an index, and every heartbeat round, as a peer. */
static void acknowledge(fixture_t *fixture, uint32_t from, uint64_t incarnation, uint64_t index)
{
	Caraway__RaftMessage message = CARAWAY__RAFT_MESSAGE__INIT;
	Caraway__AppendReply reply = CARAWAY__APPEND_REPLY__INIT;

	reply.accepted = true;
	reply.match_index = index;
	reply.round = UINT64_MAX;
	message.term = cw_raft_term(fixture->control.raft);
	message.body_case = CARAWAY__RAFT_MESSAGE__BODY_APPEND_REPLY;
	message.append_reply = &reply;
	deliver(fixture, from, incarnation, &message);
}

/* Asks to join, as the replica that has lost its data folder. */
static void join(fixture_t *fixture)
{
	Caraway__RaftMessage message = CARAWAY__RAFT_MESSAGE__INIT;
	Caraway__JoinRequest request = CARAWAY__JOIN_REQUEST__INIT;

	message.body_case = CARAWAY__RAFT_MESSAGE__BODY_JOIN_REQUEST;
	message.join_request = &request;
	deliver(fixture, LOST, LOST_INCARNATION, &message);
}

/* Makes the replica the leader. */
static void elect(fixture_t *fixture)
{
	const cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};
	int64_t end_ms = clock_now_ms() + ELECTION_TIMEOUT_MS;

	while (cw_raft_role(fixture->control.raft) != CW_RAFT_LEADER && clock_now_ms() < end_ms) {
		bool pre_vote;

		usleep(POLL_US);
		control_raft_step(&fixture->control, &tick);
		pre_vote = cw_raft_role(fixture->control.raft) == CW_RAFT_PRE_CANDIDATE;
		grant_vote(fixture, FOLLOWER, pre_vote);
		grant_vote(fixture, LOST, pre_vote);
	}
	ck_assert_int_eq(cw_raft_role(fixture->control.raft), CW_RAFT_LEADER);
	acknowledge(fixture, FOLLOWER, FIRST_INCARNATION, cw_raft_last_index(fixture->control.raft));
}

/* Opens the replica and makes it the leader. */
static void set_up(fixture_t *fixture)
{
	control_t *control = &fixture->control;

	*fixture = (fixture_t){.folder = g_dir_make_tmp("replica-XXXXXX", NULL)};
	load_settings(fixture);
	fixture->context = link_context_new();
	control->settings = &fixture->settings->control;
	control->clients = link_clients_new(fixture->context);
	control->pending = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, pending_request_free);
	control->pending_by_index = g_hash_table_new(g_int64_hash, g_int64_equal);
	ck_assert_int_eq(control_replica_open(control, fixture->settings), CW_OK);
	elect(fixture);
}

/* Closes the replica and removes its folder. */
static void tear_down(fixture_t *fixture)
{
	g_autofree char *command = g_strdup_printf("rm -r %s", fixture->folder);

	g_hash_table_destroy(fixture->control.pending_by_index);
	g_hash_table_destroy(fixture->control.pending);
	control_replica_close(&fixture->control);
	link_clients_free(fixture->control.clients);
	link_context_free(fixture->context);
	settings_free(fixture->settings);
	ck_assert(g_spawn_command_line_sync(command, NULL, NULL, NULL, NULL));
	g_free(fixture->folder);
}

/* Records the outcome of a request. */
static void record_outcome(void *data, cw_status_t status, const char *message)
{
	fixture_t *fixture = data;

	(void)message;
	fixture->outcomes++;
	fixture->last_status = status;
}

/* Submits a configuration once a read is answered, as an operator's second request on one connection does. */
static void submit_after_read(void *data, cw_status_t status, const char *message)
{
	fixture_t *fixture = data;
	Caraway__Content *content = g_new(Caraway__Content, 1);

	record_outcome(data, status, message);
	caraway__content__init(content);
	control_replace_configuration(&fixture->control, control_replacement_new(1, 0, content),
				      record_outcome, fixture);
}

/* CONFIG: a change of voters in the step that answers a read made the leader's storage fail, and changes unanswered. */
START_TEST(test_request_within_step)
{
	const cw_raft_event_t tick = {.type = CW_RAFT_EV_TICK};
	fixture_t fixture;
	control_t *control = &fixture.control;
	int64_t unreachable_ms;

	set_up(&fixture);
	for (unreachable_ms = clock_now_ms() + 2 * ELECTION_MS; clock_now_ms() < unreachable_ms;
	     usleep(POLL_US)) {
		control_raft_step(control, &tick);
		acknowledge(&fixture, FOLLOWER, FIRST_INCARNATION, cw_raft_last_index(control->raft));
	}
	join(&fixture);
	/* The lost replica's first acknowledgement starts its readmission, which needs two entries. */
	acknowledge(&fixture, LOST, LOST_INCARNATION, cw_raft_last_index(control->raft));
	acknowledge(&fixture, LOST, LOST_INCARNATION, cw_raft_last_index(control->raft));
	control_confirm_release(control, submit_after_read, &fixture);
	ck_assert_int_eq(fixture.outcomes, 0);
	acknowledge(&fixture, FOLLOWER, FIRST_INCARNATION, cw_raft_last_index(control->raft));
	ck_assert_int_eq(fixture.outcomes, 1);
	ck_assert(!control->storage_failed);
	acknowledge(&fixture, FOLLOWER, FIRST_INCARNATION, cw_raft_last_index(control->raft));
	acknowledge(&fixture, LOST, LOST_INCARNATION, cw_raft_last_index(control->raft));
	ck_assert_int_eq(fixture.outcomes, 2);
	ck_assert_int_eq(fixture.last_status, CW_OK);
	tear_down(&fixture);
}
END_TEST

/* Returns a configuration of a few routes. */
static Caraway__Content *content_new(void)
{
	Caraway__Content *content = g_new(Caraway__Content, 1);

	caraway__content__init(content);
	content->title = g_strdup("routes");
	content->routes = cw_message_array(ROUTES);
	for (int i = 0; i < ROUTES; i++) {
		Caraway__Route *route = g_new(Caraway__Route, 1);

		caraway__route__init(route);
		route->name = g_strdup_printf("r%d", i);
		route->path = g_strdup_printf("/%d", i);
		route->service = g_strdup("s");
		content->routes[content->n_routes++] = route;
	}
	return content;
}

/* Records the release in force when a read is answered. */
static void record_release(void *data, cw_status_t status, const char *message)
{
	fixture_t *fixture = data;

	record_outcome(data, status, message);
	fixture->release_read = cw_ledger_release_in_force(fixture->control.ledger);
}

/* CONFIG: a read that is confirmed while a configuration is being applied must not be answered with the one before. */
START_TEST(test_read_waits_for_application)
{
	fixture_t fixture;
	control_t *control = &fixture.control;
	int parts = 0;

	set_up(&fixture);
	control->apply_budget = PART;
	control_replace_configuration(control, control_replacement_new(1, 0, content_new()), record_outcome,
				      &fixture);
	acknowledge(&fixture, FOLLOWER, FIRST_INCARNATION, cw_raft_last_index(control->raft));
	control_confirm_release(control, record_release, &fixture);
	acknowledge(&fixture, FOLLOWER, FIRST_INCARNATION, cw_raft_last_index(control->raft));
	acknowledge(&fixture, FOLLOWER, FIRST_INCARNATION, cw_raft_last_index(control->raft));
	while (fixture.outcomes < 2 && parts < 2 * ROUTES) {
		ck_assert_uint_eq(cw_ledger_release_in_force(control->ledger), fixture.outcomes);
		control->apply_budget = PART;
		control_apply_continue(control);
		parts++;
	}
	ck_assert_int_gt(parts, ROUTES / PART);
	ck_assert_int_eq(fixture.outcomes, 2);
	ck_assert_int_eq(fixture.last_status, CW_OK);
	ck_assert_uint_eq(fixture.release_read, 1);
	ck_assert_uint_eq(control->applied_index, cw_raft_last_index(control->raft));
	tear_down(&fixture);
}
END_TEST

/* Ends the other request too, as a step that this one's answer leads to may do. */
static void end_other(void *data, cw_status_t status, const char *message)
{
	fixture_t *fixture = data;
	pending_request_t *other = NULL;

	record_outcome(data, status, message);
	for (size_t i = 0; i < G_N_ELEMENTS(fixture->pending); i++)
		if (g_hash_table_lookup(fixture->control.pending, &(uint64_t){i + 1}))
			other = fixture->pending[i];
	if (other)
		control_finish_pending(&fixture->control, other, CW_ERR_NOT_LEADER, "", NULL);
}

/* LOST: a request that expired was used after another one that expired with it had ended it. */
START_TEST(test_expired_together)
{
	fixture_t fixture;
	GHashTableIter iter;
	gpointer pending;

	set_up(&fixture);
	for (size_t i = 0; i < G_N_ELEMENTS(fixture.pending); i++)
		control_confirm_release(&fixture.control, end_other, &fixture);
	g_hash_table_iter_init(&iter, fixture.control.pending);
	while (g_hash_table_iter_next(&iter, NULL, &pending))
		fixture.pending[((pending_request_t *)pending)->cookie - 1] = pending;
	control_expire_pending(&fixture.control, INT64_MAX);
	ck_assert_int_eq(fixture.outcomes, 2);
	ck_assert_uint_eq(g_hash_table_size(fixture.control.pending), 0);
	tear_down(&fixture);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("control_replica");
	TCase *tcase = tcase_create("requests");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test_request_within_step);
	tcase_add_test(tcase, test_read_waits_for_application);
	tcase_add_test(tcase, test_expired_together);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
