/*
 * Seeded random commands on ledgers, judged after every command by an
 * observer that carries out the raw history by itself.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "libcaraway.h"
#include "observer.h"
#include "random_content.h"
#include "script.h"

enum { SEEDS = 6, COMMANDS = 3000, RELOAD_EVERY = 97, COMPARE_EVERY = 50 };

static const char *const operators[] = {"anna", "bela", "cili"};

/* Outcomes that the runs together must bring about. */
typedef enum {
	ACCEPTED,
	REFUSED,
	IN_FORCE,
	CONFLICT,
	RESENT,
	WITHDRAWN,
	KEPT, /* not withdrawn, for an accepted later change */
	LABELLED,
	LABEL_REFUSED,
	OUTCOMES
} outcome_t;

/* One run: the ledger judged, one that replays, one that goes on from snapshots, and the observer. */
typedef struct {
	GRand *random;
	int64_t now_ms;
	cw_ledger_t *ledger;
	cw_ledger_t *replay;
	cw_ledger_t *reloaded;
	observer_t *observer;
	uint64_t version;
	int last_number;
	random_hint_t hint;
	int *outcomes; /* counts, by outcome_t */
} run_t;

/* Returns a random number from 0 to limit - 1. */
static int pick(run_t *run, int limit)
{
	return g_rand_int_range(run->random, 0, limit);
}

/* Applies a command to the three ledgers; all must answer alike. */
static cw_status_t apply(run_t *run, Caraway__Command *command)
{
	cw_status_t status;

	command->proposed_ms = run->now_ms;
	status = cw_ledger_apply(run->ledger, command, NULL);
	ck_assert_int_eq(cw_ledger_apply(run->replay, command, NULL), status);
	ck_assert_int_eq(cw_ledger_apply(run->reloaded, command, NULL), status);
	return status;
}

/* Applies a booking. */
static cw_status_t send_book(run_t *run, int number, int operator_index, int64_t due_ms,
			     const ob_content_t *content)
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

/* Books a number, free or taken; what stands under a taken one never changes. */
static void do_book(run_t *run)
{
	bool taken = run->last_number && pick(run, 8) == 0;
	int number = taken ? 1 + pick(run, run->last_number) : ++run->last_number;
	ob_change_t *change = &run->observer->changes[number];
	ob_content_t content;
	int booker = pick(run, (int)G_N_ELEMENTS(operators));
	int64_t due_ms = pick(run, 10) ? run->now_ms + pick(run, 1500) : 0;

	random_content(run->random, &run->hint, &content);
	if (change->state != OB_FREE) {
		ck_assert_int_eq(send_book(run, number, booker, due_ms + 1, &content), CW_ERR_CONFLICT);
		run->outcomes[CONFLICT]++;
		return;
	}
	ck_assert_int_eq(send_book(run, number, booker, due_ms, &content), CW_OK);
	change->state = OB_BOOKED;
	change->booker = booker;
	change->reviewer = OB_NONE;
	change->due_ms = due_ms;
	change->content = content;
}

/* Sends a booking again; it is answered as at first, whatever came after. */
static void do_resend(run_t *run)
{
	int number = run->last_number ? 1 + pick(run, run->last_number) : 0;
	const ob_change_t *change = &run->observer->changes[number];

	if (!number)
		return;
	ck_assert_int_eq(send_book(run, number, change->booker, change->due_ms, &change->content), CW_OK);
	run->outcomes[RESENT]++;
}

