/* Scripted runs of the ledger. */
#include <check.h>
#include <string.h>

#include "script.h"
#include "words.h"

/* A ledger and the time of the next commands. */
typedef struct {
	cw_ledger_t *ledger;
	int64_t at_ms;
	GQueue proposed; /* of Caraway__Command, in the order of the log */
} run_t;

static const char *const state_words[] = {"none", "booked", "accepted", "in-force", "refused", "withdrawn"};

/* Applies a command and prints the answer and the change's state. */
static void apply(run_t *run, Caraway__Command *command, GString *out)
{
	Caraway__Change *change;
	cw_status_t status;

	command->proposed_ms = run->at_ms;
	status = cw_ledger_apply(run->ledger, command, &change);
	g_string_append(out, cw_status_name(status));
	if (change)
		g_string_append_printf(out, " [%s]", state_words[change->state]);
	if (status)
		g_string_append_printf(out, " %s", cw_last_error_message());
	g_string_append_c(out, '\n');
	cw_message_free(change);
}

/* "book NUMBER OPERATOR DUE SELECTOR WORD..." */
static void run_book(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Book book = CARAWAY__BOOK__INIT;

	book.number = g_ascii_strtoull(argv[1], NULL, 10);
	book.operator_name = argv[2];
	book.due_ms = g_ascii_strtoll(argv[3], NULL, 10);
	book.content = words_content(argv[4], argc - 5, argv + 5);
	command.body_case = CARAWAY__COMMAND__BODY_BOOK;
	command.book = &book;
	apply(run, &command, out);
	cw_message_free(book.content);
}

/* "review NUMBER OPERATOR" */
static void run_review(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;

	(void)argc;
	review.number = g_ascii_strtoull(argv[1], NULL, 10);
	review.operator_name = argv[2];
	command.body_case = CARAWAY__COMMAND__BODY_REVIEW;
	command.review = &review;
	apply(run, &command, out);
}

/* "withdraw NUMBER OPERATOR" */
static void run_withdraw(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Withdraw withdraw = CARAWAY__WITHDRAW__INIT;

	(void)argc;
	withdraw.number = g_ascii_strtoull(argv[1], NULL, 10);
	withdraw.operator_name = argv[2];
	command.body_case = CARAWAY__COMMAND__BODY_WITHDRAW;
	command.withdraw = &withdraw;
	apply(run, &command, out);
}

/* "activate NUMBER" */
static void run_activate(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Activate activate = CARAWAY__ACTIVATE__INIT;

	(void)argc;
	activate.number = g_ascii_strtoull(argv[1], NULL, 10);
	command.body_case = CARAWAY__COMMAND__BODY_ACTIVATE;
	command.activate = &activate;
	apply(run, &command, out);
}

/* "vm NAME [KEY=VALUE]..." */
static void run_vm(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Register body = CARAWAY__REGISTER__INIT;

	body.vm = words_vm(argv[1], argc - 2, argv + 2);
	command.body_case = CARAWAY__COMMAND__BODY_REGISTER_VM;
	command.register_vm = &body;
	apply(run, &command, out);
	cw_message_free(body.vm);
}

/* "label NAME KEY=VALUE..." */
static void run_label(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__SetLabels body = CARAWAY__SET_LABELS__INIT;
	Caraway__Vm *vm = words_vm(argv[1], 0, NULL);

	vm->labels = realloc(vm->labels, (size_t)argc * sizeof(Caraway__Label *));
	for (int i = 2; i < argc; i++) {
		char **pair = g_strsplit(argv[i], "=", 2);

		words_add_label(vm, pair[0], pair[1]);
		g_strfreev(pair);
	}
	body.vm = vm->name;
	body.operator_name = "anna";
	body.n_labels = vm->n_labels;
	body.labels = vm->labels;
	command.body_case = CARAWAY__COMMAND__BODY_SET_LABELS;
	command.set_labels = &body;
	apply(run, &command, out);
	cw_message_free(vm);
}

/* "due": the change to activate at the present time. */
static void run_due(run_t *run, int argc, char **argv, GString *out)
{
	(void)argc;
	(void)argv;
	g_string_append_printf(out, "due %" G_GUINT64_FORMAT "\n", cw_ledger_due(run->ledger, run->at_ms));
}

/* "show NUMBER": a change in full. */
static void run_show(run_t *run, int argc, char **argv, GString *out)
{
	const Caraway__Change *change = cw_ledger_change(run->ledger, g_ascii_strtoull(argv[1], NULL, 10));

	(void)argc;
	g_string_append_printf(out,
			       "%s booked by %s at %" G_GINT64_FORMAT ", reviewed by %s at %" G_GINT64_FORMAT
			       ", due %" G_GINT64_FORMAT ", in force at %" G_GINT64_FORMAT
			       ", version %" G_GUINT64_FORMAT "\n",
			       state_words[change->state], change->booked_by, change->booked_ms,
			       change->reviewed_by, change->reviewed_ms, change->due_ms, change->in_force_ms,
			       change->version);
}

