/* Scripted tests of the estimate of how long a caller has waited before its request. */
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

/* "timeout ROUTE MS": a request with this timeout arrives; prints the estimate of its prior wait. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	cw_prior_wait_t *prior_wait = data;

	if (g_str_equal(argv[0], "timeout") && argc == 3)
		g_string_append_printf(
			out, "waited %" G_GINT64_FORMAT "\n",
			cw_prior_wait_estimate_ms(prior_wait, strtoull(argv[1], NULL, 10), atoll(argv[2])));
	else
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
}

/* Runs one script of tests/prior_wait. */
START_TEST(test_script)
{
	cw_prior_wait_t *prior_wait = cw_prior_wait_new();

	script_assert("tests/prior_wait", _i, run_command, prior_wait);
	cw_prior_wait_free(prior_wait);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/prior_wait", test_script, 30);
}
