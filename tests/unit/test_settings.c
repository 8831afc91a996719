/* Scripted runs of the settings reader: tests/settings. */
#include <check.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <string.h>

#include "script.h"
#include "settings.h"

/* The file under test, kept as text until it is loaded. */
typedef struct {
	GString *text;
	char *path;
} run_t;

static const char control_base[] = "[process]\nrole = control\n[keys]\ninsecure = yes\n"
				   "[control-replicas]\n1 = 10.0.0.1:7101\n2 = 10.0.0.2:7101\n"
				   "[control]\nid = 1\ndata-folder = /var/lib/caraway\n";

static const char proxy_base[] =
	"[process]\nrole = proxy\n[keys]\ninsecure = yes\n"
	"[control-replicas]\n1 = 10.0.0.1:7101\n"
	"[proxy]\nvm = tabla-1\nzone = eger\nregion = eszak\nservice = tabla\nlisten = 10.0.1.1:8080\n"
	"call-listen = 10.0.1.1:0\nfeed-listen = 10.0.1.1:0\ntarget = 127.0.0.1:9000\n";

/* Prints what was read, or the failure without the folder of the file. */
static void load(run_t *run, GString *out)
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
		g_string_append_printf(out, "proxy %s in %s, slots %u, connections %u, queue %u\n",
				       settings->proxy.vm, settings->proxy.zone, settings->proxy.slots,
				       settings->proxy.connections, settings->proxy.queue);
	settings_free(settings);
}

/* Commands: control, proxy (start from a good file), line TEXT, drop KEY, set KEY VALUE, load. */
static void command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "control")) {
		g_string_assign(run->text, control_base);
	} else if (!strcmp(argv[0], "proxy")) {
		g_string_assign(run->text, proxy_base);
	} else if (!strcmp(argv[0], "line") && argc == 2) {
		g_string_append_printf(run->text, "%s\n", argv[1]);
	} else if (!strcmp(argv[0], "drop") && argc == 2) {
		char *start = strstr(run->text->str, argv[1]);
		gssize length = (gssize)strcspn(start, "\n") + 1;
		g_string_erase(run->text, start - run->text->str, length);
	} else if (!strcmp(argv[0], "set") && argc == 3) {
		char *line = g_strdup_printf("%s = %s\n", argv[1], argv[2]);
		char *start = strstr(run->text->str, argv[1]);
		gssize at = start - run->text->str;
		g_string_erase(run->text, at, (gssize)strcspn(start, "\n") + 1);
		g_string_insert(run->text, at, line);
		g_free(line);
	} else if (!strcmp(argv[0], "load")) {
		load(run, out);
	} else {
		g_string_append_printf(out, "unknown command %s\n", argv[0]);
	}
}

START_TEST(test_scripts)
{
	GPtrArray *files = script_list("tests/settings");
	char *folder = g_dir_make_tmp("caraway-settings-XXXXXX", NULL);
	run_t run = {g_string_new(NULL), g_build_filename(folder, "settings.ini", NULL)};

	ck_assert_uint_gt(files->len, 0);
	for (guint i = 0; i < files->len; i++) {
		char *difference = script_run(files->pdata[i], command, &run);
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

/* Runs every script of the folder. */
int main(void)
{
	Suite *suite = suite_create("settings");
	TCase *tcase = tcase_create("scripts");

	tcase_add_test(tcase, test_scripts);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
