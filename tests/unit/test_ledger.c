/* Tests of the ledger: scripts with expected output, a failed check at activation, and archived changes. */
#include <check.h>
#include <string.h>

#include "script.h"
#include "script_args.h"

/* The state of a script: its ledger, the current time and the commands that wait for "commit". */
typedef struct {
	cw_ledger_t *ledger;
	int64_t now_ms;		  /* UTC, the time at which the next commands are proposed */
	GQueue proposed_commands; /* Caraway__Command, in the order of the log */
} script_state_t;

static const char *const state_names[] = {"none", "booked", "accepted", "in-force", "refused", "withdrawn"};

/* Applies a command and prints its status, the state of its change and the error message, if any. */
static void apply(script_state_t *state, Caraway__Command *command, GString *out)
{
	Caraway__Change *change;
	cw_status_t status;

	command->proposed_ms = state->now_ms;
	status = cw_ledger_apply(state->ledger, command, &change);
	g_string_append(out, cw_status_name(status));
	if (change)
		g_string_append_printf(out, " [%s]", state_names[change->state]);
	if (status)
		g_string_append_printf(out, " %s", cw_last_error_message());
	g_string_append_c(out, '\n');
	cw_message_free(change);
}

/* "book NUMBER OPERATOR DUE SELECTOR ARGUMENT..." */
static void run_book(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Book book = CARAWAY__BOOK__INIT;

	book.number = g_ascii_strtoull(argv[1], NULL, 10);
	book.operator_name = argv[2];
	book.due_ms = g_ascii_strtoll(argv[3], NULL, 10);
	book.content = content_from_args(argv[4], argc - 5, argv + 5);
	command.body_case = CARAWAY__COMMAND__BODY_BOOK;
	command.book = &book;
	apply(state, &command, out);
	cw_message_free(book.content);
}

/* "review NUMBER OPERATOR" */
static void run_review(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;

	(void)argc;
	review.number = g_ascii_strtoull(argv[1], NULL, 10);
	review.operator_name = argv[2];
	command.body_case = CARAWAY__COMMAND__BODY_REVIEW;
	command.review = &review;
	apply(state, &command, out);
}

/* "withdraw NUMBER OPERATOR" */
static void run_withdraw(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Withdraw withdraw = CARAWAY__WITHDRAW__INIT;

	(void)argc;
	withdraw.number = g_ascii_strtoull(argv[1], NULL, 10);
	withdraw.operator_name = argv[2];
	command.body_case = CARAWAY__COMMAND__BODY_WITHDRAW;
	command.withdraw = &withdraw;
	apply(state, &command, out);
}

/* "activate NUMBER" */
static void run_activate(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Activate activate = CARAWAY__ACTIVATE__INIT;

	(void)argc;
	activate.number = g_ascii_strtoull(argv[1], NULL, 10);
	command.body_case = CARAWAY__COMMAND__BODY_ACTIVATE;
	command.activate = &activate;
	apply(state, &command, out);
}

/* "vm NAME [KEY=VALUE]..." */
static void run_vm(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Register body = CARAWAY__REGISTER__INIT;

	body.vm = vm_from_args(argv[1], argc - 2, argv + 2);
	command.body_case = CARAWAY__COMMAND__BODY_REGISTER_VM;
	command.register_vm = &body;
	apply(state, &command, out);
	cw_message_free(body.vm);
}

/* "label NAME KEY=VALUE...": sets labels as operator anna; an empty value removes a label. */
static void run_label(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__SetLabels body = CARAWAY__SET_LABELS__INIT;
	Caraway__Vm *vm = vm_from_args(argv[1], 0, NULL);

	vm->labels = realloc(vm->labels, (size_t)argc * sizeof(Caraway__Label *));
	for (int i = 2; i < argc; i++) {
		char **pair = g_strsplit(argv[i], "=", 2);

		vm_add_label(vm, pair[0], pair[1]);
		g_strfreev(pair);
	}
	body.vm = vm->name;
	body.operator_name = "anna";
	body.n_labels = vm->n_labels;
	body.labels = vm->labels;
	command.body_case = CARAWAY__COMMAND__BODY_SET_LABELS;
	command.set_labels = &body;
	apply(state, &command, out);
	cw_message_free(vm);
}

