/*
 * Tests of roll-outs between the leader and the origins: notices go down and evidence goes up through a relay, and an
 * origin withholds endpoints by its account.
 */
#include <check.h>
#include <string.h>

#include "rollouts.h"
#include "script.h"

enum { FRESHNESS_MS = 5000, START_MS = 10000, TERM = 1 };

/* Returns a relay of a replica that leads, or of a proxy. */
static cw_relay_t *relay_new(cw_relay_kind_t kind, const char *vm, cw_feed_t *feed, cw_members_t *members)
{
	static const char *const controls[] = {"c:1"};
	const cw_relay_options_t options = {.kind = kind,
					    .vm = vm,
					    .zone = "z",
					    .incarnation = 1,
					    .control_addresses = controls,
					    .control_address_count = 1,
					    .freshness_ms = FRESHNESS_MS,
					    .hold_ms = 1000,
					    .batch_ms = 100,
					    .stamp_ms = 1000,
					    .report_ms = 1000,
					    .max_children = 4,
					    .zone_heads = 4,
					    .max_update_bytes = 1 << 16};

	return cw_relay_new(&options, feed, members, START_MS);
}

/* Carries out a step and returns its action of a type; the caller frees the message. */
static Caraway__Message *step(cw_relay_t *relay, const cw_relay_event_t *event, int64_t now_ms,
			      cw_relay_action_type_t type, uint64_t *cookie)
{
	Caraway__Message *message = NULL;
	cw_relay_actions_t actions;

	cw_relay_actions_init(&actions);
	cw_relay_step(relay, event, now_ms, &actions);
	for (guint i = 0; i < actions.items->len; i++) {
		const cw_relay_action_t *action = &g_array_index(actions.items, cw_relay_action_t, i);

		if (action->type != type)
			continue;
		if (action->message && !message)
			message = cw_message_copy(&action->message->base);
		if (cookie)
			*cookie = action->cookie;
	}
	cw_relay_actions_clear(&actions);
	return message;
}

