/*
 * Applies seeded random commands to three ledgers.  Compares the first after every
 * command with a reference model that shares no code with it, and the snapshots of
 * all three at intervals.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "ledger_model.h"
#include "libcaraway.h"
#include "random_content.h"
#include "script.h"

/* The reload and comparison intervals are in commands. */
enum { SEED_COUNT = 6, COMMANDS_PER_SEED = 3000, RELOAD_INTERVAL = 97, COMPARE_INTERVAL = 50 };

static const char *const operators[] = {"anna", "bela", "cili"};

/* Outcomes that each must occur in the runs of all seeds together. */
typedef enum {
	ACCEPTED,
	REFUSED,
	IN_FORCE,
	CONFLICT,
	BOOKING_REPEATED,
	WITHDRAWN,
	WITHDRAWAL_REFUSED, /* an accepted later change depends on the change */
	LABELLED,
	LABEL_REFUSED,
	OUTCOME_COUNT
} outcome_t;

/* The run of one seed. */
typedef struct {
	GRand *random;
	int64_t now_ms;	       /* UTC, the time at which the next command is proposed */
	cw_ledger_t *ledger;   /* compared with the model */
	cw_ledger_t *replay;   /* gets the same commands and must stay equal */
	cw_ledger_t *reloaded; /* the same, but loaded from its own snapshot at intervals */
	model_t *model;
	uint64_t version; /* of the feed after the last command */
	int last_number;  /* the highest number booked; 0 before the first */
	random_context_t context;
	int *outcomes; /* counts, by outcome_t */
} run_t;

/* Returns a random number from 0 to limit - 1. */
static int random_below(run_t *run, int limit)
{
	return g_rand_int_range(run->random, 0, limit);
}

/* Applies a command to the three ledgers, which must return the same status. */
static cw_status_t apply(run_t *run, Caraway__Command *command)
{
	cw_status_t status;

	command->proposed_ms = run->now_ms;
	status = cw_ledger_apply(run->ledger, command, NULL);
	ck_assert_int_eq(cw_ledger_apply(run->replay, command, NULL), status);
	ck_assert_int_eq(cw_ledger_apply(run->reloaded, command, NULL), status);
	return status;
}

/* Applies a command that books a change. */
static cw_status_t apply_book(run_t *run, int number, int operator_index, int64_t due_ms,
			      const model_content_t *content)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Book book = CARAWAY__BOOK__INIT;
	cw_status_t status;

	book.number = (uint64_t)number;
	book.operator_name = (char *)operators[operator_index];
	book.due_ms = due_ms;
	book.content = content_message(content);
	command.body_case = CARAWAY__COMMAND__BODY_BOOK;
	command.book = &book;
	status = apply(run, &command);
	cw_message_free(book.content);
	return status;
}

/* Books a change under a new number, or under one in use, which must be refused as a conflict. */
static void random_book(run_t *run)
{
	bool reuse_number = run->last_number && random_below(run, 8) == 0;
	int number = reuse_number ? 1 + random_below(run, run->last_number) : ++run->last_number;
	model_change_t *change = &run->model->changes[number];
	model_content_t content;
	int booker = random_below(run, (int)G_N_ELEMENTS(operators));
	int64_t due_ms = random_below(run, 10) ? run->now_ms + random_below(run, 1500) : 0;

	random_content(run->random, &run->context, &content);
	if (change->state != MODEL_NOT_BOOKED) {
		ck_assert_int_eq(apply_book(run, number, booker, due_ms + 1, &content), CW_ERR_CONFLICT);
		run->outcomes[CONFLICT]++;
		return;
	}
	ck_assert_int_eq(apply_book(run, number, booker, due_ms, &content), CW_OK);
	change->state = MODEL_BOOKED;
	change->booker = booker;
	change->reviewer = MODEL_NONE;
	change->due_ms = due_ms;
	change->content = content;
}

/* Repeats a booking; it must succeed whatever the state of the change is by now. */
static void repeat_book(run_t *run)
{
	int number = run->last_number ? 1 + random_below(run, run->last_number) : 0;
	const model_change_t *change = &run->model->changes[number];

	if (!number)
		return;
	ck_assert_int_eq(apply_book(run, number, change->booker, change->due_ms, &change->content), CW_OK);
	run->outcomes[BOOKING_REPEATED]++;
}