/* "begin SERVICE VERSION DURATION_MS [OPERATOR]": orders a roll-out. */
static void run_begin(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__RolloutBegin begin = CARAWAY__ROLLOUT_BEGIN__INIT;

	begin.service = argv[1];
	begin.target_version = argv[2];
	begin.duration_ms = g_ascii_strtoll(argv[3], NULL, 10);
	begin.operator_name = argc > 4 ? argv[4] : "operators";
	command.body_case = CARAWAY__COMMAND__BODY_ROLLOUT_BEGIN;
	command.rollout_begin = &begin;
	apply(state, &command, out);
}

/* "step SEQUENCE STATE": takes a roll-out to the step of a number. */
static void run_step(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__RolloutStep step = CARAWAY__ROLLOUT_STEP__INIT;

	(void)argc;
	step.sequence = g_ascii_strtoull(argv[1], NULL, 10);
	step.state = (Caraway__RolloutState)g_ascii_strtoll(argv[2], NULL, 10);
	command.body_case = CARAWAY__COMMAND__BODY_ROLLOUT_STEP;
	command.rollout_step = &step;
	apply(state, &command, out);
}

/* "verdict SEQUENCE good|bad [REASON]": ends a roll-out. */
static void run_verdict(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__RolloutVerdict verdict = CARAWAY__ROLLOUT_VERDICT__INIT;

	verdict.sequence = g_ascii_strtoull(argv[1], NULL, 10);
	verdict.succeeded = !strcmp(argv[2], "good");
	if (argc > 3)
		verdict.reason = argv[3];
	command.body_case = CARAWAY__COMMAND__BODY_ROLLOUT_VERDICT;
	command.rollout_verdict = &verdict;
	apply(state, &command, out);
}

/* "rollouts": prints the newest roll-out of each service. */
static void run_rollouts(script_state_t *state, int argc, char **argv, GString *out)
{
	GPtrArray *rollouts = cw_ledger_rollouts(state->ledger);

	(void)argc;
	(void)argv;
	for (guint i = 0; i < rollouts->len; i++) {
		const Caraway__Rollout *rollout = rollouts->pdata[i];

		g_string_append_printf(out,
				       "%" G_GUINT64_FORMAT " %s to %s: %s at %" G_GINT64_FORMAT
				       ", begun at %" G_GINT64_FORMAT " for %" G_GINT64_FORMAT "%s%s\n",
				       rollout->sequence, rollout->service, rollout->target_version,
				       cw_rollout_step_name((cw_rollout_step_t)rollout->state),
				       rollout->state_ms, rollout->begun_ms, rollout->duration_ms,
				       *rollout->reason ? ", " : "", rollout->reason);
	}
	g_ptr_array_unref(rollouts);
}

/* "due": prints the number of the change to activate now, 0 when there is none. */
static void run_due(script_state_t *state, int argc, char **argv, GString *out)
{
	(void)argc;
	(void)argv;
	g_string_append_printf(out, "due %" G_GUINT64_FORMAT "\n",
			       cw_ledger_due_change(state->ledger, state->now_ms));
}

/* "show NUMBER": prints the state, operators and times of a change. */
static void run_show(script_state_t *state, int argc, char **argv, GString *out)
{
	const Caraway__Change *change = cw_ledger_change(state->ledger, g_ascii_strtoull(argv[1], NULL, 10));

	(void)argc;
	g_string_append_printf(out,
			       "%s booked by %s at %" G_GINT64_FORMAT ", reviewed by %s at %" G_GINT64_FORMAT
			       ", due %" G_GINT64_FORMAT ", in force at %" G_GINT64_FORMAT
			       ", version %" G_GUINT64_FORMAT "\n",
			       state_names[change->state], change->booked_by, change->booked_ms,
			       change->reviewed_by, change->reviewed_ms, change->due_ms, change->in_force_ms,
			       change->version);
}