/* A change of a roll-out waits for the next stamp, or does not arrive; evidence is lost or counted twice. */
START_TEST(test_relay)
{
	cw_feed_t *feeds[] = {cw_feed_new(10), cw_feed_new(10)};
	cw_members_t *members[] = {cw_members_new(0, 0), cw_members_new(0, 0)};
	cw_relay_t *leader = relay_new(CW_RELAY_REPLICA, "c", feeds[0], members[0]);
	cw_relay_t *proxy = relay_new(CW_RELAY_PROXY, "p", feeds[1], members[1]);
	g_autoptr(GBytes) peer = g_bytes_new_static("p", 1);
	cw_relay_event_t lead = {.type = CW_RELAY_EV_LEAD, .term = TERM};
	cw_relay_event_t tick = {.type = CW_RELAY_EV_TICK};
	cw_relay_event_t pulled = {.type = CW_RELAY_EV_PULL, .peer = peer};
	cw_relay_event_t updated = {.type = CW_RELAY_EV_UPDATE, .address = "c:1"};
	cw_relay_event_t confirmed = {.type = CW_RELAY_EV_CONFIRMED};
	Caraway__RolloutNotice notice = CARAWAY__ROLLOUT_NOTICE__INIT;
	Caraway__RolloutNotice *notices[] = {&notice};
	Caraway__RolloutEvidence evidence = CARAWAY__ROLLOUT_EVIDENCE__INIT;
	Caraway__RolloutCounts counts = CARAWAY__ROLLOUT_COUNTS__INIT;
	uint32_t latency[] = {1, 2};
	Caraway__Message *pull, *answer;
	GPtrArray *taken;

	notice.sequence = 3;
	notice.service = "tabla";
	notice.target_version = "v2";
	notice.state = CARAWAY__ROLLOUT_STATE__ROLLOUT_PROBE;
	counts.answers = 3;
	counts.failures = 1;
	counts.n_latency = 2;
	counts.latency = latency;
	evidence.sequence = 3;
	evidence.route = 77;
	evidence.new_counts = &counts;
	cw_message_free(step(leader, &lead, START_MS, CW_RELAY_AC_CONFIRM, &confirmed.cookie));
	cw_relay_set_rollouts(leader, notices, 1, START_MS);
	cw_message_free(step(leader, &confirmed, START_MS, CW_RELAY_AC_ANSWER, NULL));
	cw_relay_add_evidence(proxy, &evidence, START_MS);
	cw_relay_add_evidence(proxy, &evidence, START_MS);
	pull = step(proxy, &tick, START_MS, CW_RELAY_AC_SEND, NULL);
	ck_assert_ptr_nonnull(pull);
	ck_assert_uint_eq(pull->pull->n_evidence, 1);
	pulled.pull = pull->pull;
	answer = step(leader, &pulled, START_MS + 1, CW_RELAY_AC_ANSWER, NULL);
	taken = cw_relay_take_evidence(leader);
	ck_assert_uint_eq(taken->len, 1);
	ck_assert_uint_eq(((Caraway__RolloutEvidence *)taken->pdata[0])->new_counts->answers, 6);
	ck_assert_uint_eq(((Caraway__RolloutEvidence *)taken->pdata[0])->new_counts->latency[1], 4);
	g_ptr_array_unref(taken);
	taken = cw_relay_take_evidence(proxy);
	ck_assert_uint_eq(taken->len, 0);
	g_ptr_array_unref(taken);

	ck_assert_ptr_nonnull(answer);
	updated.update = answer->news;
	cw_message_free(step(proxy, &updated, START_MS + 3, CW_RELAY_AC_COUNT, NULL));
	ck_assert_uint_eq(cw_relay_rollouts(proxy)->len, 1);
	ck_assert_int_gt(cw_relay_rollouts_confirmed_ms(proxy), 0);
	ck_assert_int_le(cw_relay_rollouts_confirmed_ms(proxy), START_MS);

	/* A change makes the leader ask for a confirmation at once, once none is under way. */
	for (uint64_t cookie = confirmed.cookie + 1; cookie;) {
		confirmed.cookie = cookie;
		cookie = 0;
		cw_message_free(step(leader, &confirmed, START_MS + 3, CW_RELAY_AC_CONFIRM, &cookie));
	}
	notice.state = CARAWAY__ROLLOUT_STATE__ROLLOUT_ROLLED_BACK;
	confirmed.cookie = 0;
	cw_relay_set_rollouts(leader, notices, 1, START_MS + 4);
	cw_message_free(step(leader, &tick, START_MS + 4, CW_RELAY_AC_CONFIRM, &confirmed.cookie));
	ck_assert_uint_ne(confirmed.cookie, 0);

	/* The list of a parent that does not know roll-outs is no list. */
	answer->news->rollouts_known = false;
	cw_message_free(answer->news->rollouts[0]);
	answer->news->n_rollouts = 0;
	cw_message_free(step(proxy, &updated, START_MS + 5, CW_RELAY_AC_COUNT, NULL));
	ck_assert_uint_eq(cw_relay_rollouts(proxy)->len, 1);
	cw_message_free(answer);
	cw_message_free(pull);
	cw_relay_free(leader);
	cw_relay_free(proxy);
	for (int i = 0; i < 2; i++) {
		cw_members_free(members[i]);
		cw_feed_free(feeds[i]);
	}
}
END_TEST

/* Publishes one roll-out of service "tabla" to version "v2". */
static void publish(rollouts_t *rollouts, uint64_t sequence, Caraway__RolloutState state,
		    int64_t confirmed_ms)
{
	Caraway__RolloutNotice notice = CARAWAY__ROLLOUT_NOTICE__INIT;
	g_autoptr(GPtrArray) notices = g_ptr_array_new();

	notice.sequence = sequence;
	notice.service = "tabla";
	notice.target_version = "v2";
	notice.state = state;
	g_ptr_array_add(notices, &notice);
	rollouts_publish(rollouts, notices, confirmed_ms);
}

/* Counts answers of old targets. */
static void answer_old(rollouts_t *rollouts, uint64_t sequence, int count)
{
	const rollout_answer_t answer = {
		.rollout = sequence, .version = CW_ROLLOUT_OLD, .route = 5, .vm = "a", .latency_ms = 20};

	for (int i = 0; i < count; i++)
		rollouts_answered(rollouts, &answer, START_MS);
}

