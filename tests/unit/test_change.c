/* Tests of the change file parser: scripts with expected output, and the digest. */
#include <check.h>
#include <string.h>

#include "script.h"
#include "script_args.h"

/* Prints the sections of a content. */
static void print_content(const Caraway__Content *content, GString *out)
{
	g_string_append_printf(out, "change \"%s\" selector \"%s\"\n", content->title, content->selector);
	for (size_t i = 0; i < content->n_services; i++) {
		const Caraway__Service *service = content->services[i];

		g_string_append_printf(out, "service %s timeout %u%s\n", service->name, service->timeout_ms,
				       service->removed ? " removed" : "");
	}
	for (size_t i = 0; i < content->n_routes; i++) {
		const Caraway__Route *route = content->routes[i];

		g_string_append_printf(out,
				       "route %s path \"%s\" service \"%s\" target \"%s\" idempotent %d%s\n",
				       route->name, route->path, route->service, route->target,
				       route->idempotence, route->removed ? " removed" : "");
	}
	for (size_t i = 0; i < content->n_accounts; i++) {
		const Caraway__ClientAccount *account = content->accounts[i];
		g_autofree char *priority =
			account->has_priority ? g_strdup_printf("%u", account->priority) : g_strdup("none");

		g_string_append_printf(out, "account %s keys %zu priority %s rate %g burst %g%s\n",
				       account->name, account->n_key_digests / 2, priority,
				       account->calls_per_s, account->burst,
				       account->removed ? " removed" : "");
	}
	for (size_t i = 0; i < content->n_targets; i++) {
		const Caraway__Target *target = content->targets[i];

		g_string_append_printf(out, "target %s service \"%s\" selector \"%s\"%s\n", target->name,
				       target->service, target->selector, target->removed ? " removed" : "");
	}
}

/* "parse LINE...": parses the lines as a change file and prints the content or the error. */
static void run_parse(void *data, int argc, char **argv, GString *out)
{
	char *text = g_strjoinv("\n", argv + 1);
	Caraway__Content *content;
	cw_status_t status = cw_change_parse(text, strlen(text), "f.ini", &content);

	(void)data;
	(void)argc;
	if (status)
		g_string_append_printf(out, "%s: %s\n", cw_status_name(status), cw_last_error_message());
	else
		print_content(content, out);
	cw_message_free(content);
	g_free(text);
}

/* Runs every script. */
START_TEST(test_script)
{
	GPtrArray *scripts = script_list("tests/change");

	for (size_t i = 0; i < scripts->len; i++) {
		char *difference = script_run(scripts->pdata[i], run_parse, NULL);

		ck_assert_msg(!difference, "%s", difference);
	}
	ck_assert_uint_gt(scripts->len, 0);
	g_ptr_array_unref(scripts);
}
END_TEST

/* The digest depends on the values of the sections, not on their order in the file. */
START_TEST(test_digest)
{
	static const char *const texts[] = {
		"[change]\ntitle=t\nselector=\n[service a]\n[service b]\n",
		"[service b]\n[service a]\n[change]\nselector=\ntitle=t\n",
		"[change]\ntitle=t\nselector=\n[service a]\n[service b]\ntimeout-ms=1\n",
	};
	uint64_t digests[G_N_ELEMENTS(texts)];

	for (size_t i = 0; i < G_N_ELEMENTS(texts); i++) {
		Caraway__Content *content;

		ck_assert_int_eq(cw_change_parse(texts[i], strlen(texts[i]), "f", &content), CW_OK);
		digests[i] = cw_content_digest(content);
		cw_message_free(content);
	}
	ck_assert_uint_eq(digests[0], digests[1]);
	ck_assert_uint_ne(digests[0], digests[2]);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("change");
	TCase *tcase = tcase_create("change");

	tcase_add_test(tcase, test_script);
	tcase_add_test(tcase, test_digest);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