/* "holds VM": prints the names of the sections in a VM's configuration, its version and the feed's index. */
static void run_holds(script_state_t *state, int argc, char **argv, GString *out)
{
	const cw_feed_t *feed = cw_ledger_feed(state->ledger);
	const cw_catalog_t *catalog = cw_feed_catalog(feed);
	cw_config_t *config = cw_catalog_resolve(catalog, cw_catalog_vm(catalog, argv[1]));

	(void)argc;
	g_string_append_printf(out, "version %" G_GUINT64_FORMAT ", index %" G_GUINT64_FORMAT ":",
			       config->version, cw_feed_index(feed));
	for (size_t i = 0; i < config->services->len; i++)
		g_string_append_printf(out, " %s", ((Caraway__Service *)config->services->pdata[i])->name);
	for (size_t i = 0; i < config->routes->len; i++)
		g_string_append_printf(out, " %s", ((Caraway__Route *)config->routes->pdata[i])->name);
	for (size_t i = 0; i < config->targets->len; i++)
		g_string_append_printf(out, " %s", ((Caraway__Target *)config->targets->pdata[i])->name);
	g_string_append_c(out, '\n');
	cw_config_free(config);
}

/* "reload": replaces the ledger by one loaded from its snapshot; prints if the snapshots are equal. */
static void run_reload(script_state_t *state, int argc, char **argv, GString *out)
{
	GBytes *saved = cw_ledger_save(state->ledger);
	GBytes *saved_again;
	gsize length;
	const void *data = g_bytes_get_data(saved, &length);

	(void)argc;
	(void)argv;
	cw_ledger_free(state->ledger);
	state->ledger = cw_ledger_new(100);
	g_string_append(out, cw_status_name(cw_ledger_load(state->ledger, data, length)));
	saved_again = cw_ledger_save(state->ledger);
	g_string_append(out, g_bytes_equal(saved, saved_again) ? " equal\n" : " differs\n");
	g_bytes_unref(saved);
	g_bytes_unref(saved_again);
}

/* "at MS": sets the time of the next commands. */
static void run_at(script_state_t *state, int argc, char **argv, GString *out)
{
	(void)argc;
	(void)out;
	state->now_ms = g_ascii_strtoll(argv[1], NULL, 10);
}

/* "propose RELEASE BASE APPROVAL ARGUMENT...": checks a release; queues its command, or prints why not. */
static void run_propose(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Replace replace = CARAWAY__REPLACE__INIT;
	Caraway__Content *complete = content_from_args("", argc - 4, argv + 4);
	bool already_accepted = false;
	cw_status_t status;

	replace.operator_name = "operators";
	replace.approval = argv[3];
	replace.release = g_ascii_strtoull(argv[1], NULL, 10);
	replace.base_release = g_ascii_strtoull(argv[2], NULL, 10);
	replace.digest = cw_release_digest(replace.release, replace.base_release, complete);
	status = cw_ledger_check_release(state->ledger, replace.release, replace.base_release, replace.digest,
					 &already_accepted);
	if (status || already_accepted) {
		g_string_append_printf(out, "%s\n",
				       already_accepted ? "accepted before" : cw_last_error_message());
	} else {
		cw_difference_t *difference = cw_ledger_release_difference(state->ledger, complete);

		replace.content = difference->content;
		command.body_case = CARAWAY__COMMAND__BODY_REPLACE;
		command.replace = &replace;
		g_queue_push_tail(&state->proposed_commands, cw_message_copy(&command.base));
		cw_difference_free(difference);
	}
	cw_message_free(complete);
}

/* "commit": applies the oldest proposed command. */
static void run_commit(script_state_t *state, int argc, char **argv, GString *out)
{
	Caraway__Command *command = g_queue_pop_head(&state->proposed_commands);

	(void)argc;
	(void)argv;
	apply(state, command, out);
	cw_message_free(command);
}

