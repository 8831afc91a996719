/* Scripted tests of the access control of connections by keys, and of the key settings: tests/keys. */
#include <check.h>
#include <glib/gstdio.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "clock.h"
#include "counters.h"
#include "link.h"
#include "script.h"
#include "settings.h"

/*
 * COUNTED_TIMEOUT_MS limits the wait for an outcome where a refusal raises a counter.  Where none does, a
 * message counts as refused when it has not been received after UNCOUNTED_TIMEOUT_MS.
 */
enum { COUNTED_TIMEOUT_MS = 5000, UNCOUNTED_TIMEOUT_MS = 400, POLL_MS = 5, MAX_KEY_PAIRS = 8 };

/* A key pair, known to the scripts by its name. */
typedef struct {
	char *name;
	char public_key[KEY_TEXT_BYTES];
	char secret_key[KEY_TEXT_BYTES];
} key_pair_t;

/* State that the commands of a script operate on. */
typedef struct {
	key_pair_t key_pairs[MAX_KEY_PAIRS];
	size_t count; /* of key_pairs */
	char *folder; /* for settings and secret keys */
} run_t;

/* Returns the key pair with a name; the first call for a name generates it. */
static const key_pair_t *get_key_pair(run_t *run, const char *name)
{
	key_pair_t *pair;

	for (size_t i = 0; i < run->count; i++)
		if (!strcmp(run->key_pairs[i].name, name))
			return &run->key_pairs[i];
	pair = &run->key_pairs[run->count++];
	pair->name = g_strdup(name);
	ck_assert_int_eq(zmq_curve_keypair(pair->public_key, pair->secret_key), 0);
	return pair;
}

/* Returns the keys of a process that owns the named key pair; "none": those of unencrypted connections. */
static keys_t *new_keys(run_t *run, const char *name)
{
	const char *const operators[] = {"ilona", "bence", "olga"};
	const unsigned roles[] = {OPERATOR_BOOKER, OPERATOR_REVIEWER, 0};
	keys_t *keys = keys_new_insecure();

	if (!strcmp(name, "none"))
		return keys;
	keys->insecure = false;
	g_strlcpy(keys->secret_key, get_key_pair(run, name)->secret_key, KEY_TEXT_BYTES);
	g_strlcpy(keys->public_key, get_key_pair(run, name)->public_key, KEY_TEXT_BYTES);
	g_strlcpy(keys->control_public, get_key_pair(run, "control")->public_key, KEY_TEXT_BYTES);
	g_strlcpy(keys->proxy_public, get_key_pair(run, "proxy")->public_key, KEY_TEXT_BYTES);
	for (size_t i = 0; i < G_N_ELEMENTS(operators); i++) {
		operator_key_t entry = {.name = g_strdup(operators[i]), .roles = roles[i]};
		g_strlcpy(entry.public_key, get_key_pair(run, operators[i])->public_key, KEY_TEXT_BYTES);
		g_array_append_val(keys->operators, entry);
	}
	return keys;
}

/*
 * Sets the body of a message, by its short name in the scripts; any other name is a status query.  Operator
 * requests claim the operator "mallory", which the server must replace by the name of the client's key.
 */
static void set_body(Caraway__Message *message, const char *body)
{
	static Caraway__RaftMessage raft = CARAWAY__RAFT_MESSAGE__INIT;
	static Caraway__Pull pull = CARAWAY__PULL__INIT;
	static Caraway__CallRequest call = CARAWAY__CALL_REQUEST__INIT;
	static Caraway__Book book = CARAWAY__BOOK__INIT;
	static Caraway__Review review = CARAWAY__REVIEW__INIT;
	static Caraway__StatusQuery status = CARAWAY__STATUS_QUERY__INIT;
	static Caraway__OperatorRequest request = CARAWAY__OPERATOR_REQUEST__INIT;

	message->body_case = CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST;
	message->operator_request = &request;
	request.operator_name = review.operator_name = "mallory";
	if (!strcmp(body, "raft")) {
		message->body_case = CARAWAY__MESSAGE__BODY_RAFT;
		message->raft = &raft;
	} else if (!strcmp(body, "pull")) {
		message->body_case = CARAWAY__MESSAGE__BODY_PULL;
		message->pull = &pull;
	} else if (!strcmp(body, "call")) {
		message->body_case = CARAWAY__MESSAGE__BODY_CALL_REQUEST;
		message->call_request = &call;
	} else if (!strcmp(body, "book")) {
		request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_BOOK;
		request.book = &book;
	} else if (!strcmp(body, "review")) {
		request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_REVIEW;
		request.review = &review;
	} else {
		request.body_case = CARAWAY__OPERATOR_REQUEST__BODY_STATUS;
		request.status = &status;
	}
}

