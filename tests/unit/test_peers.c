/*
 * A proxy whose peers duplicate, reorder and delay their messages.  The test acts
 * as the peer, and checks the responses that callers receive and the target's
 * execution counts.
 */
#include <check.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "caller.h"
#include "link.h"
#include "process.h"
#include "script.h"

enum {
	POLL_INTERVAL_US = 5000,
	MAX_POLLS = 1000,
	TIMEOUT_S = 60,
	TEST_ORIGIN = 77,	 /* origin in the ids of the calls that the test sends */
	PROXY_INCARNATION = 500, /* as in the arguments of start_fixture() */
	SETTLE_US = 200000
};

/* The proxy under test, its target and the folder of its view file. */
typedef struct {
	process_t target;
	process_t proxy;
	int target_port;
	int http_port;
	int call_port;
	char *folder;
} fixture_t;

/*
 * Starts a target of this service time and a proxy of incarnation PROXY_INCARNATION that lets so many calls run
 * at once; the peer's address is the only endpoint.
 */
static void start_slow_fixture(fixture_t *fixture, const char *address, const char *service_ms,
			       const char *slots)
{
	g_autofree char *service_time = g_strconcat("--service-ms=", service_ms, NULL);
	const char *target_arguments[] = {service_time, NULL};
	g_autofree char *line = NULL, *ports = NULL, *target = NULL, *view = NULL, *text = NULL;
	const char *arguments[] = {"--vm",   "x",  "--incarnation", "500", "--target", NULL,
				   "--view", NULL, "--slots",	    slots, NULL};

	fixture->folder = g_dir_make_tmp("peers-XXXXXX", NULL);
	view = g_build_filename(fixture->folder, "view.ini", NULL);
	text = g_strdup_printf("[view]\nversion=1\n[route all]\npath=/\nservice=s\n[endpoint peer]\nzone=z\n"
			       "service=s\naddress=%s\nincarnation=9\nslots=12\n",
			       address);
	ck_assert(g_file_set_contents(view, text, -1, NULL));
	process_start(&fixture->target, "standin_target", target_arguments);
	line = process_read_line(&fixture->target);
	fixture->target_port = atoi(line);
	target = g_strdup_printf("127.0.0.1:%s", line);
	arguments[5] = target;
	arguments[7] = view;
	process_start(&fixture->proxy, "traffic_driver", arguments);
	ports = process_read_line(&fixture->proxy);
	ck_assert_int_eq(sscanf(ports, "{\"http\":\"127.0.0.1:%d\",\"call\":\"127.0.0.1:%d\"",
				&fixture->http_port, &fixture->call_port),
			 2);
}

/* Starts the same with a fast target. */
static void start_fixture(fixture_t *fixture, const char *address)
{
	start_slow_fixture(fixture, address, "5", "12");
}

/* Kills proxy and target and removes the folder. */
static void stop_fixture(fixture_t *fixture)
{
	g_autofree char *view = g_build_filename(fixture->folder, "view.ini", NULL);

	process_kill(&fixture->proxy);
	process_kill(&fixture->target);
	unlink(view);
	rmdir(fixture->folder);
	g_free(fixture->folder);
}

/* A call request that the test received as the receiver, and the identity of its sender. */
typedef struct {
	Caraway__Message *request;
	GBytes *peer;
} received_t;

/* Waits for the next call request. */
static received_t receive_request(link_server_t *server)
{
	received_t received = {0};

	for (int i = 0; i < MAX_POLLS && !received.request; i++) {
		received.request = link_server_receive(server, &received.peer);
		if (!received.request)
			usleep(POLL_INTERVAL_US);
	}
	ck_assert_ptr_nonnull(received.request);
	ck_assert_int_eq(received.request->body_case, CARAWAY__MESSAGE__BODY_CALL_REQUEST);
	return received;
}

