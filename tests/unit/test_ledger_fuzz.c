/*
 * Fuzz tests with seeded mutations of change files, selectors, commands and
 * ledger snapshots.  No input may cause a crash; a refused one returns one of the
 * expected statuses, and a refused snapshot does not change the ledger.
 */
#include <check.h>
#include <string.h>

#include "mutate.h"
#include "script.h"
#include "script_args.h"

enum {
	FILE_ROUNDS = 20000,
	SELECTOR_ROUNDS = 50000,
	SNAPSHOT_ROUNDS = 20000,
	COMMAND_ROUNDS = 20000,
	HASH_BYTES = 8
};

static const char *const valid_change_file =
	"[change]\ntitle = Winter\nselector = zone=eger,!old\n[service a]\ntimeout-ms = 50\n"
	"[route r]\npath = /x\nservice = a\ntarget = t\nidempotent = never\n"
	"[target t]\nservice = a\nselector = tier=new\n[route s]\nremove = true\n";
static const char *const valid_selector = "zone=eger,service!=konvoj,tier,!old,vm=v1";

/* Mutated change files: a parsed content passes cw_content_check(); an error message names the file. */
START_TEST(test_change)
{
	GRand *random = g_rand_new_with_seed(1);
	int parsed = 0;

	for (int i = 0; i < FILE_ROUNDS; i++) {
		GByteArray *bytes = mutate_bytes(random, valid_change_file, strlen(valid_change_file));
		Caraway__Content *content;
		cw_status_t status = cw_change_parse((char *)bytes->data, bytes->len, "f.ini", &content);

		ck_assert(status == CW_OK || status == CW_ERR_CHANGE_FILE || status == CW_ERR_SELECTOR);
		ck_assert((status == CW_OK) == (content != NULL));
		if (content)
			ck_assert_int_eq(cw_content_check(content), CW_OK);
		else
			ck_assert(g_str_has_prefix(cw_last_error_message(), "f.ini: "));
		parsed += status == CW_OK;
		cw_message_free(content);
		g_byte_array_unref(bytes);
	}
	ck_assert_int_gt(parsed, FILE_ROUNDS / 100);
	ck_assert_int_lt(parsed, FILE_ROUNDS);
	g_rand_free(random);
}
END_TEST

/* Mutated selectors: one that parses can be matched against a VM. */
START_TEST(test_selector)
{
	GRand *random = g_rand_new_with_seed(2);
	char *labels[] = {"zone=eger", "tier=new"};
	Caraway__Vm *vm = vm_from_args("v1", 2, labels);
	int parsed = 0;
	int matched = 0;

	for (int i = 0; i < SELECTOR_ROUNDS; i++) {
		GByteArray *bytes = mutate_bytes(random, valid_selector, strlen(valid_selector));
		cw_selector_t *selector;
		cw_status_t status;

		g_byte_array_append(bytes, (const guint8 *)"", 1);
		status = cw_selector_parse((char *)bytes->data, &selector);
		ck_assert(status == CW_OK || status == CW_ERR_SELECTOR);
		parsed += status == CW_OK;
		if (selector)
			matched += cw_selector_match(selector, vm);
		cw_selector_free(selector);
		g_byte_array_unref(bytes);
	}
	ck_assert_int_gt(parsed, SELECTOR_ROUNDS / 100);
	ck_assert_int_gt(matched, 0);
	ck_assert_int_lt(matched, parsed);
	cw_message_free(vm);
	g_rand_free(random);
}
END_TEST

/* Returns a packed command that books a change. */
static GBytes *packed_book(uint64_t number, const char *selector, int argc, char **argv)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Book book = CARAWAY__BOOK__INIT;
	GBytes *packed;

	command.proposed_ms = 1000;
	command.body_case = CARAWAY__COMMAND__BODY_BOOK;
	command.book = &book;
	book.number = number;
	book.operator_name = "anna";
	book.due_ms = 2000;
	book.content = content_from_args(selector, argc, argv);
	packed = cw_message_pack(&command.base);
	cw_message_free(book.content);
	return packed;
}