/* Returns the expected status of a review and applies it to the model. */
static cw_status_t expect_review(run_t *run, int number, int reviewer)
{
	model_change_t *change = &run->model->changes[number];

	if (change->state == MODEL_NOT_BOOKED)
		return CW_ERR_NOT_FOUND;
	if (change->state != MODEL_BOOKED && change->reviewer != reviewer)
		return CW_ERR_STATE;
	if (change->state != MODEL_BOOKED)
		return change->review_accepted ? CW_OK : CW_ERR_CHECK;
	if (change->booker == reviewer)
		return CW_ERR_SAME_OPERATOR;
	change->reviewer = reviewer;
	change->reviewed_ms = run->now_ms;
	change->review_accepted = model_schedule_valid(run->model, number, 0);
	change->state = change->review_accepted ? MODEL_ACCEPTED : MODEL_REFUSED;
	run->outcomes[ACCEPTED] += change->review_accepted;
	run->outcomes[REFUSED] += !change->review_accepted;
	return change->review_accepted ? CW_OK : CW_ERR_CHECK;
}

/* Returns one of the last numbers booked. */
static int recent_number(run_t *run)
{
	int number = run->last_number - random_below(run, 12);

	return number < 1 ? 1 : number;
}

/* Reviews a change that was booked recently. */
static void random_review(run_t *run)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;
	int number = recent_number(run);
	int reviewer = random_below(run, (int)G_N_ELEMENTS(operators));
	cw_status_t status;

	review.number = (uint64_t)number;
	review.operator_name = (char *)operators[reviewer];
	command.body_case = CARAWAY__COMMAND__BODY_REVIEW;
	command.review = &review;
	status = apply(run, &command);
	ck_assert_msg(status == expect_review(run, number, reviewer), "review %d: %s %s", number,
		      cw_status_name(status), cw_last_error_message());
}

/* Returns the expected status of a withdrawal and applies it to the model. */
static cw_status_t expect_withdraw(run_t *run, int number, int withdrawer)
{
	model_change_t *change = &run->model->changes[number];

	if (change->state == MODEL_NOT_BOOKED)
		return CW_ERR_NOT_FOUND;
	if (change->state == MODEL_WITHDRAWN)
		return change->withdrawer == withdrawer ? CW_OK : CW_ERR_STATE;
	if (change->state != MODEL_BOOKED && change->state != MODEL_ACCEPTED)
		return CW_ERR_STATE;
	if (change->state == MODEL_ACCEPTED && !model_schedule_valid(run->model, 0, number)) {
		run->outcomes[WITHDRAWAL_REFUSED]++;
		return CW_ERR_CHECK;
	}
	change->state = MODEL_WITHDRAWN;
	change->withdrawer = withdrawer;
	run->outcomes[WITHDRAWN]++;
	return CW_OK;
}

/* Returns the number of an accepted change, or one of the last numbers booked when there is none. */
static int accepted_number(run_t *run)
{
	int start = run->last_number ? random_below(run, run->last_number) : 0;

	for (int i = 0; i < run->last_number; i++) {
		int number = 1 + (start + i) % run->last_number;

		if (run->model->changes[number].state == MODEL_ACCEPTED)
			return number;
	}
	return recent_number(run);
}

/* Withdraws a change that is accepted or was booked recently. */
static void random_withdraw(run_t *run)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Withdraw withdraw = CARAWAY__WITHDRAW__INIT;
	int number = random_below(run, 2) ? accepted_number(run) : recent_number(run);
	int withdrawer = random_below(run, (int)G_N_ELEMENTS(operators));
	cw_status_t status;

	withdraw.number = (uint64_t)number;
	withdraw.operator_name = (char *)operators[withdrawer];
	command.body_case = CARAWAY__COMMAND__BODY_WITHDRAW;
	command.withdraw = &withdraw;
	status = apply(run, &command);
	ck_assert_msg(status == expect_withdraw(run, number, withdrawer), "withdraw %d: %s", number,
		      cw_status_name(status));
}

/* Returns the expected status of an activation and applies it to the model. */
static cw_status_t expect_activate(run_t *run, int number)
{
	model_change_t *change = &run->model->changes[number];

	if (change->state == MODEL_NOT_BOOKED)
		return CW_ERR_NOT_FOUND;
	if (change->state == MODEL_IN_FORCE)
		return CW_OK;
	if (change->state != MODEL_ACCEPTED || model_effective_due_ms(change) > run->now_ms ||
	    model_first_due(run->model) != number)
		return CW_ERR_STATE;
	change->state = MODEL_IN_FORCE;
	run->model->activated[run->model->activated_count++] = number;
	run->outcomes[IN_FORCE]++;
	return CW_OK;
}

