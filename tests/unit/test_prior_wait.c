/* Scripted runs of the estimate of how long callers have waited. */
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

/* "allows ROUTE MS": a caller of a route allows so much. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	cw_prior_wait_t *patience = data;

	if (g_str_equal(argv[0], "allows") && argc == 3)
		g_string_append_printf(
			out, "waited %" G_GINT64_FORMAT "\n",
			cw_prior_wait_estimate_ms(patience, strtoull(argv[1], NULL, 10), atoll(argv[2])));
	else
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
}

START_TEST(test_script)
{
	cw_prior_wait_t *patience = cw_prior_wait_new();

	script_check("tests/prior_wait", _i, run_command, patience);
	cw_prior_wait_free(patience);
}
END_TEST

int main(void)
{
	return script_main("tests/prior_wait", test_script, 30);
}
