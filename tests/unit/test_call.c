/* Scripted tests of the state machine of a call at its originating proxy. */
#include <check.h>
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

/* State that the commands of a script operate on. */
typedef struct {
	cw_call_t call;
	cw_budget_t budget;
	int64_t now_ms;
} run_t;

/* Maps a script command to the type of its event. */
typedef struct {
	const char *name;
	cw_call_event_type_t type;
} event_name_t;

static const event_name_t event_names[] = {
	{"start", CW_CALL_EV_START},
	{"sent", CW_CALL_EV_SENT},
	{"no-endpoint", CW_CALL_EV_NO_ENDPOINT},
	{"send-failed", CW_CALL_EV_SEND_FAILED},
	{"answered", CW_CALL_EV_ANSWERED},
	{"not-run", CW_CALL_EV_NOT_RUN},
	{"unknown", CW_CALL_EV_UNKNOWN},
	{"never-started", CW_CALL_EV_REVOKED},
	{"has-started", CW_CALL_EV_REVOKED},
	{"kept", CW_CALL_EV_REVOKED},
	{"tick", CW_CALL_EV_TICK},
};

/* Prints the action that the proxy is to take. */
static void print_action(const cw_call_action_t *action, GString *out)
{
	switch (action->type) {
	case CW_CALL_AC_NONE:
		break;
	case CW_CALL_AC_TRY:
		g_string_append(out, action->retry ? "retry\n" : "try\n");
		break;
	case CW_CALL_AC_TRY_ALL:
		g_string_append(out, "try all\n");
		break;
	case CW_CALL_AC_REVOKE:
		g_string_append_printf(out, "revoke %" G_GUINT64_FORMAT "%s\n", action->sequence,
				       action->keep_queued ? "" : " also if queued");
		break;
	case CW_CALL_AC_ANSWER:
		g_string_append(out, "answer\n");
		break;
	case CW_CALL_AC_ANSWER_ERROR:
		g_string_append(out, "answer saved error\n");
		break;
	case CW_CALL_AC_REFUSE:
		g_string_append_printf(out, "not run: %s\n", cw_reason_name(action->reason));
		break;
	case CW_CALL_AC_FAIL:
		g_string_append_printf(out, "unknown: %s\n", cw_reason_name(action->reason));
		break;
	}
}

/*
 * "EVENT [SEQUENCE [REASON]]": passes an event of an attempt to the call and prints the action.
 * "answered SEQUENCE error" is an error from the target.
 */
static void run_event(run_t *run, const event_name_t *event_name, int argc, char **argv, GString *out)
{
	cw_call_event_t event = {.type = event_name->type,
				 .sequence = argc > 1 ? strtoull(argv[1], NULL, 10) : 0,
				 .reason = argc > 2 ? cw_reason_parse(argv[2]) : CW_REASON_NONE,
				 .error = argc > 2 && g_str_equal(argv[2], "error"),
				 .never_started = g_str_equal(event_name->name, "never-started"),
				 .kept = g_str_equal(event_name->name, "kept")};
	cw_call_action_t action = cw_call_step(&run->call, &run->budget, &event, run->now_ms);

	print_action(&action, out);
}

/*
 * Runs one script command: an event, "budget RETRY_PERCENT", "empty-budget",
 * "call once|idempotent DEADLINE_MS [part-of-retry]", "max-attempts N", "at NOW_MS", "next-tick" or "times".
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (g_str_equal(argv[0], "budget")) {
		cw_budget_init(&run->budget, (uint32_t)atoi(argv[1]));
	} else if (g_str_equal(argv[0], "empty-budget")) {
		while (cw_budget_take(&run->budget))
			;
	} else if (g_str_equal(argv[0], "call")) {
		cw_call_init(&run->call, g_str_equal(argv[1], "idempotent"), argc < 4, run->now_ms,
			     atoll(argv[2]));
	} else if (g_str_equal(argv[0], "max-attempts")) {
		run->call.max_arrivals = (uint32_t)atoi(argv[1]);
	} else if (g_str_equal(argv[0], "at")) {
		run->now_ms = atoll(argv[1]);
	} else if (g_str_equal(argv[0], "next-tick")) {
		g_string_append_printf(out, "%" G_GINT64_FORMAT "\n", cw_call_next_tick_ms(&run->call));
	} else if (g_str_equal(argv[0], "times")) {
		g_string_append_printf(out, "start deadline %" G_GINT64_FORMAT ", runs on for %u ms\n",
				       cw_call_receiver_deadline_ms(&run->call),
				       cw_call_run_on_ms(&run->call));
	} else {
		for (size_t i = 0; i < G_N_ELEMENTS(event_names); i++)
			if (g_str_equal(argv[0], event_names[i].name)) {
				run_event(run, &event_names[i], argc, argv, out);
				return;
			}
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
	}
}

/* Runs every script. */
START_TEST(test_script)
{
	GPtrArray *scripts = script_list("tests/call");

	for (size_t i = 0; i < scripts->len; i++) {
		run_t run = {0};
		char *difference = script_run(scripts->pdata[i], run_command, &run);

		ck_assert_msg(!difference, "%s", difference);
	}
	ck_assert_uint_gt(scripts->len, 0);
	g_ptr_array_unref(scripts);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("call");
	TCase *tcase = tcase_create("call");

	tcase_add_test(tcase, test_script);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