/* Activates the change that the ledger reports as due, or one that was booked recently. */
static void random_activate(run_t *run)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Activate activate = CARAWAY__ACTIVATE__INIT;
	uint64_t due = cw_ledger_due_change(run->ledger, run->now_ms);
	int first = model_first_due(run->model);
	bool is_due = first && model_effective_due_ms(&run->model->changes[first]) <= run->now_ms;
	cw_status_t status;

	ck_assert_uint_eq(due, is_due ? (uint64_t)first : 0);
	activate.number = due && random_below(run, 4) ? due : (uint64_t)recent_number(run);
	command.body_case = CARAWAY__COMMAND__BODY_ACTIVATE;
	command.activate = &activate;
	status = apply(run, &command);
	ck_assert_int_eq(status, expect_activate(run, (int)activate.number));
}

/* Sets or removes the tier of a VM, registered or not. */
static void random_label(run_t *run)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__SetLabels body = CARAWAY__SET_LABELS__INIT;
	Caraway__Label label = CARAWAY__LABEL__INIT;
	Caraway__Label *labels[] = {&label};
	int name = random_below(run, MODEL_VM_COUNT);
	model_vm_t *vm = &run->model->vms[name];
	model_vm_t updated = *vm;
	bool valid;
	cw_status_t status;

	updated.tier = random_below(run, RANDOM_TIER_COUNT + 1) - 1;
	label.key = "tier";
	label.value = updated.tier == MODEL_NONE ? "" : (char *)random_tiers[updated.tier];
	body.vm = g_strdup_printf("v%d", name);
	body.operator_name = (char *)operators[0];
	body.n_labels = 1;
	body.labels = labels;
	command.body_case = CARAWAY__COMMAND__BODY_SET_LABELS;
	command.set_labels = &body;
	status = apply(run, &command);
	g_free(body.vm);
	valid = model_schedule_valid_for_vm(run->model, name, &updated, 0, 0);
	ck_assert_int_eq(status, !vm->registered ? CW_ERR_NOT_FOUND : valid ? CW_OK : CW_ERR_CHECK);
	run->outcomes[LABELLED] += status == CW_OK;
	run->outcomes[LABEL_REFUSED] += status == CW_ERR_CHECK;
	if (!status)
		*vm = updated;
}

/* Registers a VM, which may be registered already, in a random zone. */
static void random_register(run_t *run, int name)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Register body = CARAWAY__REGISTER__INIT;
	Caraway__Vm message = CARAWAY__VM__INIT;
	model_vm_t *vm = &run->model->vms[name];
	model_vm_t updated = *vm;
	bool valid;
	cw_status_t status;

	updated.zone = random_below(run, RANDOM_ZONE_COUNT);
	updated.tier = vm->registered ? vm->tier : MODEL_NONE;
	updated.registered = true;
	message.name = g_strdup_printf("v%d", name);
	message.zone = (char *)random_zones[updated.zone];
	body.vm = &message;
	command.body_case = CARAWAY__COMMAND__BODY_REGISTER_VM;
	command.register_vm = &body;
	status = apply(run, &command);
	g_free(message.name);
	valid = model_schedule_valid_for_vm(run->model, name, &updated, 0, 0);
	ck_assert_int_eq(status, valid ? CW_OK : CW_ERR_CHECK);
	if (!status)
		*vm = updated;
}

/*
 * Converts the configuration that the catalog resolves for a VM to the model's form, in which bytes of 0xff
 * make MODEL_NONE.
 */
static void resolve_config(const cw_catalog_t *catalog, int name, model_config_t *config)
{
	char *vm_name = g_strdup_printf("v%d", name);
	cw_config_t *resolved = cw_catalog_resolve(catalog, cw_catalog_vm(catalog, vm_name));

	memset(config, 0, sizeof(*config));
	memset(config->route_service, 0xff, sizeof(config->route_service));
	memset(config->route_target, 0xff, sizeof(config->route_target));
	memset(config->target_service, 0xff, sizeof(config->target_service));
	for (size_t i = 0; i < resolved->services->len; i++)
		config->has_service[atoi(((Caraway__Service *)resolved->services->pdata[i])->name + 1)] = 1;
	for (size_t i = 0; i < resolved->routes->len; i++) {
		const Caraway__Route *route = resolved->routes->pdata[i];
		int index = atoi(route->name + 1);

		config->route_service[index] = atoi(route->service + 1);
		config->route_target[index] = *route->target ? atoi(route->target + 1) : MODEL_NONE;
	}
	for (size_t i = 0; i < resolved->targets->len; i++) {
		const Caraway__Target *target = resolved->targets->pdata[i];

		config->target_service[atoi(target->name + 1)] = atoi(target->service + 1);
	}
	cw_config_free(resolved);
	g_free(vm_name);
}

