/* Scripted tests of the reading of settings files: tests/settings. */
#include <check.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"
#include "settings.h"

/* The settings file that a script edits; it is written to path when loaded. */
typedef struct {
	GString *text;
	char *path;
} run_t;

/* Valid settings that the scripts start from. */
static const char control_settings[] = "[process]\nrole = control\n[keys]\ninsecure = yes\n"
				       "[control-replicas]\n1 = 10.0.0.1:7101\n2 = 10.0.0.2:7101\n"
				       "[control]\nid = 1\ndata-folder = /var/lib/caraway\n";

static const char proxy_settings[] =
	"[process]\nrole = proxy\n[keys]\ninsecure = yes\n"
	"[control-replicas]\n1 = 10.0.0.1:7101\n"
	"[proxy]\nvm = tabla-1\nzone = eger\nregion = eszak\nservice = tabla\nlisten = 10.0.1.1:8080\n"
	"call-listen = 10.0.1.1:0\nfeed-listen = 10.0.1.1:0\ntarget = 127.0.0.1:9000\n";

/* load: loads the settings; appends some of their values, or the error message without the file's folder. */
static void run_load(run_t *run, GString *out)
{
	settings_t *settings = NULL;
	cw_status_t status;

	g_file_set_contents(run->path, run->text->str, (gssize)run->text->len, NULL);
	status = settings_load(run->path, &settings);
	if (status != CW_OK) {
		const char *message = cw_last_error_message();
		const char *name = strstr(message, "settings.ini");
		g_string_append_printf(out, "%s: %s\n", cw_status_name(status), name ? name : message);
		return;
	}
	if (settings->role == ROLE_CONTROL)
		g_string_append_printf(out, "control %u of %u at %s, lease %u of %u\n", settings->control.id,
				       settings->control_replicas->len, settings->control.listen,
				       settings->control.leader_lease_ms, settings->control.election_ms);
	else
		g_string_append_printf(out, "proxy %s in %s, slots %u, connections %u, queue %u%s\n",
				       settings->proxy.vm, settings->proxy.zone, settings->proxy.slots,
				       settings->proxy.connections, settings->proxy.queue,
				       settings->proxy.cost_aware ? ", cost-aware" : "");
	settings_free(settings);
}

/*
 * Executes one script command: control and proxy start from valid settings of that role, line TEXT appends a
 * line, drop KEY removes the first line with KEY, set KEY VALUE replaces it, load loads the settings.
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "control")) {
		g_string_assign(run->text, control_settings);
	} else if (!strcmp(argv[0], "proxy")) {
		g_string_assign(run->text, proxy_settings);
	} else if (!strcmp(argv[0], "line") && argc == 2) {
		g_string_append_printf(run->text, "%s\n", argv[1]);
	} else if (!strcmp(argv[0], "drop") && argc == 2) {
		char *line_start = strstr(run->text->str, argv[1]);
		gssize length = (gssize)strcspn(line_start, "\n") + 1;
		g_string_erase(run->text, line_start - run->text->str, length);
	} else if (!strcmp(argv[0], "set") && argc == 3) {
		char *line = g_strdup_printf("%s = %s\n", argv[1], argv[2]);
		char *line_start = strstr(run->text->str, argv[1]);
		gssize position = line_start - run->text->str;
		g_string_erase(run->text, position, (gssize)strcspn(line_start, "\n") + 1);
		g_string_insert(run->text, position, line);
		g_free(line);
	} else if (!strcmp(argv[0], "load")) {
		run_load(run, out);
	} else {
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
	}
}

/* Runs every script of tests/settings on one file. */
START_TEST(test_scripts)
{
	GPtrArray *files = script_list("tests/settings");
	char *folder = g_dir_make_tmp("caraway-settings-XXXXXX", NULL);
	run_t run = {g_string_new(NULL), g_build_filename(folder, "settings.ini", NULL)};

	ck_assert_uint_gt(files->len, 0);
	for (guint i = 0; i < files->len; i++) {
		char *difference = script_run(files->pdata[i], run_command, &run);
		ck_assert_msg(!difference, "%s", difference);
	}
	g_remove(run.path);
	g_rmdir(folder);
	g_free(run.path);
	g_free(folder);
	g_string_free(run.text, TRUE);
	g_ptr_array_unref(files);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("settings");
	TCase *tcase = tcase_create("scripts");

	tcase_add_test(tcase, test_scripts);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
