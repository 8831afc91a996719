/* Builds contents and VMs from the arguments of a script command. */
#include "script_args.h"

#include <string.h>

/* Returns a copy of the i-th part, or of the empty string when there are fewer; owned by the caller. */
static char *dup_part(char **parts, guint i)
{
	return strdup(i < g_strv_length(parts) ? parts[i] : "");
}

/* Adds a service, or its removal, given as NAME. */
static void add_service(Caraway__Content *content, char **parts, bool removed)
{
	Caraway__Service *service = malloc(sizeof(*service));

	caraway__service__init(service);
	service->name = dup_part(parts, 0);
	service->removed = removed;
	content->services[content->n_services++] = service;
}

/* Adds a route, or its removal, given as NAME:PATH:SERVICE[:TARGET]. */
static void add_route(Caraway__Content *content, char **parts, bool removed)
{
	Caraway__Route *route = malloc(sizeof(*route));

	caraway__route__init(route);
	route->name = dup_part(parts, 0);
	route->removed = removed;
	route->path = dup_part(parts, 1);
	route->service = dup_part(parts, 2);
	route->target = dup_part(parts, 3);
	content->routes[content->n_routes++] = route;
}

/* Adds a target, or its removal, given as NAME:SERVICE:SELECTOR. */
static void add_target(Caraway__Content *content, char **parts, bool removed)
{
	Caraway__Target *target = malloc(sizeof(*target));

	caraway__target__init(target);
	target->name = dup_part(parts, 0);
	target->removed = removed;
	target->service = dup_part(parts, 1);
	target->selector = dup_part(parts, 2);
	content->targets[content->n_targets++] = target;
}

Caraway__Content *content_from_args(const char *selector, int argc, char **argv)
{
	Caraway__Content *content = malloc(sizeof(*content));

	caraway__content__init(content);
	content->title = strdup("test");
	content->selector = strdup(selector);
	content->services = cw_message_array(argc);
	content->routes = cw_message_array(argc);
	content->targets = cw_message_array(argc);
	for (int i = 0; i < argc; i++) {
		bool removed = *argv[i] == '-';
		const char *section = argv[i] + removed;
		char **parts = g_strsplit(strchr(section, '=') + 1, ":", 4);

		if (*section == 's')
			add_service(content, parts, removed);
		else if (*section == 'r')
			add_route(content, parts, removed);
		else
			add_target(content, parts, removed);
		g_strfreev(parts);
	}
	return content;
}

void vm_add_label(Caraway__Vm *vm, const char *key, const char *value)
{
	Caraway__Label *label = malloc(sizeof(*label));

	caraway__label__init(label);
	label->key = strdup(key);
	label->value = strdup(value);
	vm->labels[vm->n_labels++] = label;
}

Caraway__Vm *vm_from_args(const char *name, int argc, char **argv)
{
	Caraway__Vm *vm = malloc(sizeof(*vm));

	caraway__vm__init(vm);
	vm->name = strdup(name);
	vm->labels = cw_message_array((size_t)argc);
	for (int i = 0; i < argc; i++) {
		char **pair = g_strsplit(argv[i], "=", 2);

		if (!strcmp(pair[0], "zone"))
			vm->zone = strdup(pair[1]);
		else if (!strcmp(pair[0], "region"))
			vm->region = strdup(pair[1]);
		else if (!strcmp(pair[0], "service"))
			vm->service = strdup(pair[1]);
		else
			vm_add_label(vm, pair[0], pair[1]);
		g_strfreev(pair);
	}
	return vm;
}
