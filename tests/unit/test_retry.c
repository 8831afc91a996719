/* Scripted tests of the Retry-After time of refused requests. */
#include <stdlib.h>

#include "libcaraway.h"
#include "script.h"

/*
 * "refused WAIT_MS SERVICE_MS USEFUL_MS RANDOM" or "without-configuration UPTIME_MS RANDOM";
 * prints the Retry-After time in ms.  RANDOM is in [0, 1).
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	(void)data;
	if (g_str_equal(argv[0], "refused") && argc == 5) {
		const cw_refused_call_t refused = {.wait_ms = (uint32_t)atoi(argv[1]),
						   .service_ms = (uint32_t)atoi(argv[2]),
						   .useful_ms = atoll(argv[3])};

		g_string_append_printf(out, "after %u\n", cw_retry_after_ms(&refused, atof(argv[4])));
	} else if (g_str_equal(argv[0], "without-configuration") && argc == 3) {
		g_string_append_printf(out, "after %u\n",
				       cw_retry_after_unconfigured_ms(atoll(argv[1]), atof(argv[2])));
	} else {
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
	}
}

/* Runs one script of tests/retry. */
START_TEST(test_script)
{
	script_assert("tests/retry", _i, run_command, NULL);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/retry", test_script, 30);
}
