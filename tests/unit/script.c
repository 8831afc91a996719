/* Runs test scripts and compares their output with the expected output. */
#include "script.h"

#include <stdlib.h>
#include <string.h>

/* Runs one command line and appends the line and the output of the command to the transcript. */
static void run_line(const char *line, script_command_t command, void *data, GString *transcript)
{
	int argc;
	char **argv;
	GError *error = NULL;

	g_string_append_printf(transcript, "%s\n", line);
	if (!g_shell_parse_argv(line + 2, &argc, &argv, &error)) {
		g_string_append_printf(transcript, "bad command: %s\n", error->message);
		g_error_free(error);
		return;
	}
	command(data, argc, argv, transcript);
	g_strfreev(argv);
}

/* Describes the first line in which two texts differ; owned by the caller, NULL if the texts are equal. */
static char *first_difference(const char *file, const char *expected, const char *actual)
{
	char **expected_lines = g_strsplit(expected, "\n", -1);
	char **actual_lines = g_strsplit(actual, "\n", -1);
	char *description = NULL;
	size_t i;

	for (i = 0; expected_lines[i] && actual_lines[i] && !strcmp(expected_lines[i], actual_lines[i]); i++)
		;
	if (expected_lines[i] || actual_lines[i])
		description =
			g_strdup_printf("%s:%zu: expected \"%s\", got \"%s\"; full transcript:\n%s", file,
					i + 1, expected_lines[i] ? expected_lines[i] : "end of file",
					actual_lines[i] ? actual_lines[i] : "end of file", actual);
	g_strfreev(expected_lines);
	g_strfreev(actual_lines);
	return description;
}

char *script_run(const char *file, script_command_t command, void *data)
{
	GString *transcript = g_string_new(NULL);
	char *text = NULL;
	char *difference;
	char **lines;

	if (!g_file_get_contents(file, &text, NULL, NULL)) {
		g_string_free(transcript, TRUE);
		return g_strdup_printf("%s: cannot be read", file);
	}
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++) {
		if (g_str_has_prefix(lines[i], "> "))
			run_line(lines[i], command, data, transcript);
		else if (g_str_has_prefix(lines[i], "#"))
			g_string_append_printf(transcript, "%s\n", lines[i]);
		else if (!*lines[i] && lines[i + 1])
			g_string_append_c(transcript, '\n');
	}
	difference = first_difference(file, text, transcript->str);
	g_strfreev(lines);
	g_free(text);
	g_string_free(transcript, TRUE);
	return difference;
}

/* Compares two paths in byte order. */
static gint compare_paths(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

GPtrArray *script_list(const char *folder)
{
	GPtrArray *paths = g_ptr_array_new_with_free_func(g_free);
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir)))
		if (g_str_has_suffix(name, ".script"))
			g_ptr_array_add(paths, g_build_filename(folder, name, NULL));
	if (dir)
		g_dir_close(dir);
	g_ptr_array_sort(paths, compare_paths);
	return paths;
}

void script_assert(const char *folder, int script_index, script_command_t command, void *data)
{
	GPtrArray *paths = script_list(folder);
	char *difference;

	ck_assert_int_lt(script_index, (int)paths->len);
	difference = script_run(g_ptr_array_index(paths, script_index), command, data);
	g_ptr_array_unref(paths);
	ck_assert_msg(!difference, "%s", difference);
}

int script_run_suite(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

int script_main(const char *folder, const TTest *test, double timeout_s)
{
	GPtrArray *paths = script_list(folder);
	Suite *suite = suite_create(folder);
	TCase *tcase = tcase_create("scripts");
	int count = (int)paths->len;

	g_ptr_array_unref(paths);
	if (!count)
		return EXIT_FAILURE;
	tcase_set_timeout(tcase, timeout_s);
	tcase_add_loop_test(tcase, test, 0, count);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
