/* Scripted tests of the schedule of a planned stop. */
#include <check.h>
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

enum { START_MS = 1000000 };

/* Runs the command "plan GRACE_MS", which prints the ends of the steps after the start of the stop. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	cw_stop_plan_t plan;

	(void)data;
	if (argc != 2 || !g_str_equal(argv[0], "plan")) {
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
		return;
	}
	plan = cw_stop_plan(START_MS, (uint32_t)atoi(argv[1]));
	g_string_append_printf(out, "propagated %d accept %d exit %d\n", (int)(plan.propagated_ms - START_MS),
			       (int)(plan.accept_until_ms - START_MS), (int)(plan.exit_by_ms - START_MS));
}

/* Runs one script of tests/stop. */
START_TEST(test_script)
{
	script_assert("tests/stop", _i, run_command, NULL);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/stop", test_script, 30);
}