/* Returns a packed command that reviews, withdraws or activates a change. */
static GBytes *packed_command(Caraway__Command__BodyCase body, uint64_t number, int64_t at_ms)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;
	Caraway__Withdraw withdraw = CARAWAY__WITHDRAW__INIT;
	Caraway__Activate activate = CARAWAY__ACTIVATE__INIT;

	command.proposed_ms = at_ms;
	command.body_case = body;
	review.number = withdraw.number = activate.number = number;
	review.operator_name = withdraw.operator_name = "bela";
	if (body == CARAWAY__COMMAND__BODY_REVIEW)
		command.review = &review;
	else if (body == CARAWAY__COMMAND__BODY_WITHDRAW)
		command.withdraw = &withdraw;
	else
		command.activate = &activate;
	return cw_message_pack(&command.base);
}

/* Returns a packed command that registers a VM. */
static GBytes *packed_register(const char *name, const char *zone)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Register body = CARAWAY__REGISTER__INIT;
	Caraway__Vm vm = CARAWAY__VM__INIT;

	command.body_case = CARAWAY__COMMAND__BODY_REGISTER_VM;
	command.register_vm = &body;
	body.vm = &vm;
	vm.name = (char *)name;
	vm.zone = (char *)zone;
	return cw_message_pack(&command.base);
}

/* Returns a packed command that orders a roll-out, or takes the first one to a step, or ends it. */
static GBytes *packed_rollout(Caraway__Command__BodyCase body, const char *service)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__RolloutBegin begin = CARAWAY__ROLLOUT_BEGIN__INIT;
	Caraway__RolloutStep step = CARAWAY__ROLLOUT_STEP__INIT;
	Caraway__RolloutVerdict verdict = CARAWAY__ROLLOUT_VERDICT__INIT;

	begin.operator_name = "anna";
	begin.service = (char *)service;
	begin.target_version = "v2";
	begin.duration_ms = 30000;
	step.sequence = verdict.sequence = 1;
	step.state = CARAWAY__ROLLOUT_STATE__ROLLOUT_SPREAD;
	verdict.reason = "failures";
	command.proposed_ms = 3000;
	command.body_case = body;
	if (body == CARAWAY__COMMAND__BODY_ROLLOUT_BEGIN)
		command.rollout_begin = &begin;
	else if (body == CARAWAY__COMMAND__BODY_ROLLOUT_STEP)
		command.rollout_step = &step;
	else
		command.rollout_verdict = &verdict;
	return cw_message_pack(&command.base);
}

/* Returns packed commands (GBytes) that leave a ledger with a change in every state. */
static GPtrArray *make_commands(void)
{
	char *first[] = {"service=a", "route=r:/:a", "target=t:a:tier=new"};
	char *second[] = {"route=s:/s:a:t"};
	char *third[] = {"route=u:/u:missing"};
	GPtrArray *commands = g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);

	g_ptr_array_add(commands, packed_register("v1", "eger"));
	g_ptr_array_add(commands, packed_register("v2", "ozd"));
	g_ptr_array_add(commands, packed_book(1, "", 3, first));
	g_ptr_array_add(commands, packed_command(CARAWAY__COMMAND__BODY_REVIEW, 1, 1000));
	g_ptr_array_add(commands, packed_command(CARAWAY__COMMAND__BODY_ACTIVATE, 1, 2000));
	g_ptr_array_add(commands, packed_book(2, "zone=eger", 1, second));
	g_ptr_array_add(commands, packed_command(CARAWAY__COMMAND__BODY_REVIEW, 2, 1000));
	g_ptr_array_add(commands, packed_book(3, "", 1, third));
	g_ptr_array_add(commands, packed_command(CARAWAY__COMMAND__BODY_REVIEW, 3, 1000));
	g_ptr_array_add(commands, packed_book(4, "zone=ozd", 1, second));
	g_ptr_array_add(commands, packed_command(CARAWAY__COMMAND__BODY_WITHDRAW, 4, 1000));
	g_ptr_array_add(commands, packed_book(5, "zone=ozd", 1, second));
	g_ptr_array_add(commands, packed_rollout(CARAWAY__COMMAND__BODY_ROLLOUT_BEGIN, "a"));
	g_ptr_array_add(commands, packed_rollout(CARAWAY__COMMAND__BODY_ROLLOUT_STEP, "a"));
	g_ptr_array_add(commands, packed_rollout(CARAWAY__COMMAND__BODY_ROLLOUT_VERDICT, "a"));
	return commands;
}

