/* Tests of the catalog by scripts (layers, resolution, checks, saving and loading) and of its copies. */
#include <check.h>
#include <string.h>

#include "script.h"
#include "script_args.h"

/* Prints the configuration that the catalog resolves for a VM. */
static void print_config(const cw_catalog_t *catalog, const Caraway__Vm *vm, GString *out)
{
	cw_config_t *config = cw_catalog_resolve(catalog, vm);

	g_string_append_printf(out, "version %" G_GUINT64_FORMAT "\n", config->version);
	for (size_t i = 0; i < config->services->len; i++)
		g_string_append_printf(out, "service %s\n",
				       ((Caraway__Service *)config->services->pdata[i])->name);
	for (size_t i = 0; i < config->routes->len; i++) {
		const Caraway__Route *route = config->routes->pdata[i];

		g_string_append_printf(out, "route %s %s %s%s%s\n", route->name, route->path, route->service,
				       *route->target ? " " : "", route->target);
	}
	for (size_t i = 0; i < config->targets->len; i++) {
		const Caraway__Target *target = config->targets->pdata[i];

		g_string_append_printf(out, "target %s %s \"%s\"\n", target->name, target->service,
				       target->selector);
	}
	cw_config_free(config);
}

/* Prints "ok", or the name of an error status with its message. */
static void print_status(cw_status_t status, GString *out)
{
	if (status)
		g_string_append_printf(out, "%s: %s\n", cw_status_name(status), cw_last_error_message());
	else
		g_string_append(out, "ok\n");
}

/* apply SELECTOR [ARGUMENT...]: applies a content; prints the checks of its names and of the whole catalog */
static void run_apply(cw_catalog_t *catalog, int argc, char **argv, GString *out)
{
	uint64_t version = cw_catalog_version(catalog) + 1;
	Caraway__Content *content = content_from_args(argv[1], argc - 2, argv + 2);

	cw_catalog_apply(catalog, content, version, version);
	print_status(cw_catalog_check_content(catalog, content), out);
	print_status(cw_catalog_check(catalog), out);
	cw_message_free(content);
}

/* reload: replaces the catalog with one loaded from its saved form; prints the number of layers */
static void run_reload(cw_catalog_t **catalog, GString *out)
{
	Caraway__Catalog *saved = cw_catalog_save(*catalog);
	cw_catalog_t *loaded;

	print_status(cw_catalog_load(saved, &loaded), out);
	g_string_append_printf(out, "layers %zu\n", saved->n_layers);
	cw_message_free(saved);
	cw_catalog_free(*catalog);
	*catalog = loaded;
}

/* Executes one command of a script. */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	cw_catalog_t **catalog = data;
	Caraway__Vm *vm;

	if (!strcmp(argv[0], "apply")) {
		run_apply(*catalog, argc, argv, out);
	} else if (!strcmp(argv[0], "reload")) {
		run_reload(catalog, out);
	} else if (!strcmp(argv[0], "resolve")) {
		print_config(*catalog, cw_catalog_vm(*catalog, argv[1]), out);
	} else if (!strcmp(argv[0], "vm")) {
		vm = vm_from_args(argv[1], argc - 2, argv + 2);
		print_status(cw_catalog_check_vm(*catalog, vm), out);
		cw_catalog_set_vm(*catalog, vm, cw_catalog_version(*catalog));
		cw_message_free(vm);
	} else {
		g_string_append(out, "unknown command\n");
	}
}

/* Runs every script, each with a new catalog. */
START_TEST(test_script)
{
	GPtrArray *scripts = script_list("tests/catalog");

	for (size_t i = 0; i < scripts->len; i++) {
		cw_catalog_t *catalog = cw_catalog_new();
		char *difference = script_run(scripts->pdata[i], run_command, &catalog);

		ck_assert_msg(!difference, "%s", difference);
		cw_catalog_free(catalog);
	}
	ck_assert_uint_gt(scripts->len, 0);
	g_ptr_array_unref(scripts);
}
END_TEST