/* "holds VM": names of the sections that a VM holds, with the version and the feed's index. */
static void run_holds(run_t *run, int argc, char **argv, GString *out)
{
	const cw_feed_t *feed = cw_ledger_feed(run->ledger);
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

/* "reload": goes on from a snapshot, whose own snapshot must be equal. */
static void run_reload(run_t *run, int argc, char **argv, GString *out)
{
	GBytes *saved = cw_ledger_save(run->ledger);
	GBytes *again;
	gsize length;
	const void *data = g_bytes_get_data(saved, &length);

	(void)argc;
	(void)argv;
	cw_ledger_free(run->ledger);
	run->ledger = cw_ledger_new(100);
	g_string_append(out, cw_status_name(cw_ledger_load(run->ledger, data, length)));
	again = cw_ledger_save(run->ledger);
	g_string_append(out, g_bytes_equal(saved, again) ? " equal\n" : " differs\n");
	g_bytes_unref(saved);
	g_bytes_unref(again);
}

/* "at MS": sets the time of the next commands. */
static void run_at(run_t *run, int argc, char **argv, GString *out)
{
	(void)argc;
	(void)out;
	run->at_ms = g_ascii_strtoll(argv[1], NULL, 10);
}

/* "propose RELEASE BASE APPROVAL WORD...": a complete configuration that a leader puts into its log. */
static void run_propose(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Replace replace = CARAWAY__REPLACE__INIT;
	Caraway__Content *complete = words_content("", argc - 4, argv + 4);
	bool again = false;
	cw_status_t status;

	replace.operator_name = "operators";
	replace.approval = argv[3];
	replace.release = g_ascii_strtoull(argv[1], NULL, 10);
	replace.base_release = g_ascii_strtoull(argv[2], NULL, 10);
	replace.digest = cw_release_digest(replace.release, replace.base_release, complete);
	status = cw_ledger_check_release(run->ledger, replace.release, replace.base_release, replace.digest,
					 &again);
	if (status || again) {
		g_string_append_printf(out, "%s\n", again ? "accepted before" : cw_last_error_message());
	} else {
		replace.content = cw_ledger_release_difference(run->ledger, complete);
		command.body_case = CARAWAY__COMMAND__BODY_REPLACE;
		command.replace = &replace;
		g_queue_push_tail(&run->proposed, cw_message_copy(&command.base));
		cw_message_free(replace.content);
	}
	cw_message_free(complete);
}

/* "commit": applies the first command that was proposed. */
static void run_commit(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Command *command = g_queue_pop_head(&run->proposed);

	(void)argc;
	(void)argv;
	apply(run, command, out);
	cw_message_free(command);
}

/* "release": the release in force and its sections. */
static void run_release(run_t *run, int argc, char **argv, GString *out)
{
	Caraway__Content *content = cw_ledger_release_content(run->ledger);

	(void)argc;
	(void)argv;
	g_string_append_printf(out, "release %" G_GUINT64_FORMAT ":", cw_ledger_release(run->ledger));
	for (size_t i = 0; i < content->n_services; i++)
		g_string_append_printf(out, " %s", content->services[i]->name);
	for (size_t i = 0; i < content->n_routes; i++)
		g_string_append_printf(out, " %s>%s", content->routes[i]->name, content->routes[i]->service);
	g_string_append_c(out, '\n');
	cw_message_free(content);
}

/* Carries out one command of a script. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	static const struct {
		const char *word;
		void (*run)(run_t *run, int argc, char **argv, GString *out);
	} commands[] = {
		{"book", run_book},	{"review", run_review},	  {"withdraw", run_withdraw},
		{"vm", run_vm},		{"label", run_label},	  {"activate", run_activate},
		{"due", run_due},	{"show", run_show},	  {"holds", run_holds},
		{"reload", run_reload}, {"at", run_at},		  {"propose", run_propose},
		{"commit", run_commit}, {"release", run_release},
	};

	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(argv[0], commands[i].word)) {
			commands[i].run(data, argc, argv, out);
			return;
		}
	g_string_append(out, "unknown command\n");
}

/* Carries out the text of one command. */
static void run_text(run_t *run, const char *text, GString *out)
{
	int argc;
	char **argv;

	ck_assert(g_shell_parse_argv(text, &argc, &argv, NULL));
	run_command(run, argc, argv, out);
	g_strfreev(argv);
}

/* Runs every script on a ledger of its own. */
START_TEST(test_script)
{
	GPtrArray *scripts = script_list("tests/ledger");

	for (size_t i = 0; i < scripts->len; i++) {
		run_t run = {.ledger = cw_ledger_new(100)};
		char *difference = script_run(scripts->pdata[i], run_command, &run);

		ck_assert_msg(!difference, "%s", difference);
		cw_ledger_free(run.ledger);
	}
	ck_assert_uint_gt(scripts->len, 0);
	g_ptr_array_unref(scripts);
}
END_TEST

/* Replaces the ledger by one in which nothing is in force any more; as if the check had a fault. */
static void lose_layers(run_t *run)
{
	enum { HASH_BYTES = 8 };
	GBytes *saved = cw_ledger_save(run->ledger);
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
	ck_assert_int_eq(cw_ledger_load(run->ledger, altered, length), CW_OK);
	g_free(altered);
	cw_message_free(snapshot);
	g_bytes_unref(saved);
}

/* A change that does not check at its due time is refused and leaves the feed, whatever its review said. */
START_TEST(test_due_check)
{
	static const char *const lines[] = {
		"vm v1",
		"book 1 anna 0 '' service=a",
		"review 1 bela",
		"activate 1",
		"book 2 anna 5 '' route=r:/:a",
		"review 2 bela",
		"at 5",
		"due",
	};
	static const char *const after[] = {"activate 2",      "due",	"holds v1", "review 2 bela",
					    "withdraw 2 anna", "reload"};
	run_t run = {.ledger = cw_ledger_new(10)};
	GString *out = g_string_new(NULL);
	Caraway__FeedSnapshot *feed;

	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++)
		run_text(&run, lines[i], out);
	g_string_set_size(out, 0);
	lose_layers(&run);
	for (size_t i = 0; i < G_N_ELEMENTS(after); i++)
		run_text(&run, after[i], out);
	ck_assert_str_eq(out->str,
			 "check [refused] proxy v1: route r would lack service a\n"
			 "due 0\n"
			 "version 2, index 5:\n"
			 "ok [refused]\n"
			 "state [refused] change 2 is refused: proxy v1: route r would lack service a\n"
			 "ok equal\n");
	feed = cw_feed_save(cw_ledger_feed(run.ledger));
	ck_assert_uint_eq(feed->n_staged, 0);
	cw_message_free(feed);
	g_string_free(out, TRUE);
	cw_ledger_free(run.ledger);
}
END_TEST