/* Checks every VM's configuration against the model, and that the feed's version has not decreased. */
static void check_configs(run_t *run)
{
	const cw_feed_t *feed = cw_ledger_feed(run->ledger);

	ck_assert_uint_ge(cw_feed_version(feed), run->version);
	run->version = cw_feed_version(feed);
	for (int i = 0; i < MODEL_VM_COUNT; i++) {
		model_config_t actual;
		model_config_t expected;

		if (!run->model->vms[i].registered)
			continue;
		resolve_config(cw_feed_catalog(feed), i, &actual);
		model_resolve(run->model, i, &run->model->vms[i], &expected);
		ck_assert_msg(!memcmp(&actual, &expected, sizeof(actual)),
			      "VM v%d: the configuration differs from the model's", i);
		ck_assert_msg(model_config_valid(&actual),
			      "VM v%d: the configuration has a dangling reference", i);
	}
}

/* Replaces the reloaded ledger by one loaded from its snapshot. */
static void reload(run_t *run)
{
	GBytes *saved = cw_ledger_save(run->reloaded);
	gsize length;
	const void *data = g_bytes_get_data(saved, &length);

	cw_ledger_free(run->reloaded);
	run->reloaded = cw_ledger_new(10);
	ck_assert_int_eq(cw_ledger_load(run->reloaded, data, length), CW_OK);
	g_bytes_unref(saved);
}

/* Checks that the snapshots of the three ledgers are equal. */
static void check_ledgers_equal(const run_t *run)
{
	GBytes *first = cw_ledger_save(run->ledger);
	GBytes *second = cw_ledger_save(run->replay);
	GBytes *third = cw_ledger_save(run->reloaded);

	ck_assert(g_bytes_equal(first, second));
	ck_assert(g_bytes_equal(first, third));
	g_bytes_unref(first);
	g_bytes_unref(second);
	g_bytes_unref(third);
}

/* Applies one random command. */
static void random_command(run_t *run)
{
	int percent = random_below(run, 100);

	run->now_ms += random_below(run, 20);
	if (percent < 30)
		random_book(run);
	else if (percent < 62)
		random_review(run);
	else if (percent < 66)
		random_withdraw(run);
	else if (percent < 85)
		random_activate(run);
	else if (percent < 91)
		random_label(run);
	else if (percent < 95)
		random_register(run, random_below(run, MODEL_VM_COUNT));
	else
		repeat_book(run);
}

/* Runs the random commands of one seed and checks the ledgers after each of them. */
static void run_seed(guint32 seed, int *outcomes)
{
	run_t run = {.now_ms = 1000, .outcomes = outcomes};

	run.random = g_rand_new_with_seed(seed);
	run.ledger = cw_ledger_new(100);
	run.replay = cw_ledger_new(100);
	run.reloaded = cw_ledger_new(10);
	run.model = g_new0(model_t, 1);
	for (int i = 0; i < MODEL_VM_COUNT / 2; i++)
		random_register(&run, i);
	for (int i = 0; i < COMMANDS_PER_SEED; i++) {
		random_command(&run);
		check_configs(&run);
		if (i % RELOAD_INTERVAL == 0)
			reload(&run);
		if (i % COMPARE_INTERVAL == 0)
			check_ledgers_equal(&run);
	}
	check_ledgers_equal(&run);
	g_free(run.model);
	cw_ledger_free(run.ledger);
	cw_ledger_free(run.replay);
	cw_ledger_free(run.reloaded);
	g_rand_free(run.random);
}

/*
 * Runs several seeds, whose number SEEDS in the environment overrides.  Every outcome must occur more than
 * twice in all seeds together.
 */
START_TEST(test_random)
{
	const char *seeds_text = g_getenv("SEEDS");
	guint32 seed_count = seeds_text ? (guint32)g_ascii_strtoull(seeds_text, NULL, 10) : SEED_COUNT;
	int outcomes[OUTCOME_COUNT] = {0};

	for (guint32 seed = 1; seed <= seed_count; seed++)
		run_seed(seed, outcomes);
	for (int i = 0; i < OUTCOME_COUNT; i++)
		ck_assert_msg(outcomes[i] > 2, "outcome_t %d occurred only %d times in all seeds", i,
			      outcomes[i]);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("ledger_random");
	TCase *tcase = tcase_create("ledger_random");

	tcase_set_timeout(tcase, 600);
	tcase_add_test(tcase, test_random);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