/* Returns what a review must answer, and carries it out in the observer. */
static cw_status_t expect_review(run_t *run, int number, int reviewer)
{
	ob_change_t *change = &run->observer->changes[number];

	if (change->state == OB_FREE)
		return CW_ERR_NOT_FOUND;
	if (change->state != OB_BOOKED && change->reviewer != reviewer)
		return CW_ERR_STATE;
	if (change->state != OB_BOOKED)
		return change->accepted ? CW_OK : CW_ERR_CHECK;
	if (change->booker == reviewer)
		return CW_ERR_SAME_OPERATOR;
	change->reviewer = reviewer;
	change->reviewed_ms = run->now_ms;
	change->accepted = observer_plan_holds(run->observer, number, 0);
	change->state = change->accepted ? OB_ACCEPTED : OB_REFUSED;
	run->outcomes[ACCEPTED] += change->accepted;
	run->outcomes[REFUSED] += !change->accepted;
	return change->accepted ? CW_OK : CW_ERR_CHECK;
}

/* Returns a number among the last ones booked. */
static int recent_number(run_t *run)
{
	int number = run->last_number - pick(run, 12);

	return number < 1 ? 1 : number;
}

/* Reviews a recent number. */
static void do_review(run_t *run)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Review review = CARAWAY__REVIEW__INIT;
	int number = recent_number(run);
	int reviewer = pick(run, (int)G_N_ELEMENTS(operators));
	cw_status_t status;

	review.number = (uint64_t)number;
	review.operator_name = (char *)operators[reviewer];
	command.body_case = CARAWAY__COMMAND__BODY_REVIEW;
	command.review = &review;
	status = apply(run, &command);
	ck_assert_msg(status == expect_review(run, number, reviewer), "review %d: %s %s", number,
		      cw_status_name(status), cw_last_error_message());
}

/* Returns what a withdrawal must answer, and carries it out in the observer. */
static cw_status_t expect_withdraw(run_t *run, int number, int withdrawer)
{
	ob_change_t *change = &run->observer->changes[number];

	if (change->state == OB_FREE)
		return CW_ERR_NOT_FOUND;
	if (change->state == OB_WITHDRAWN)
		return change->withdrawer == withdrawer ? CW_OK : CW_ERR_STATE;
	if (change->state != OB_BOOKED && change->state != OB_ACCEPTED)
		return CW_ERR_STATE;
	if (change->state == OB_ACCEPTED && !observer_plan_holds(run->observer, 0, number)) {
		run->outcomes[KEPT]++;
		return CW_ERR_CHECK;
	}
	change->state = OB_WITHDRAWN;
	change->withdrawer = withdrawer;
	run->outcomes[WITHDRAWN]++;
	return CW_OK;
}

/* Returns an accepted number, or a recent one when there is none. */
static int accepted_number(run_t *run)
{
	int start = run->last_number ? pick(run, run->last_number) : 0;

	for (int i = 0; i < run->last_number; i++) {
		int number = 1 + (start + i) % run->last_number;

		if (run->observer->changes[number].state == OB_ACCEPTED)
			return number;
	}
	return recent_number(run);
}

/* Withdraws an accepted or a recent number. */
static void do_withdraw(run_t *run)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Withdraw withdraw = CARAWAY__WITHDRAW__INIT;
	int number = pick(run, 2) ? accepted_number(run) : recent_number(run);
	int withdrawer = pick(run, (int)G_N_ELEMENTS(operators));
	cw_status_t status;

	withdraw.number = (uint64_t)number;
	withdraw.operator_name = (char *)operators[withdrawer];
	command.body_case = CARAWAY__COMMAND__BODY_WITHDRAW;
	command.withdraw = &withdraw;
	status = apply(run, &command);
	ck_assert_msg(status == expect_withdraw(run, number, withdrawer), "withdraw %d: %s", number,
		      cw_status_name(status));
}

/* Returns what an activation must answer, and carries it out in the observer. */
static cw_status_t expect_activate(run_t *run, int number)
{
	ob_change_t *change = &run->observer->changes[number];

	if (change->state == OB_FREE)
		return CW_ERR_NOT_FOUND;
	if (change->state == OB_IN_FORCE)
		return CW_OK;
	if (change->state != OB_ACCEPTED || observer_at_ms(change) > run->now_ms ||
	    observer_first(run->observer) != number)
		return CW_ERR_STATE;
	change->state = OB_IN_FORCE;
	run->observer->history[run->observer->history_length++] = number;
	run->outcomes[IN_FORCE]++;
	return CW_OK;
}