/* Applies a packed command; returns CW_ERR_DECODE when it cannot be unpacked. */
static cw_status_t apply_packed(cw_ledger_t *ledger, const void *data, size_t length)
{
	Caraway__Command *command = caraway__command__unpack(NULL, length, data);
	Caraway__Change *change;
	cw_status_t status;

	if (!command)
		return CW_ERR_DECODE;
	status = cw_ledger_apply(ledger, command, &change);
	cw_message_free(change);
	cw_message_free(command);
	return status;
}

/* Returns a ledger to which packed commands were applied. */
static cw_ledger_t *make_ledger(GPtrArray *commands)
{
	cw_ledger_t *ledger = cw_ledger_new(10);

	for (size_t i = 0; i < commands->len; i++) {
		gsize length;
		const void *data = g_bytes_get_data(commands->pdata[i], &length);

		apply_packed(ledger, data, length);
	}
	return ledger;
}

/* Checks that a VM of the catalog and the routes of its configuration are valid. */
static void check_vm(const cw_catalog_t *catalog, const Caraway__Vm *vm)
{
	cw_config_t *config = cw_catalog_resolve(catalog, vm);

	ck_assert_int_eq(cw_vm_check(vm), CW_OK);
	for (size_t i = 0; i < config->routes->len; i++)
		ck_assert_int_eq(((Caraway__Route *)config->routes->pdata[i])->path[0], '/');
	cw_config_free(config);
}

/* Queries and saves a ledger, checks its VMs and catalog, and activates the change that is due. */
static void exercise_ledger(cw_ledger_t *ledger)
{
	const cw_catalog_t *catalog = cw_feed_catalog(cw_ledger_feed(ledger));
	GPtrArray *vms = cw_catalog_vms(catalog);
	GPtrArray *changes = cw_ledger_changes(ledger);
	GBytes *command = packed_command(CARAWAY__COMMAND__BODY_ACTIVATE,
					 cw_ledger_due_change(ledger, INT64_MAX), INT64_MAX);
	gsize length;
	const void *data = g_bytes_get_data(command, &length);

	for (size_t i = 0; i < vms->len; i++)
		check_vm(catalog, vms->pdata[i]);
	cw_catalog_check(catalog);
	apply_packed(ledger, data, length);
	g_bytes_unref(cw_ledger_save(ledger));
	g_bytes_unref(command);
	g_ptr_array_unref(vms);
	g_ptr_array_unref(changes);
}

/* Returns a packed command after one to three mutations of its fields. */
static GByteArray *mutate_command(GRand *random, const void *data, size_t length)
{
	Caraway__Command *command = caraway__command__unpack(NULL, length, data);
	GByteArray *bytes = g_byte_array_new();
	int count = g_rand_int_range(random, 1, 4);

	for (int i = 0; i < count; i++)
		mutate_message(random, &command->base);
	g_byte_array_set_size(bytes, (guint)caraway__command__get_packed_size(command));
	caraway__command__pack(command, bytes->data);
	cw_message_free(command);
	return bytes;
}

/* Mutated commands: none that decodes may fail with an internal error, and the ledger stays usable. */
START_TEST(test_command)
{
	GRand *random = g_rand_new_with_seed(3);
	GPtrArray *commands = make_commands();
	cw_ledger_t *ledger = make_ledger(commands);
	int status_counts[CW_STATUS_COUNT] = {0};

	for (int i = 0; i < COMMAND_ROUNDS; i++) {
		gsize length;
		const void *data = g_bytes_get_data(
			commands->pdata[g_rand_int_range(random, 0, (gint32)commands->len)], &length);
		GByteArray *bytes =
			i % 2 ? mutate_command(random, data, length) : mutate_bytes(random, data, length);

		status_counts[apply_packed(ledger, bytes->data, bytes->len)]++;
		g_byte_array_unref(bytes);
	}
	exercise_ledger(ledger);
	ck_assert_int_gt(status_counts[CW_OK], 0);
	ck_assert_int_gt(status_counts[CW_ERR_DECODE], 0);
	ck_assert_int_gt(status_counts[CW_ERR_CONFLICT], 0);
	ck_assert_int_gt(status_counts[CW_ERR_CHANGE_FILE], 0);
	ck_assert_int_eq(status_counts[CW_ERR_INTERNAL], 0);
	cw_ledger_free(ledger);
	g_ptr_array_unref(commands);
	g_rand_free(random);
}
END_TEST