/* Appends a line for a message that the server received and accepted. */
static void append_received(const Caraway__Message *message, GString *out)
{
	const Caraway__OperatorRequest *request = message->operator_request;

	if (message->body_case != CARAWAY__MESSAGE__BODY_OPERATOR_REQUEST)
		g_string_append(out, "received\n");
	else if (request->body_case == CARAWAY__OPERATOR_REQUEST__BODY_REVIEW)
		g_string_append_printf(out, "received, reviewed by %s\n", request->review->operator_name);
	else
		g_string_append_printf(out, "received from %s\n", request->operator_name);
}

/* Polls the server and the counters once; true when a message was received or a counter has increased. */
static bool poll_outcome(link_server_t *server, uint64_t unknown_before, uint64_t denied_before, GString *out)
{
	GBytes *peer;
	Caraway__Message *message = link_server_receive(server, &peer);

	if (message) {
		append_received(message, out);
		cw_message_free(message);
		g_bytes_unref(peer);
	} else if (counter_value(COUNTER_MESSAGE_DENIED) > denied_before) {
		g_string_append(out, "message denied\n");
	} else if (counter_value(COUNTER_KEY_UNKNOWN) > unknown_before) {
		g_string_append(out, "key unknown\n");
	} else {
		return false;
	}
	return true;
}

/* Sends one message from a client to a server and appends the outcome as a line. */
static void send_and_report(link_server_t *server, link_clients_t *clients, const char *body,
			    int64_t timeout_ms, GString *out)
{
	int64_t deadline_ms = clock_now_ms() + timeout_ms;
	uint64_t unknown_before = counter_value(COUNTER_KEY_UNKNOWN);
	uint64_t denied_before = counter_value(COUNTER_MESSAGE_DENIED);
	Caraway__Message message = CARAWAY__MESSAGE__INIT;
	bool sent = false;

	set_body(&message, body);
	while (clock_now_ms() < deadline_ms) {
		if (!sent)
			sent = link_clients_send(clients, link_server_address(server), &message) == CW_OK;
		if (poll_outcome(server, unknown_before, denied_before, out))
			return;
		g_usleep(POLL_MS * 1000);
	}
	g_string_append(out, sent ? "sent, nothing received\n" : "no connection\n");
}

/*
 * send FROM BODY TO [expecting ROLE]: FROM and TO name the key pairs of client and server, "none" is a
 * process without keys.  The client expects the server to have the key of ROLE, by default of TO.
 */
static void send_between(run_t *run, int argc, char **argv, GString *out)
{
	link_context_t *client_context = link_context_new();
	link_context_t *server_context = link_context_new();
	keys_t *client_keys = new_keys(run, argv[1]);
	keys_t *server_keys = new_keys(run, argv[3]);
	const char *expected_role = argc > 5 ? argv[5] : argv[3];
	GPtrArray *control_addresses = g_ptr_array_new();
	link_server_t *server;
	link_clients_t *clients = link_clients_new(client_context);
	bool refusal_is_counted = strcmp(argv[1], "none") != 0 && strcmp(argv[3], "none") != 0 && argc <= 5;

	ck_assert_int_eq(link_context_enable_encryption(server_context, server_keys, control_addresses),
			 CW_OK);
	ck_assert_int_eq(link_server_open(server_context, "127.0.0.1:0", &server), CW_OK);
	if (!strcmp(expected_role, "control"))
		g_ptr_array_add(control_addresses, (char *)link_server_address(server));
	ck_assert_int_eq(link_context_enable_encryption(client_context, client_keys, control_addresses),
			 CW_OK);
	send_and_report(server, clients, argv[2],
			refusal_is_counted ? COUNTED_TIMEOUT_MS : UNCOUNTED_TIMEOUT_MS, out);
	link_clients_free(clients);
	link_server_close(server);
	link_context_free(client_context);
	link_context_free(server_context);
	keys_free(client_keys);
	keys_free(server_keys);
	g_ptr_array_unref(control_addresses);
}

/*
 * load LINE...: appends lines to the settings of a control replica and loads them.  @NAME is replaced by a
 * public key, $NAME by the file of a secret key.
 */