/* Replies to a request the given number of times, with the body of the request. */
static void send_replies(link_server_t *server, const received_t *received, int times)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__CallReply reply = CARAWAY__CALL_REPLY__INIT;

	message.body_case = CARAWAY__MESSAGE__BODY_CALL_REPLY;
	message.call_reply = &reply;
	reply.id = received->request->call_request->id;
	reply.status = 200;
	reply.body = received->request->call_request->body;
	for (int i = 0; i < times; i++)
		ck_assert_int_eq(link_server_send(server, received->peer, &message), CW_OK);
}

/* Frees a received request. */
static void free_received(received_t *received)
{
	cw_message_free(received->request);
	g_bytes_unref(received->peer);
}

/*
 * Replies arrive in another order than the requests, twice, and again after their
 * call has ended: each caller receives the response to its own request.
 */
START_TEST(test_reordered_replies)
{
	link_context_t *context = link_context_new();
	received_t first, second, third;
	link_server_t *server;
	fixture_t fixture;
	caller_response_t response;
	int fds[3];

	ck_assert_int_eq(link_server_open(context, "127.0.0.1:0", &server), CW_OK);
	start_fixture(&fixture, link_server_address(server));
	fds[0] = caller_send(fixture.http_port, "POST", "/", "first", 5000);
	first = receive_request(server);
	fds[1] = caller_send(fixture.http_port, "POST", "/", "second", 5000);
	second = receive_request(server);
	send_replies(server, &second, 2);
	send_replies(server, &first, 2);
	caller_receive(fds[1], &response);
	ck_assert_str_eq(response.body, "second");
	caller_receive(fds[0], &response);
	ck_assert_str_eq(response.body, "first");
	fds[2] = caller_send(fixture.http_port, "POST", "/", "third", 5000);
	third = receive_request(server);
	send_replies(server, &first, 1);
	send_replies(server, &third, 1);
	caller_receive(fds[2], &response);
	ck_assert_str_eq(response.body, "third");
	free_received(&first);
	free_received(&second);
	free_received(&third);
	stop_fixture(&fixture);
	link_server_close(server);
	link_context_free(context);
}
END_TEST

/* Sends a call request to the proxy, with the test as the origin. */
static void send_request(link_clients_t *clients, const char *address, uint64_t sequence, uint64_t receiver,
			 const char *id)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__CallRequest request = CARAWAY__CALL_REQUEST__INIT;
	Caraway__CallId call = CARAWAY__CALL_ID__INIT;
	Caraway__Header header = CARAWAY__HEADER__INIT;
	Caraway__Header *headers[] = {&header};

	call.origin = TEST_ORIGIN;
	call.sequence = sequence;
	header.name = (char *)"X-Request-Id";
	header.value = (char *)id;
	request.id = &call;
	request.receiver = receiver;
	request.left_ms = UINT32_MAX / 2;
	request.useful_ms = INT32_MAX / 2;
	request.method = (char *)"POST";
	request.path = (char *)"/";
	request.headers = headers;
	request.n_headers = 1;
	message.body_case = CARAWAY__MESSAGE__BODY_CALL_REQUEST;
	message.call_request = &request;
	for (int i = 0; i < MAX_POLLS && link_clients_send(clients, address, &message) != CW_OK; i++)
		usleep(POLL_INTERVAL_US);
}

/* Sends a revocation of the test's call with this sequence number, unless it is queued, to the proxy. */
static void send_revoke_unless_queued(link_clients_t *clients, const char *address, uint64_t sequence)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__Revoke revoke = CARAWAY__REVOKE__INIT;
	Caraway__CallId call = CARAWAY__CALL_ID__INIT;

	call.origin = TEST_ORIGIN;
	call.sequence = sequence;
	revoke.id = &call;
	revoke.receiver = PROXY_INCARNATION;
	revoke.keep_queued = true;
	message.body_case = CARAWAY__MESSAGE__BODY_REVOKE;
	message.revoke = &revoke;
	ck_assert_int_eq(link_clients_send(clients, address, &message), CW_OK);
}