/* Activates what the ledger says is due, or a recent number. */
static void do_activate(run_t *run)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Activate activate = CARAWAY__ACTIVATE__INIT;
	uint64_t due = cw_ledger_due(run->ledger, run->now_ms);
	int first = observer_first(run->observer);
	bool is_due = first && observer_at_ms(&run->observer->changes[first]) <= run->now_ms;
	cw_status_t status;

	ck_assert_uint_eq(due, is_due ? (uint64_t)first : 0);
	activate.number = due && pick(run, 4) ? due : (uint64_t)recent_number(run);
	command.body_case = CARAWAY__COMMAND__BODY_ACTIVATE;
	command.activate = &activate;
	status = apply(run, &command);
	ck_assert_int_eq(status, expect_activate(run, (int)activate.number));
}

/* Labels a VM, known or not. */
static void do_label(run_t *run)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__SetLabels body = CARAWAY__SET_LABELS__INIT;
	Caraway__Label label = CARAWAY__LABEL__INIT;
	Caraway__Label *labels[] = {&label};
	int name = pick(run, OB_VMS);
	ob_vm_t *vm = &run->observer->vms[name];
	ob_vm_t next = *vm;
	bool holds;
	cw_status_t status;

	next.tier = pick(run, RANDOM_TIERS + 1) - 1;
	label.key = "tier";
	label.value = next.tier == OB_NONE ? "" : (char *)random_tiers[next.tier];
	body.vm = g_strdup_printf("v%d", name);
	body.operator_name = (char *)operators[0];
	body.n_labels = 1;
	body.labels = labels;
	command.body_case = CARAWAY__COMMAND__BODY_SET_LABELS;
	command.set_labels = &body;
	status = apply(run, &command);
	g_free(body.vm);
	holds = observer_vm_holds(run->observer, name, &next, 0, 0);
	ck_assert_int_eq(status, !vm->known ? CW_ERR_NOT_FOUND : holds ? CW_OK : CW_ERR_CHECK);
	run->outcomes[LABELLED] += status == CW_OK;
	run->outcomes[LABEL_REFUSED] += status == CW_ERR_CHECK;
	if (!status)
		*vm = next;
}

/* Announces a VM, which may be new or have moved to another zone. */
static void do_register(run_t *run, int name)
{
	Caraway__Command command = CARAWAY__COMMAND__INIT;
	Caraway__Register body = CARAWAY__REGISTER__INIT;
	Caraway__Vm announced = CARAWAY__VM__INIT;
	ob_vm_t *vm = &run->observer->vms[name];
	ob_vm_t next = *vm;
	bool holds;
	cw_status_t status;

	next.zone = pick(run, RANDOM_ZONES);
	next.tier = vm->known ? vm->tier : OB_NONE;
	next.known = true;
	announced.name = g_strdup_printf("v%d", name);
	announced.zone = (char *)random_zones[next.zone];
	body.vm = &announced;
	command.body_case = CARAWAY__COMMAND__BODY_REGISTER_VM;
	command.register_vm = &body;
	status = apply(run, &command);
	g_free(announced.name);
	holds = observer_vm_holds(run->observer, name, &next, 0, 0);
	ck_assert_int_eq(status, holds ? CW_OK : CW_ERR_CHECK);
	if (!status)
		*vm = next;
}