/* Returns which of the endpoints a (v1), b (v2), c (v2) an attempt may use, as a string. */
static char *usable(rollouts_t *rollouts, const rollout_choice_t *choice)
{
	rollout_endpoint_t endpoints[] = {{.vm = "a", .target_version = "v1"},
					  {.vm = "b", .target_version = "v2"},
					  {.vm = "c", .target_version = "v2"}};
	GString *names = g_string_new(NULL);

	rollouts_restrict(rollouts, choice, "tabla", endpoints, G_N_ELEMENTS(endpoints));
	for (size_t i = 0; i < G_N_ELEMENTS(endpoints); i++)
		if (!endpoints[i].withheld)
			g_string_append(names, endpoints[i].vm);
	return g_string_free(names, FALSE);
}

/* Checks the endpoints that the next attempt may use. */
static void check_usable(rollouts_t *rollouts, int64_t now_ms, const char *expected)
{
	rollout_choice_t choice = rollouts_choose(rollouts, "tabla", now_ms);
	g_autofree char *names = usable(rollouts, &choice);

	ck_assert_str_eq(names, expected);
}

/* A new version gets calls beyond its account, after its lease or after its roll-back; other services are restricted. */
START_TEST(test_restriction)
{
	rollouts_t *rollouts = rollouts_new();

	check_usable(rollouts, START_MS, "abc");
	publish(rollouts, 1, CARAWAY__ROLLOUT_STATE__ROLLOUT_PROBE, START_MS);
	check_usable(rollouts, START_MS, "a");
	answer_old(rollouts, 1, 50);
	check_usable(rollouts, START_MS, "bc");
	check_usable(rollouts, START_MS + 3999, "bc");
	check_usable(rollouts, START_MS + 4000, "a");
	rollouts_sent_to_new(rollouts, 1);
	check_usable(rollouts, START_MS, "a");
	ck_assert_int_eq(rollouts_choose(rollouts, "other", START_MS).use, CW_ROLLOUT_USE_ANY);

	/* The next one is not exposed at once, though the account would allow it in LOAD, which uses one new target. */
	publish(rollouts, 1, CARAWAY__ROLLOUT_STATE__ROLLOUT_LOAD, START_MS);
	check_usable(rollouts, START_MS, "a");
	answer_old(rollouts, 1, 25);
	for (int i = 0; i < 3; i++) {
		rollout_choice_t choice = rollouts_choose(rollouts, "tabla", START_MS);
		g_autofree char *names = usable(rollouts, &choice);

		ck_assert_uint_eq(strlen(names), 1);
		ck_assert_str_ne(names, "a");
	}
	publish(rollouts, 1, CARAWAY__ROLLOUT_STATE__ROLLOUT_HANDOVER, START_MS);
	check_usable(rollouts, START_MS, "bc");
	publish(rollouts, 1, CARAWAY__ROLLOUT_STATE__ROLLOUT_ROLLED_BACK, START_MS);
	check_usable(rollouts, START_MS, "a");

	/* A new order starts with an account of its own. */
	publish(rollouts, 2, CARAWAY__ROLLOUT_STATE__ROLLOUT_LOAD, START_MS);
	check_usable(rollouts, START_MS, "a");
	rollouts_free(rollouts);
}
END_TEST

/* Evidence is not handed over, or handed over twice. */
START_TEST(test_evidence)
{
	rollouts_t *rollouts = rollouts_new();
	GPtrArray *taken;

	publish(rollouts, 1, CARAWAY__ROLLOUT_STATE__ROLLOUT_PROBE, START_MS);
	rollouts_run(rollouts, START_MS);
	answer_old(rollouts, 1, 7);
	answer_old(rollouts, 9, 7);
	rollouts_run(rollouts, START_MS + CW_ROLLOUT_INTERVAL_MS);
	taken = rollouts_take_evidence(rollouts);
	ck_assert_uint_eq(taken->len, 1);
	ck_assert_uint_eq(((Caraway__RolloutEvidence *)taken->pdata[0])->old_counts->answers, 7);
	g_ptr_array_unref(taken);
	taken = rollouts_take_evidence(rollouts);
	ck_assert_uint_eq(taken->len, 0);
	g_ptr_array_unref(taken);
	rollouts_free(rollouts);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("rollout_origin");
	TCase *tcase = tcase_create("rollout_origin");

	tcase_add_test(tcase, test_relay);
	tcase_add_test(tcase, test_restriction);
	tcase_add_test(tcase, test_evidence);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