/* "release": prints the release in force, its services, and its routes with the service of each. */
static void run_release(script_state_t *state, int argc, char **argv, GString *out)
{
	cw_config_t *config = cw_ledger_release_config(state->ledger);

	(void)argc;
	(void)argv;
	g_string_append_printf(out, "release %" G_GUINT64_FORMAT ":",
			       cw_ledger_release_in_force(state->ledger));
	for (guint i = 0; i < config->services->len; i++)
		g_string_append_printf(out, " %s", ((Caraway__Service *)config->services->pdata[i])->name);
	for (guint i = 0; i < config->routes->len; i++) {
		const Caraway__Route *route = config->routes->pdata[i];

		g_string_append_printf(out, " %s>%s", route->name, route->service);
	}
	g_string_append_c(out, '\n');
	cw_config_free(config);
}

/* Runs one command of a script. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	static const struct {
		const char *name;
		void (*run)(script_state_t *state, int argc, char **argv, GString *out);
	} commands[] = {
		{"book", run_book},	{"review", run_review},	  {"withdraw", run_withdraw},
		{"vm", run_vm},		{"label", run_label},	  {"activate", run_activate},
		{"due", run_due},	{"show", run_show},	  {"holds", run_holds},
		{"reload", run_reload}, {"at", run_at},		  {"propose", run_propose},
		{"commit", run_commit}, {"release", run_release}, {"begin", run_begin},
		{"step", run_step},	{"verdict", run_verdict}, {"rollouts", run_rollouts},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(argv[0], commands[i].name)) {
			commands[i].run(data, argc, argv, out);
			return;
		}
	g_string_append(out, "unknown command\n");
}

/* Parses and runs one command line. */
static void run_line(script_state_t *state, const char *text, GString *out)
{
	int argc;
	char **argv;

	ck_assert(g_shell_parse_argv(text, &argc, &argv, NULL));
	run_command(state, argc, argv, out);
	g_strfreev(argv);
}

/* Runs every script with a new ledger. */
START_TEST(test_script)
{
	GPtrArray *scripts = script_list("tests/ledger");

	for (size_t i = 0; i < scripts->len; i++) {
		script_state_t state = {.ledger = cw_ledger_new(100)};
		char *difference = script_run(scripts->pdata[i], run_command, &state);

		ck_assert_msg(!difference, "%s", difference);
		cw_ledger_free(state.ledger);
	}
	ck_assert_uint_gt(scripts->len, 0);
	g_ptr_array_unref(scripts);
}
END_TEST

/*
 * Loads the ledger's snapshot with all layers removed from the catalog, so that no
 * change is in force any more.  This simulates a fault in the check at the review:
 * an accepted change can then refer to a service that does not exist.
 */
static void load_without_layers(script_state_t *state)
{
	enum { HASH_BYTES = 8 };
	GBytes *saved = cw_ledger_save(state->ledger);
	gsize length;
	const guint8 *data = g_bytes_get_data(saved, &length);
	Caraway__LedgerSnapshot *snapshot =
		caraway__ledger_snapshot__unpack(NULL, length - HASH_BYTES, data + HASH_BYTES);
	Caraway__Catalog *catalog = snapshot->feed->catalog;
	guint8 *altered;
	uint64_t hash;

	while (catalog->n_layers)
		cw_message_free(catalog->layers[--catalog->n_layers]);
	length = HASH_BYTES + caraway__ledger_snapshot__get_packed_size(snapshot);
	altered = g_malloc(length);
	caraway__ledger_snapshot__pack(snapshot, altered + HASH_BYTES);
	hash = GUINT64_TO_LE(cw_hash(altered + HASH_BYTES, length - HASH_BYTES, 0));
	memcpy(altered, &hash, HASH_BYTES);
	ck_assert_int_eq(cw_ledger_load(state->ledger, altered, length), CW_OK);
	g_free(altered);
	cw_message_free(snapshot);
	g_bytes_unref(saved);
}