/* Fills a configuration from what the catalog says a VM holds. */
static void read_config(const cw_catalog_t *catalog, int name, ob_config_t *config)
{
	char *text = g_strdup_printf("v%d", name);
	cw_config_t *held = cw_catalog_resolve(catalog, cw_catalog_vm(catalog, text));

	memset(config, 0, sizeof(*config));
	memset(config->route_service, 0xff, sizeof(config->route_service));
	memset(config->route_target, 0xff, sizeof(config->route_target));
	memset(config->target_service, 0xff, sizeof(config->target_service));
	for (size_t i = 0; i < held->services->len; i++)
		config->service[atoi(((Caraway__Service *)held->services->pdata[i])->name + 1)] = 1;
	for (size_t i = 0; i < held->routes->len; i++) {
		const Caraway__Route *route = held->routes->pdata[i];
		int index = atoi(route->name + 1);

		config->route_service[index] = atoi(route->service + 1);
		config->route_target[index] = *route->target ? atoi(route->target + 1) : OB_NONE;
	}
	for (size_t i = 0; i < held->targets->len; i++) {
		const Caraway__Target *target = held->targets->pdata[i];

		config->target_service[atoi(target->name + 1)] = atoi(target->service + 1);
	}
	cw_config_free(held);
	g_free(text);
}

/* Judges every VM's configuration and the version. */
static void judge(run_t *run)
{
	const cw_feed_t *feed = cw_ledger_feed(run->ledger);

	ck_assert_uint_ge(cw_feed_version(feed), run->version);
	run->version = cw_feed_version(feed);
	for (int i = 0; i < OB_VMS; i++) {
		ob_config_t held;
		ob_config_t expected;

		if (!run->observer->vms[i].known)
			continue;
		read_config(cw_feed_catalog(feed), i, &held);
		observer_config(run->observer, i, &run->observer->vms[i], &expected);
		ck_assert_msg(!memcmp(&held, &expected, sizeof(held)), "VM v%d holds something else", i);
		ck_assert_msg(observer_holds(&held), "VM v%d holds a dangling reference", i);
	}
}

/* Makes the third ledger go on from a snapshot of itself. */
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

/* The three ledgers must be in one state. */
static void compare(const run_t *run)
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

/* Carries out one random command. */
static void do_command(run_t *run)
{
	int choice = pick(run, 100);

	run->now_ms += pick(run, 20);
	if (choice < 30)
		do_book(run);
	else if (choice < 62)
		do_review(run);
	else if (choice < 66)
		do_withdraw(run);
	else if (choice < 85)
		do_activate(run);
	else if (choice < 91)
		do_label(run);
	else if (choice < 95)
		do_register(run, pick(run, OB_VMS));
	else
		do_resend(run);
}

/* Runs random commands of one seed; each promise is judged after each of them. */
static void run_seed(guint32 seed, int *outcomes)
{
	run_t run = {.now_ms = 1000, .outcomes = outcomes};

	run.random = g_rand_new_with_seed(seed);
	run.ledger = cw_ledger_new(100);
	run.replay = cw_ledger_new(100);
	run.reloaded = cw_ledger_new(10);
	run.observer = g_new0(observer_t, 1);
	for (int i = 0; i < OB_VMS / 2; i++)
		do_register(&run, i);
	for (int i = 0; i < COMMANDS; i++) {
		do_command(&run);
		judge(&run);
		if (i % RELOAD_EVERY == 0)
			reload(&run);
		if (i % COMPARE_EVERY == 0)
			compare(&run);
	}
	compare(&run);
	g_free(run.observer);
	cw_ledger_free(run.ledger);
	cw_ledger_free(run.replay);
	cw_ledger_free(run.reloaded);
	g_rand_free(run.random);
}

/* Runs several seeds; together they must have brought about every kind of answer. */
START_TEST(test_random)
{
	const char *wanted = g_getenv("SEEDS");
	guint32 seeds = wanted ? (guint32)g_ascii_strtoull(wanted, NULL, 10) : SEEDS;
	int outcomes[OUTCOMES] = {0};

	for (guint32 seed = 1; seed <= seeds; seed++)
		run_seed(seed, outcomes);
	for (int i = 0; i < OUTCOMES; i++)
		ck_assert_msg(outcomes[i] > 2, "outcome %d came about %d times", i, outcomes[i]);
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