/* Recomputes the hash at the start of a snapshot, so that cw_ledger_load() goes on to check the fields. */
static void recompute_hash(GByteArray *bytes)
{
	uint64_t hash = GUINT64_TO_LE(cw_hash(bytes->data + HASH_BYTES, bytes->len - HASH_BYTES, 0));

	memcpy(bytes->data, &hash, HASH_BYTES);
}

/* Returns a snapshot after one to three mutations of its fields; the caller must recompute its hash. */
static GByteArray *mutate_snapshot(GRand *random, const guint8 *data, size_t length)
{
	Caraway__LedgerSnapshot *snapshot =
		caraway__ledger_snapshot__unpack(NULL, length - HASH_BYTES, data + HASH_BYTES);
	GByteArray *bytes = g_byte_array_new();
	int count = g_rand_int_range(random, 1, 4);

	for (int i = 0; i < count; i++)
		mutate_message(random, &snapshot->base);
	g_byte_array_set_size(bytes, HASH_BYTES + (guint)caraway__ledger_snapshot__get_packed_size(snapshot));
	caraway__ledger_snapshot__pack(snapshot, bytes->data + HASH_BYTES);
	cw_message_free(snapshot);
	return bytes;
}

/*
 * Loads a snapshot into a ledger with one booked change and tells whether it was accepted; when it is
 * refused, the ledger must not change.
 */
static bool load_snapshot(const GByteArray *bytes, GPtrArray *commands)
{
	cw_ledger_t *ledger = cw_ledger_new(10);
	GBytes *before;
	GBytes *after;
	gsize length;
	const void *data = g_bytes_get_data(commands->pdata[2], &length);
	cw_status_t status;

	apply_packed(ledger, data, length);
	before = cw_ledger_save(ledger);
	status = cw_ledger_load(ledger, bytes->data, bytes->len);
	ck_assert(status == CW_OK || status == CW_ERR_DECODE || status == CW_ERR_DAMAGED);
	after = cw_ledger_save(ledger);
	if (status)
		ck_assert(g_bytes_equal(before, after));
	else
		exercise_ledger(ledger);
	g_bytes_unref(before);
	g_bytes_unref(after);
	cw_ledger_free(ledger);
	return status == CW_OK;
}

/* Snapshots with a valid hash whose bytes or fields were mutated. */
START_TEST(test_snapshot)
{
	GRand *random = g_rand_new_with_seed(4);
	GPtrArray *commands = make_commands();
	cw_ledger_t *ledger = make_ledger(commands);
	GBytes *saved = cw_ledger_save(ledger);
	gsize length;
	const guint8 *data = g_bytes_get_data(saved, &length);
	int loaded = 0;

	for (int i = 0; i < SNAPSHOT_ROUNDS; i++) {
		GByteArray *bytes =
			i % 4 ? mutate_snapshot(random, data, length) : mutate_bytes(random, data, length);

		if (bytes->len >= HASH_BYTES)
			recompute_hash(bytes);
		loaded += load_snapshot(bytes, commands);
		g_byte_array_unref(bytes);
	}
	ck_assert_int_gt(loaded, 0);
	ck_assert_int_lt(loaded, SNAPSHOT_ROUNDS);
	g_bytes_unref(saved);
	cw_ledger_free(ledger);
	g_ptr_array_unref(commands);
	g_rand_free(random);
}
END_TEST

/*
 * Loads a snapshot from make_ledger() with an archive added to it, which has two numbers and up to two
 * identities of the same value, whose lowest 3 bits are the state of the change.
 */