/* Sends a revocation of the test's call with this sequence number to the proxy. */
static void send_revoke(link_clients_t *clients, const char *address, uint64_t sequence, uint64_t receiver)
{
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	Caraway__Revoke revoke = CARAWAY__REVOKE__INIT;
	Caraway__CallId call = CARAWAY__CALL_ID__INIT;

	call.origin = TEST_ORIGIN;
	call.sequence = sequence;
	revoke.id = &call;
	revoke.receiver = receiver;
	message.body_case = CARAWAY__MESSAGE__BODY_REVOKE;
	message.revoke = &revoke;
	for (int i = 0; i < MAX_POLLS && link_clients_send(clients, address, &message) != CW_OK; i++)
		usleep(POLL_INTERVAL_US);
}

/* Waits for the next message from the proxy. */
static Caraway__Message *receive_message(link_clients_t *clients)
{
	Caraway__Message *message = NULL;
	const char *address;

	for (int i = 0; i < MAX_POLLS && !message; i++) {
		message = link_clients_receive(clients, &address);
		if (!message)
			usleep(POLL_INTERVAL_US);
	}
	ck_assert_ptr_nonnull(message);
	return message;
}

/* Checks that the next message replies that a call was not run, for the given reason. */
static void check_refused(link_clients_t *clients, const char *reason)
{
	Caraway__Message *message = receive_message(clients);

	ck_assert_int_eq(message->body_case, CARAWAY__MESSAGE__BODY_CALL_REPLY);
	ck_assert_int_eq(message->call_reply->outcome, CARAWAY__CALL_OUTCOME__OUTCOME_NOT_RUN);
	ck_assert_str_eq(message->call_reply->reason, reason);
	cw_message_free(message);
}

/* Checks that the next message replies to a revocation with the given value of never_started. */
static void check_never_started(link_clients_t *clients, bool never_started)
{
	Caraway__Message *message = receive_message(clients);

	ck_assert_int_eq(message->body_case, CARAWAY__MESSAGE__BODY_REVOKE_REPLY);
	ck_assert_int_eq(message->revoke_reply->never_started, never_started);
	cw_message_free(message);
}

/* Returns how often the target ran the request with this id. */
static int executions(const fixture_t *fixture, const char *id)
{
	g_autofree char *path = g_strdup_printf("/executions/%s", id);
	caller_response_t response;

	caller_call(fixture->target_port, "GET", path, "-", 1000, &response);
	return atoi(response.body);
}

/*
 * Requests arrive more than once, after their revocation, or for an earlier
 * incarnation: the first kind runs once, the others are refused and never run.
 */
START_TEST(test_repeated_requests)
{
	link_context_t *context = link_context_new();
	link_clients_t *clients = link_clients_new(context);
	Caraway__Message *message;
	fixture_t fixture;
	char *address;

	start_fixture(&fixture, "127.0.0.1:1");
	address = g_strdup_printf("127.0.0.1:%d", fixture.call_port);
	send_request(clients, address, 1, PROXY_INCARNATION, "doubled");
	send_request(clients, address, 1, PROXY_INCARNATION, "doubled");
	message = receive_message(clients);
	ck_assert_int_eq(message->call_reply->status, 200);
	cw_message_free(message);
	send_request(clients, address, 1, PROXY_INCARNATION, "doubled");
	send_revoke(clients, address, 1, PROXY_INCARNATION);
	check_never_started(clients, false);

	send_revoke(clients, address, 2, PROXY_INCARNATION);
	check_never_started(clients, true);
	send_request(clients, address, 2, PROXY_INCARNATION, "revoked");
	check_refused(clients, "revoked");

	send_request(clients, address, 3, PROXY_INCARNATION - 1, "predecessor");
	check_refused(clients, "incarnation");
	send_revoke(clients, address, 3, PROXY_INCARNATION - 1);
	check_never_started(clients, false);

	usleep(SETTLE_US);
	ck_assert_int_eq(executions(&fixture, "doubled"), 1);
	ck_assert_int_eq(executions(&fixture, "revoked"), 0);
	ck_assert_int_eq(executions(&fixture, "predecessor"), 0);
	g_free(address);
	stop_fixture(&fixture);
	link_clients_free(clients);
	link_context_free(context);
}
END_TEST

