/* Tests of selectors: scripts with expected output, and the limits of length and terms. */
#include <check.h>

#include "script.h"
#include "script_args.h"

/* "match SELECTOR VM [KEY=VALUE]...": prints whether a selector matches a VM. */
static void run_match(void *data, int argc, char **argv, GString *out)
{
	cw_selector_t *selector;
	Caraway__Vm *vm;

	(void)data;
	if (cw_selector_parse(argv[1], &selector)) {
		g_string_append_printf(out, "%s\n", cw_last_error_message());
		return;
	}
	vm = vm_from_args(argv[2], argc - 3, argv + 3);
	g_string_append(out, cw_selector_match(selector, vm) ? "yes\n" : "no\n");
	cw_message_free(vm);
	cw_selector_free(selector);
}

/* Runs every script. */
START_TEST(test_script)
{
	GPtrArray *scripts = script_list("tests/selector");

	for (size_t i = 0; i < scripts->len; i++) {
		char *difference = script_run(scripts->pdata[i], run_match, NULL);

		ck_assert_msg(!difference, "%s", difference);
	}
	ck_assert_uint_gt(scripts->len, 0);
	g_ptr_array_unref(scripts);
}
END_TEST

/* A selector of more than 32 terms or 1024 bytes is refused. */
START_TEST(test_limits)
{
	GString *text = g_string_new("a");
	cw_selector_t *selector;

	for (int i = 0; i < 32; i++)
		g_string_append(text, ",a");
	ck_assert_int_eq(cw_selector_parse(text->str, &selector), CW_ERR_SELECTOR);
	ck_assert_ptr_null(selector);
	g_string_set_size(text, 0);
	for (int i = 0; i < 1025; i++)
		g_string_append_c(text, ' ');
	ck_assert_int_eq(cw_selector_parse(text->str, &selector), CW_ERR_SELECTOR);
	g_string_free(text, TRUE);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("selector");
	TCase *tcase = tcase_create("selector");

	tcase_add_test(tcase, test_script);
	tcase_add_test(tcase, test_limits);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