/* Numbers of changes that finished long ago are answered as at first, also after a snapshot. */
START_TEST(test_archive)
{
	run_t run = {.ledger = cw_ledger_new(10)};
	GString *out = g_string_new(NULL);
	char *book[] = {"book", NULL, "anna", "5", "", "service=a"};
	char *other[] = {"book", "1", "anna", "6", "", "service=a"};
	char *withdraw[] = {"withdraw", NULL, "bela"};
	GPtrArray *changes;

	for (int i = 1; i <= 41000; i++) {
		book[1] = withdraw[1] = g_strdup_printf("%d", i);
		run_book(&run, G_N_ELEMENTS(book), book, out);
		run_withdraw(&run, G_N_ELEMENTS(withdraw), withdraw, out);
		g_free(book[1]);
	}
	g_string_set_size(out, 0);
	book[1] = withdraw[1] = "1";
	run_book(&run, G_N_ELEMENTS(book), book, out);
	run_book(&run, G_N_ELEMENTS(other), other, out);
	run_withdraw(&run, G_N_ELEMENTS(withdraw), withdraw, out);
	run_reload(&run, 0, NULL, out);
	run_book(&run, G_N_ELEMENTS(book), book, out);
	run_book(&run, G_N_ELEMENTS(other), other, out);
	ck_assert_str_eq(out->str,
			 "ok [withdrawn]\n"
			 "conflict [withdrawn] change 1 was booked with another content, due time or "
			 "booker and is withdrawn and archived; book under another number\n"
			 "state [withdrawn] change 1 is withdrawn and archived\n"
			 "ok equal\n"
			 "ok [withdrawn]\n"
			 "conflict [withdrawn] change 1 was booked with another content, due time or "
			 "booker and is withdrawn and archived; book under another number\n");
	changes = cw_ledger_changes(run.ledger);
	ck_assert_uint_eq(changes->len, 40000);
	g_ptr_array_unref(changes);
	g_string_free(out, TRUE);
	cw_ledger_free(run.ledger);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("ledger");
	TCase *tcase = tcase_create("ledger");

	tcase_add_test(tcase, test_script);
	tcase_add_test(tcase, test_due_check);
	tcase_add_test(tcase, test_archive);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