/* Checks that the next message answers a revocation of a call that is kept in the queue, or has started. */
static void check_kept(link_clients_t *clients, bool kept)
{
	Caraway__Message *message = receive_message(clients);

	ck_assert_int_eq(message->body_case, CARAWAY__MESSAGE__BODY_REVOKE_REPLY);
	ck_assert_int_eq(message->revoke_reply->kept, kept);
	ck_assert(!message->revoke_reply->never_started);
	cw_message_free(message);
}

/* Checks that the next message is the target's answer to a call with this sequence number. */
static void check_answered(link_clients_t *clients, uint64_t sequence)
{
	Caraway__Message *message = receive_message(clients);

	ck_assert_int_eq(message->body_case, CARAWAY__MESSAGE__BODY_CALL_REPLY);
	ck_assert_uint_eq(message->call_reply->id->sequence, sequence);
	ck_assert_int_eq(message->call_reply->status, 200);
	cw_message_free(message);
}

/* CONFIG, BUDGET: a call that waits for its turn is withdrawn by an origin that asks whether the receiver is there. */
START_TEST(test_queued_call_stays_when_its_origin_asks)
{
	link_context_t *context = link_context_new();
	link_clients_t *clients = link_clients_new(context);
	fixture_t fixture;
	char *address;

	start_slow_fixture(&fixture, "127.0.0.1:1", "400", "1");
	address = g_strdup_printf("127.0.0.1:%d", fixture.call_port);
	send_request(clients, address, 1, PROXY_INCARNATION, "first");
	send_request(clients, address, 2, PROXY_INCARNATION, "second");
	send_revoke_unless_queued(clients, address, 1);
	check_kept(clients, false);
	send_revoke_unless_queued(clients, address, 2);
	check_kept(clients, true);
	check_answered(clients, 1);
	check_answered(clients, 2);
	ck_assert_int_eq(executions(&fixture, "first"), 1);
	ck_assert_int_eq(executions(&fixture, "second"), 1);
	g_free(address);
	stop_fixture(&fixture);
	link_clients_free(clients);
	link_context_free(context);
}
END_TEST

/* Checks that the next message tells that a call was revoked, and whether it had been in the queue. */
static void check_revoked(link_clients_t *clients, bool was_queued)
{
	Caraway__Message *message = receive_message(clients);

	ck_assert_int_eq(message->body_case, CARAWAY__MESSAGE__BODY_REVOKE_REPLY);
	ck_assert(message->revoke_reply->never_started);
	ck_assert_int_eq(message->revoke_reply->queued_ms > 0, was_queued);
	cw_message_free(message);
}

/* The reply to a revocation tells whether the call had waited in the queue: logged for calls that fail so. */
START_TEST(test_revoked_call_tells_whether_it_was_queued)
{
	link_context_t *context = link_context_new();
	link_clients_t *clients = link_clients_new(context);
	fixture_t fixture;
	char *address;

	start_slow_fixture(&fixture, "127.0.0.1:1", "400", "1");
	address = g_strdup_printf("127.0.0.1:%d", fixture.call_port);
	send_request(clients, address, 1, PROXY_INCARNATION, "first");
	send_request(clients, address, 2, PROXY_INCARNATION, "queued");
	send_revoke(clients, address, 2, PROXY_INCARNATION);
	check_revoked(clients, true);
	send_revoke(clients, address, 3, PROXY_INCARNATION);
	check_revoked(clients, false);
	check_answered(clients, 1);
	ck_assert_int_eq(executions(&fixture, "queued"), 0);
	g_free(address);
	stop_fixture(&fixture);
	link_clients_free(clients);
	link_context_free(context);
}
END_TEST

/* Adds a test as a separate test case, so that CK_RUN_CASE can select it. */
static void add_test_case(Suite *suite, const TTest *test)
{
	TCase *tcase = tcase_create(test->name);

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, test);
	suite_add_tcase(suite, tcase);
}

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("peers");

	add_test_case(suite, test_reordered_replies);
	add_test_case(suite, test_repeated_requests);
	add_test_case(suite, test_queued_call_stays_when_its_origin_asks);
	add_test_case(suite, test_revoked_call_tells_whether_it_was_queued);
	return script_run_suite(suite);
}