/* An accepted change that fails its check when it is activated is refused and removed from the feed. */
START_TEST(test_failed_activation)
{
	static const char *const setup[] = {
		"vm v1",
		"book 1 anna 0 '' service=a",
		"review 1 bela",
		"activate 1",
		"book 2 anna 5 '' route=r:/:a",
		"review 2 bela",
		"at 5",
		"due",
	};
	static const char *const commands[] = {"activate 2",	  "due",   "holds v1", "review 2 bela",
					       "withdraw 2 anna", "reload"};
	script_state_t state = {.ledger = cw_ledger_new(10)};
	GString *out = g_string_new(NULL);
	Caraway__FeedSnapshot *feed;

	for (size_t i = 0; i < G_N_ELEMENTS(setup); i++)
		run_line(&state, setup[i], out);
	g_string_set_size(out, 0);
	load_without_layers(&state);
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		run_line(&state, commands[i], out);
	ck_assert_str_eq(out->str,
			 "check [refused] proxy v1: route r would lack service a\n"
			 "due 0\n"
			 "version 2, index 5:\n"
			 "ok [refused]\n"
			 "state [refused] change 2 is refused: proxy v1: route r would lack service a\n"
			 "ok equal\n");
	feed = cw_feed_save(cw_ledger_feed(state.ledger));
	ck_assert_uint_eq(feed->n_staged, 0);
	cw_message_free(feed);
	g_string_free(out, TRUE);
	cw_ledger_free(state.ledger);
}
END_TEST

/*
 * The ledger archives all but the latest 40000 finished changes.  A repeated booking or withdrawal of an
 * archived change still gets the right status, also after a reload.
 */
START_TEST(test_archive)
{
	script_state_t state = {.ledger = cw_ledger_new(10)};
	GString *out = g_string_new(NULL);
	char *book[] = {"book", NULL, "anna", "5", "", "service=a"};
	char *conflicting[] = {"book", "1", "anna", "6", "", "service=a"};
	char *withdraw[] = {"withdraw", NULL, "bela"};
	GPtrArray *changes;

	for (int i = 1; i <= 41000; i++) {
		book[1] = withdraw[1] = g_strdup_printf("%d", i);
		run_book(&state, G_N_ELEMENTS(book), book, out);
		run_withdraw(&state, G_N_ELEMENTS(withdraw), withdraw, out);
		g_free(book[1]);
	}
	g_string_set_size(out, 0);
	book[1] = withdraw[1] = "1";
	run_book(&state, G_N_ELEMENTS(book), book, out);
	run_book(&state, G_N_ELEMENTS(conflicting), conflicting, out);
	run_withdraw(&state, G_N_ELEMENTS(withdraw), withdraw, out);
	run_reload(&state, 0, NULL, out);
	run_book(&state, G_N_ELEMENTS(book), book, out);
	run_book(&state, G_N_ELEMENTS(conflicting), conflicting, out);
	ck_assert_str_eq(out->str,
			 "ok [withdrawn]\n"
			 "conflict [withdrawn] change 1 was booked with another content, due time or "
			 "booker and is withdrawn and archived; book under another number\n"
			 "state [withdrawn] change 1 is withdrawn and archived\n"
			 "ok equal\n"
			 "ok [withdrawn]\n"
			 "conflict [withdrawn] change 1 was booked with another content, due time or "
			 "booker and is withdrawn and archived; book under another number\n");
	changes = cw_ledger_changes(state.ledger);
	ck_assert_uint_eq(changes->len, 40000);
	g_ptr_array_unref(changes);
	g_string_free(out, TRUE);
	cw_ledger_free(state.ledger);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("ledger");
	TCase *tcase = tcase_create("ledger");

	tcase_add_test(tcase, test_script);
	tcase_add_test(tcase, test_failed_activation);
	tcase_add_test(tcase, test_archive);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