static void run_load(run_t *run, int argc, char **argv, GString *out)
{
	GString *text = g_string_new("[process]\nrole = control\n[control-replicas]\n1 = 10.0.0.1:7101\n"
				     "[control]\nid = 1\ndata-folder = /tmp\n");
	char *path = g_build_filename(run->folder, "settings.ini", NULL);
	settings_t *settings = NULL;

	for (int i = 1; i < argc; i++)
		g_string_append_printf(text, "%s\n", argv[i]);
	for (size_t i = 0; i < run->count; i++) {
		const key_pair_t *pair = &run->key_pairs[i];
		char *public_reference = g_strdup_printf("@%s", pair->name);
		char *file = g_build_filename(run->folder, pair->name, NULL);
		char *secret_reference = g_strdup_printf("$%s", pair->name);
		g_string_replace(text, public_reference, pair->public_key, 0);
		g_string_replace(text, secret_reference, file, 0);
		g_free(public_reference);
		g_free(file);
		g_free(secret_reference);
	}
	g_file_set_contents(path, text->str, -1, NULL);
	if (settings_load(path, &settings) != CW_OK) {
		char *message = g_strdup(strstr(cw_last_error_message(), "settings.ini"));
		char *folder = strstr(message, run->folder);
		if (folder)
			memmove(folder, folder + strlen(run->folder) + 1,
				strlen(folder + strlen(run->folder) + 1) + 1);
		g_string_append_printf(out, "%s\n", message);
		g_free(message);
	} else {
		g_string_append_printf(out, "ok, %s, %u operators\n",
				       settings->keys->insecure ? "insecure" : "encrypted",
				       settings->keys->operators->len);
	}
	settings_free(settings);
	g_remove(path);
	g_free(path);
	g_string_free(text, TRUE);
}

/* file NAME MODE: writes the secret key of a key pair to a file with permissions MODE, octal. */
static void run_file(run_t *run, char **argv, GString *out)
{
	char *path = g_build_filename(run->folder, argv[1], NULL);

	(void)out;
	g_file_set_contents(path, get_key_pair(run, argv[1])->secret_key, -1, NULL);
	g_chmod(path, (int)strtol(argv[2], NULL, 8));
	g_free(path);
}

/* make FILE: generates a key pair twice into one file; the second time must not replace the first. */
static void run_make(run_t *run, char **argv, GString *out)
{
	char *path = g_build_filename(run->folder, argv[1], NULL);
	char public_key[KEY_TEXT_BYTES];
	char derived_public_key[KEY_TEXT_BYTES];
	char *secret_key = NULL;
	GStatBuf info;

	g_string_append_printf(out, "%s, ", cw_status_name(keys_generate(path, public_key)));
	g_file_get_contents(path, &secret_key, NULL, NULL);
	g_strchomp(secret_key);
	zmq_curve_public(derived_public_key, secret_key);
	g_stat(path, &info);
	g_string_append_printf(out, "mode %o, %s, ", info.st_mode & 0777,
			       strcmp(derived_public_key, public_key) ? "keys do not match" : "pair");
	g_string_append_printf(out, "again %s\n", cw_status_name(keys_generate(path, public_key)));
	g_remove(path);
	g_free(path);
	g_free(secret_key);
}

/* Executes one script command. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "send") && argc >= 4)
		send_between(run, argc, argv, out);
	else if (!strcmp(argv[0], "load"))
		run_load(run, argc, argv, out);
	else if (!strcmp(argv[0], "file") && argc == 3)
		run_file(run, argv, out);
	else if (!strcmp(argv[0], "make") && argc == 2)
		run_make(run, argv, out);
	else
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
}

/* Runs every script of tests/keys with the same key pairs. */
START_TEST(test_scripts)
{
	GPtrArray *files = script_list("tests/keys");
	run_t run = {.folder = g_dir_make_tmp("caraway-keys-XXXXXX", NULL)};

	ck_assert_uint_gt(files->len, 0);
	for (guint i = 0; i < files->len; i++) {
		char *difference = script_run(files->pdata[i], run_command, &run);
		ck_assert_msg(!difference, "%s", difference);
	}
	for (size_t i = 0; i < run.count; i++) {
		char *path = g_build_filename(run.folder, run.key_pairs[i].name, NULL);
		g_remove(path);
		g_free(path);
		g_free(run.key_pairs[i].name);
	}
	g_rmdir(run.folder);
	g_free(run.folder);
	g_ptr_array_unref(files);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("keys");
	TCase *tcase = tcase_create("scripts");

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, test_scripts);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
