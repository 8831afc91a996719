/* A mesh of three proxies as separate processes. */
#include "mesh.h"

#include <check.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { POLL_INTERVAL_US = 10000, MAX_POLLS = 1500, ID_BYTES = 64, PATH_BYTES = 256 };

static const char *const proxy_names[MESH_PROXIES] = {"a", "b", "o"};
static const char *const proxy_zones[MESH_PROXIES] = {"near", "far", "near"};

/* Writes the view file: one service with a route for every path; its endpoints have the links' addresses. */
static void write_view(const mesh_t *mesh)
{
	GString *text = g_string_new("[view]\nversion=1\n[route all]\npath=/\nservice=s\n");
	g_autofree char *path = g_build_filename(mesh->folder, "view.ini", NULL);

	for (int i = MESH_A; i <= MESH_B; i++)
		g_string_append_printf(text,
				       "[endpoint %s]\nzone=%s\nservice=s\naddress=127.0.0.1:%d\n"
				       "incarnation=%u\nslots=12\n",
				       proxy_names[i], proxy_zones[i], mesh->link_ports[i],
				       mesh->incarnations[i]);
	ck_assert(g_file_set_contents(path, text->str, -1, NULL));
	g_string_free(text, TRUE);
}

void mesh_start_target(mesh_t *mesh, int target, const char *const *arguments)
{
	g_autofree char *port = g_strdup_printf("--port=%d", mesh->target_ports[target]);
	GPtrArray *list = g_ptr_array_new();
	g_autofree char *first_line = NULL;

	g_ptr_array_add(list, port);
	for (size_t i = 0; arguments[i]; i++)
		g_ptr_array_add(list, (char *)arguments[i]);
	g_ptr_array_add(list, NULL);
	process_start(&mesh->targets[target], "standin_target", (const char *const *)list->pdata);
	g_ptr_array_free(list, TRUE);
	first_line = process_read_line(&mesh->targets[target]);
	mesh->target_ports[target] = atoi(first_line);
}

void mesh_start_proxy(mesh_t *mesh, int proxy)
{
	g_autofree char *listen = g_strdup_printf("127.0.0.1:%d", mesh->http_ports[proxy]);
	g_autofree char *call_listen = g_strdup_printf("127.0.0.1:%d", mesh->call_ports[proxy]);
	g_autofree char *target =
		g_strdup_printf("127.0.0.1:%d", proxy == MESH_ORIGIN ? 1 : mesh->target_ports[proxy]);
	g_autofree char *incarnation = g_strdup_printf("%u", ++mesh->incarnations[proxy]);
	g_autofree char *view = g_build_filename(mesh->folder, "view.ini", NULL);
	const char *arguments[] = {"--vm",
				   proxy_names[proxy],
				   "--zone",
				   proxy_zones[proxy],
				   "--listen",
				   listen,
				   "--target",
				   target,
				   "--call-listen",
				   call_listen,
				   "--view",
				   view,
				   "--incarnation",
				   incarnation,
				   "--timeout-ms",
				   "5000",
				   NULL};
	g_autofree char *first_line = NULL;

	process_start(&mesh->proxies[proxy], "traffic_driver", arguments);
	first_line = process_read_line(&mesh->proxies[proxy]);
	ck_assert_int_eq(sscanf(first_line, "{\"http\":\"127.0.0.1:%d\",\"call\":\"127.0.0.1:%d\"",
				&mesh->http_ports[proxy], &mesh->call_ports[proxy]),
			 2);
	if (proxy != MESH_ORIGIN)
		write_view(mesh);
}

/* Starts the link in front of the call port of a proxy. */
static void start_link(mesh_t *mesh, int proxy)
{
	g_autofree char *to = g_strdup_printf("%d", mesh->call_ports[proxy]);
	const char *arguments[] = {"0", to, NULL};
	g_autofree char *first_line = NULL;

	process_start(&mesh->links[proxy], "standin_link", arguments);
	first_line = process_read_line(&mesh->links[proxy]);
	mesh->link_ports[proxy] = atoi(first_line);
}