static cw_status_t load_with_archive(uint64_t first, uint64_t second, size_t identity_count,
				     uint64_t identity)
{
	GPtrArray *commands = make_commands();
	cw_ledger_t *ledger = make_ledger(commands);
	GBytes *saved = cw_ledger_save(ledger);
	gsize length;
	const guint8 *data = g_bytes_get_data(saved, &length);
	Caraway__LedgerSnapshot *snapshot =
		caraway__ledger_snapshot__unpack(NULL, length - HASH_BYTES, data + HASH_BYTES);
	GByteArray *bytes = g_byte_array_new();
	cw_status_t status;

	snapshot->archive->numbers = calloc(2, sizeof(uint64_t));
	snapshot->archive->identities = calloc(2, sizeof(uint64_t));
	snapshot->archive->numbers[0] = first;
	snapshot->archive->numbers[1] = second;
	snapshot->archive->identities[0] = snapshot->archive->identities[1] = identity;
	snapshot->archive->n_numbers = 2;
	snapshot->archive->n_identities = identity_count;
	g_byte_array_set_size(bytes, HASH_BYTES + (guint)caraway__ledger_snapshot__get_packed_size(snapshot));
	caraway__ledger_snapshot__pack(snapshot, bytes->data + HASH_BYTES);
	recompute_hash(bytes);
	status = cw_ledger_load(ledger, bytes->data, bytes->len);
	cw_message_free(snapshot);
	g_byte_array_unref(bytes);
	g_bytes_unref(saved);
	cw_ledger_free(ledger);
	g_ptr_array_unref(commands);
	return status;
}

/*
 * An archive is loaded only when its numbers are strictly increasing and belong to no
 * other change, and each has an identity with a final state.
 */
START_TEST(test_archive)
{
	ck_assert_int_eq(load_with_archive(100, 101, 2, CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN), CW_OK);
	ck_assert_int_eq(load_with_archive(101, 100, 2, CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN),
			 CW_ERR_DECODE);
	ck_assert_int_eq(load_with_archive(100, 100, 2, CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN),
			 CW_ERR_DECODE);
	ck_assert_int_eq(load_with_archive(1, 100, 2, CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN),
			 CW_ERR_DECODE);
	ck_assert_int_eq(load_with_archive(100, 101, 1, CARAWAY__CHANGE_STATE__CHANGE_WITHDRAWN),
			 CW_ERR_DECODE);
	ck_assert_int_eq(load_with_archive(100, 101, 2, CARAWAY__CHANGE_STATE__CHANGE_ACCEPTED),
			 CW_ERR_DECODE);
	ck_assert_int_eq(load_with_archive(100, 101, 2, 7), CW_ERR_DECODE);
}
END_TEST

/* The hash covers every byte of a snapshot: one with an altered byte or cut short is refused as damaged. */
START_TEST(test_damage)
{
	GPtrArray *commands = make_commands();
	cw_ledger_t *ledger = make_ledger(commands);
	GBytes *saved = cw_ledger_save(ledger);
	gsize length;
	guint8 *data = g_bytes_unref_to_data(saved, &length);

	for (size_t i = 0; i < length; i++) {
		data[i] ^= 0x10;
		ck_assert_int_eq(cw_ledger_load(ledger, data, length), CW_ERR_DAMAGED);
		data[i] ^= 0x10;
		ck_assert_int_eq(cw_ledger_load(ledger, data, i), CW_ERR_DAMAGED);
	}
	ck_assert_int_eq(cw_ledger_load(ledger, data, length), CW_OK);
	g_free(data);
	cw_ledger_free(ledger);
	g_ptr_array_unref(commands);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("ledger_fuzz");
	TCase *tcase = tcase_create("ledger_fuzz");

	tcase_set_timeout(tcase, 300);
	tcase_add_test(tcase, test_change);
	tcase_add_test(tcase, test_selector);
	tcase_add_test(tcase, test_command);
	tcase_add_test(tcase, test_snapshot);
	tcase_add_test(tcase, test_archive);
	tcase_add_test(tcase, test_damage);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
