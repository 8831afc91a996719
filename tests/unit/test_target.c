/* Scripted tests of target announcements, also invalid ones, and of the estimate of transit delay. */
#include <check.h>
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

/* State that the commands of a script operate on. */
typedef struct {
	cw_target_t *target; /* NULL until the command "target" */
	cw_transit_t *transit;
	int64_t now_ms;
} run_t;

static const char *const verdict_names[] = {"applied", "stale", "mismatch", "incomplete"};

/* "announce ID SERVICE ADDRESS STARTED_MS SEQUENCE up|leaving"; ID "-" stands for none. */
static void run_announce(run_t *run, char **argv, GString *out)
{
	const cw_announcement_t announcement = {.id = g_str_equal(argv[1], "-") ? NULL : argv[1],
						.service = argv[2],
						.address = argv[3],
						.started_ms = atoll(argv[4]),
						.sequence = strtoull(argv[5], NULL, 10),
						.leaving = g_str_equal(argv[6], "leaving")};

	g_string_append_printf(out, "%s\n",
			       verdict_names[cw_target_announce(run->target, &announcement, run->now_ms)]);
}

/*
 * Runs one script command: "target SERVICE ADDRESS", "at NOW_MS", "announce", "show", "check ID" for a health
 * check that returns an identifier, "use", which prints whether the target may be used, or "sent SENDER SENT_MS
 * NOW_MS", which prints the estimated transit delay of a message.
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (g_str_equal(argv[0], "target")) {
		if (run->target)
			cw_target_free(run->target);
		run->target = cw_target_new(argv[1], argv[2], run->now_ms);
	} else if (g_str_equal(argv[0], "announce") && argc == 7) {
		run_announce(run, argv, out);
	} else if (g_str_equal(argv[0], "show")) {
		g_string_append_printf(out, "%s %s\n",
				       cw_target_id(run->target) ? cw_target_id(run->target) : "unknown",
				       cw_target_is_leaving(run->target) ? "leaving" : "up");
	} else if (g_str_equal(argv[0], "at") && argc == 2) {
		run->now_ms = atoll(argv[1]);
	} else if (g_str_equal(argv[0], "check") && argc == 2) {
		g_string_append_printf(out, "%s\n",
				       cw_target_confirm(run->target, argv[1]) ? "confirmed" : "not awaited");
	} else if (g_str_equal(argv[0], "use")) {
		g_string_append_printf(out, "%s\n",
				       cw_target_is_up(run->target)	     ? "yes"
				       : cw_target_awaits_check(run->target) ? "no, awaits a check"
									     : "no");
	} else if (g_str_equal(argv[0], "sent") && argc == 4) {
		g_string_append_printf(out, "delay %" G_GINT64_FORMAT "\n",
				       cw_transit_delay_ms(run->transit, strtoull(argv[1], NULL, 10),
							   atoll(argv[2]), atoll(argv[3])));
	} else {
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
	}
}

/* Runs one script of tests/target. */
START_TEST(test_script)
{
	run_t run = {.transit = cw_transit_new(4)};

	script_assert("tests/target", _i, run_command, &run);
	if (run.target)
		cw_target_free(run.target);
	cw_transit_free(run.transit);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/target", test_script, 30);
}