void mesh_start(mesh_t *mesh, const char *const *target_arguments)
{
	memset(mesh, 0, sizeof(*mesh));
	mesh->folder = g_dir_make_tmp("mesh-XXXXXX", NULL);
	for (int i = MESH_A; i <= MESH_B; i++) {
		mesh->incarnations[i] = (unsigned)(i + 1) * 100;
		mesh_start_target(mesh, i, target_arguments);
		mesh_start_proxy(mesh, i);
		start_link(mesh, i);
	}
	mesh->incarnations[MESH_ORIGIN] = 1000;
	write_view(mesh);
	mesh_start_proxy(mesh, MESH_ORIGIN);
	mesh_wait_call_succeeds(mesh, MESH_A);
	mesh_wait_call_succeeds(mesh, MESH_B);
	mesh_wait_call_succeeds(mesh, MESH_ORIGIN);
}

void mesh_stop(mesh_t *mesh)
{
	g_autofree char *view = g_build_filename(mesh->folder, "view.ini", NULL);

	for (int i = 0; i < MESH_PROXIES; i++)
		process_kill(&mesh->proxies[i]);
	for (int i = MESH_A; i <= MESH_B; i++) {
		process_kill(&mesh->targets[i]);
		process_kill(&mesh->links[i]);
	}
	g_unlink(view);
	g_rmdir(mesh->folder);
	g_free(mesh->folder);
}

int mesh_executions_at(const mesh_t *mesh, int target, const char *id)
{
	char path[PATH_BYTES];
	caller_response_t response;

	snprintf(path, sizeof(path), "/executions/%s", id);
	caller_call(mesh->target_ports[target], "GET", path, "-", 1000, &response);
	ck_assert_int_eq(response.status, 200);
	return atoi(response.body);
}

int mesh_executions(const mesh_t *mesh, const char *id)
{
	return mesh_executions_at(mesh, MESH_A, id) + mesh_executions_at(mesh, MESH_B, id);
}

void mesh_wait_executed(const mesh_t *mesh, int target, const char *id)
{
	for (int i = 0; i < MAX_POLLS && !mesh_executions_at(mesh, target, id); i++)
		usleep(POLL_INTERVAL_US);
	ck_assert_int_gt(mesh_executions_at(mesh, target, id), 0);
}

void mesh_wait_call_succeeds(const mesh_t *mesh, int proxy)
{
	caller_response_t response = {0};
	char id[ID_BYTES];

	for (int i = 0; i < MAX_POLLS && response.status != 200; i++) {
		snprintf(id, sizeof(id), "wait-%d-%d", proxy, i);
		caller_call(mesh->http_ports[proxy], "GET", "/", id, 2000, &response);
		if (response.status != 200)
			usleep(POLL_INTERVAL_US);
	}
	ck_assert_int_eq(response.status, 200);
}

void mesh_wait_target_used(const mesh_t *mesh, int target)
{
	caller_response_t response;
	char id[ID_BYTES];

	for (int i = 0; i < MAX_POLLS; i++) {
		snprintf(id, sizeof(id), "used-%d-%d", target, i);
		caller_call(mesh->http_ports[target], "GET", "/", id, 2000, &response);
		if (mesh_executions_at(mesh, target, id))
			return;
		usleep(POLL_INTERVAL_US);
	}
	ck_abort_msg("no call to the proxy of target %d reached this target", target);
}

void mesh_change_target_setting(const mesh_t *mesh, int target, const char *setting)
{
	char path[PATH_BYTES];
	caller_response_t response;

	snprintf(path, sizeof(path), "/set?%s", setting);
	caller_call(mesh->target_ports[target], "GET", path, "-", 1000, &response);
	ck_assert_int_eq(response.status, 200);
}