/* Changing or freeing a catalog affects neither a resolved configuration nor a copy of the catalog. */
START_TEST(test_copy)
{
	char *additions[] = {"service=a", "route=r:/:a"};
	char *removals[] = {"-route=r", "-service=a"};
	Caraway__Content *first = content_from_args("", 2, additions);
	Caraway__Content *second = content_from_args("", 2, removals);
	Caraway__Vm *vm = vm_from_args("v1", 0, NULL);
	cw_catalog_t *catalog = cw_catalog_new();
	cw_catalog_t *copy;
	cw_config_t *before;
	cw_config_t *after;

	cw_catalog_set_vm(catalog, vm, 0);
	cw_catalog_apply(catalog, first, 1, 1);
	copy = cw_catalog_copy(catalog);
	before = cw_catalog_resolve(catalog, vm);
	cw_catalog_apply(catalog, second, 2, 2);
	cw_catalog_free(catalog);
	ck_assert_uint_eq(before->routes->len, 1);
	ck_assert_str_eq(((Caraway__Route *)before->routes->pdata[0])->service, "a");
	after = cw_catalog_resolve(copy, vm);
	ck_assert_uint_eq(after->version, 1);
	ck_assert_uint_eq(after->services->len, 1);
	cw_config_free(before);
	cw_config_free(after);
	cw_catalog_free(copy);
	cw_message_free(vm);
	cw_message_free(first);
	cw_message_free(second);
}
END_TEST

/* Returns the saved form of a catalog with one service, route, target and VM; owned by the caller. */
static Caraway__Catalog *make_saved_catalog(void)
{
	char *additions[] = {"service=a", "route=r:/:a", "target=t:a:x"};
	Caraway__Content *content = content_from_args("zone=eger", 3, additions);
	Caraway__Vm *vm = vm_from_args("v1", 0, NULL);
	cw_catalog_t *catalog = cw_catalog_new();
	Caraway__Catalog *saved;

	cw_catalog_set_vm(catalog, vm, 0);
	cw_catalog_apply(catalog, content, 1, 1);
	saved = cw_catalog_save(catalog);
	cw_catalog_free(catalog);
	cw_message_free(vm);
	cw_message_free(content);
	return saved;
}

/* Writes an invalid value into one field of a saved catalog. */
static void corrupt_field(Caraway__Catalog *saved, int field)
{
	switch (field) {
	case 0:
		saved->layers[0]->routes[0]->route->path[0] = 'x';
		break;
	case 1:
		saved->layers[0]->services[0]->version = 2;
		break;
	case 2:
		saved->layers[0]->targets[0]->target->selector[0] = ',';
		break;
	case 3:
		saved->layers[0]->selector[0] = '=';
		break;
	case 4:
		saved->vms[0]->name[0] = ' ';
		break;
	default:
		saved->layers[0]->services[0]->service->name[0] = '\0';
	}
}

/* Loading a saved catalog fails if any one field is invalid. */
START_TEST(test_load_rejects_corrupt_field)
{
	Caraway__Catalog *saved = make_saved_catalog();
	cw_catalog_t *catalog;

	corrupt_field(saved, _i);
	ck_assert_int_eq(cw_catalog_load(saved, &catalog), CW_ERR_DECODE);
	ck_assert_ptr_null(catalog);
	cw_message_free(saved);
}
END_TEST

/* Runs the tests; returns the exit status of the program. */
int main(void)
{
	Suite *suite = suite_create("catalog");
	TCase *tcase = tcase_create("catalog");

	tcase_add_test(tcase, test_script);
	tcase_add_test(tcase, test_copy);
	tcase_add_loop_test(tcase, test_load_rejects_corrupt_field, 0, 6);
	suite_add_tcase(suite, tcase);
	return script_run_suite(suite);
}
