/* A cluster of control replicas, proxies and targets as separate processes. */
#include "cluster.h"

#include "process.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum { PATH_BYTES = 512, RESPONSE_BYTES = 4096 };

/* The ports of a proxy; with links, other processes connect to the first LINKED_PORTS through a link. */
enum { CALL_PORT, FEED_PORT, HTTP_PORT, TARGET_PORT, PORTS_PER_PROXY, LINKED_PORTS = FEED_PORT + 1 };

/* A standin_link in front of a port of a process. */
typedef struct {
	char *process_name; /* the process that owns the port */
	process_t process;  /* the link itself */
} port_link_t;

typedef struct {
	char *name;
	char *zone;
	char *service;
	int ports[PORTS_PER_PROXY];	   /* listened on; that of the target too */
	int announced_ports[LINKED_PORTS]; /* that others connect to */
} proxy_t;

struct cluster {
	char *folder;
	bool keep_folder;
	char *build;			       /* folder of the programs */
	int replica_ports[CLUSTER_REPLICAS];   /* listened on */
	int announced_ports[CLUSTER_REPLICAS]; /* that others connect to */
	GPtrArray *proxies;		       /* proxy_t * */
	GPtrArray *links;		       /* port_link_t *; NULL: links are not used */
	GHashTable *processes;		       /* name -> pid, until reaped */
	GArray *reserved_sockets;	       /* int; bound sockets that reserve ports */
	char *proxy_settings;		       /* lines appended to the [proxy] section; NULL: none */
	char *preload;			       /* path of the library to preload; NULL: none */
	bool starts_with_full_disk;	       /* the process that is being started */
};

/*
 * Returns a free port of the loopback address.  The socket stays bound until the
 * cluster is freed, so that the kernel assigns the port to nobody else; the
 * process it is reserved for can still bind it, as both set SO_REUSEADDR.
 */
int cluster_reserve_port(cluster_t *cluster)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t length = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	g_assert_cmpint(fd, >=, 0);
	g_assert_cmpint(bind(fd, (struct sockaddr *)&address, sizeof(address)), ==, 0);
	g_assert_cmpint(getsockname(fd, (struct sockaddr *)&address, &length), ==, 0);
	g_assert_cmpint(setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)), ==, 0);
	g_array_append_val(cluster->reserved_sockets, fd);
	return ntohs(address.sin_port);
}

/* Returns the path of a file in the folder of the cluster. */
static char *cluster_path(const cluster_t *cluster, const char *name, const char *suffix)
{
	return g_strdup_printf("%s/%s%s", cluster->folder, name, suffix);
}

cluster_t *cluster_new(void)
{
	cluster_t *cluster = g_new0(cluster_t, 1);

	cluster->build = process_build_folder();
	cluster->folder = g_dir_make_tmp("caraway-XXXXXX", NULL);
	g_assert_nonnull(cluster->folder);
	cluster->reserved_sockets = g_array_new(FALSE, FALSE, sizeof(int));
	for (int i = 0; i < CLUSTER_REPLICAS; i++)
		cluster->replica_ports[i] = cluster->announced_ports[i] = cluster_reserve_port(cluster);
	cluster->proxies = g_ptr_array_new();
	cluster->processes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return cluster;
}

/* Starts a link in front of a port of a process; returns the port of the link, to announce instead. */
static int start_link(cluster_t *cluster, const char *process, int to_port)
{
	port_link_t *link = g_new0(port_link_t, 1);
	int port = cluster_reserve_port(cluster);
	g_autofree char *listen = g_strdup_printf("%d", port);
	g_autofree char *to = g_strdup_printf("%d", to_port);
	const char *arguments[] = {listen, to, NULL};
	g_autofree char *line = NULL;

	link->process_name = g_strdup(process);
	process_start(&link->process, "standin_link", arguments);
	line = process_read_line(&link->process);
	g_assert_cmpstr(line, ==, listen);
	g_ptr_array_add(cluster->links, link);
	return port;
}

/* Kills and frees a link. */
static void free_link(gpointer data)
{
	port_link_t *link = data;

	process_kill(&link->process);
	g_free(link->process_name);
	g_free(link);
}

void cluster_use_links(cluster_t *cluster)
{
	cluster->links = g_ptr_array_new_with_free_func(free_link);
	for (int i = 0; i < CLUSTER_REPLICAS; i++) {
		g_autofree char *name = g_strdup_printf("r%d", i + 1);

		cluster->announced_ports[i] = start_link(cluster, name, cluster->replica_ports[i]);
	}
}

void cluster_send_link_command(cluster_t *cluster, const char *process, const char *command)
{
	for (guint i = 0; i < cluster->links->len; i++) {
		port_link_t *link = g_ptr_array_index(cluster->links, i);

		if (!strcmp(link->process_name, process))
			process_send_command(&link->process, command);
	}
}

void cluster_preload(cluster_t *cluster, const char *library)
{
	cluster->preload = g_build_filename(cluster->build, library, NULL);
}

void cluster_write_fault_file(cluster_t *cluster, const char *process, const char *text)
{
	g_autofree char *path = cluster_path(cluster, process, ".misbehave");

	g_assert_true(g_file_set_contents(path, text, -1, NULL));
}

void cluster_set_proxy_settings(cluster_t *cluster, const char *lines)
{
	g_free(cluster->proxy_settings);
	cluster->proxy_settings = g_strdup(lines);
}

/* Removes a folder and its contents. */
static void remove_folder(const char *folder)
{
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		if (g_file_test(path, G_FILE_TEST_IS_DIR))
			remove_folder(path);
		else
			g_remove(path);
	}
	if (dir)
		g_dir_close(dir);
	g_rmdir(folder);
}

/* Frees a proxy_t; the process is not affected. */
static void proxy_free(gpointer data, gpointer unused)
{
	proxy_t *proxy = data;

	(void)unused;
	g_free(proxy->name);
	g_free(proxy->zone);
	g_free(proxy->service);
	g_free(proxy);
}

const char *cluster_folder(const cluster_t *cluster)
{
	return cluster->folder;
}

void cluster_keep_folder(cluster_t *cluster)
{
	cluster->keep_folder = true;
}

/* Prints the exit status of a process that exited with a failure, and the last line of its log. */
static void report_failure(const cluster_t *cluster, const char *name, int status)
{
	g_autofree char *path = cluster_path(cluster, name, ".log");
	g_autofree char *text = NULL;
	const char *last_line;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		text = g_strdup("no log file");
	g_strchomp(text);
	last_line = strrchr(text, '\n');
	fprintf(stderr, "%s exited with status %d: %s\n", name, status, last_line ? last_line + 1 : text);
}

void cluster_free(cluster_t *cluster)
{
	GHashTableIter iter;
	gpointer name;
	gpointer pid;

	g_hash_table_iter_init(&iter, cluster->processes);
	while (g_hash_table_iter_next(&iter, &name, &pid)) {
		int status = 0;

		kill(GPOINTER_TO_INT(pid), SIGKILL);
		waitpid(GPOINTER_TO_INT(pid), &status, 0);
		if (WIFEXITED(status) && WEXITSTATUS(status) != EXIT_SUCCESS)
			report_failure(cluster, name, WEXITSTATUS(status));
	}
	if (cluster->links)
		g_ptr_array_free(cluster->links, TRUE);
	g_free(cluster->preload);
	g_free(cluster->proxy_settings);
	for (guint i = 0; i < cluster->reserved_sockets->len; i++)
		close(g_array_index(cluster->reserved_sockets, int, i));
	g_array_free(cluster->reserved_sockets, TRUE);
	g_hash_table_destroy(cluster->processes);
	g_ptr_array_foreach(cluster->proxies, proxy_free, NULL);
	g_ptr_array_free(cluster->proxies, TRUE);
	if (!cluster->keep_folder)
		remove_folder(cluster->folder);
	g_free(cluster->folder);
	g_free(cluster->build);
	g_free(cluster);
}

/* Child setup: has the kernel kill the process when the test process ends, and limits its files if the disk is full. */
static void set_up_child(gpointer data)
{
	const cluster_t *cluster = data;
	const struct rlimit full = {.rlim_cur = 0, .rlim_max = RLIM_INFINITY};

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (cluster->starts_with_full_disk)
		setrlimit(RLIMIT_FSIZE, &full);
}

/* Returns the environment of a process; that of a daemon sets LD_PRELOAD and the library's fault file. */
static char **create_environment(const cluster_t *cluster, const char *name, const char *program)
{
	char **environment = g_get_environ();
	g_autofree char *fault_file = cluster_path(cluster, name, ".misbehave");

	if (!cluster->preload || strcmp(program, "carawayd") != 0)
		return environment;
	environment = g_environ_setenv(environment, "LD_PRELOAD", cluster->preload, TRUE);
	return g_environ_setenv(environment, "SOAK_MISBEHAVE", fault_file, TRUE);
}

/* Starts a program under a process name; its output is appended to the log file of that name. */
static void start_process(cluster_t *cluster, const char *name, const char *program,
			  const char *const *arguments)
{
	g_autofree char *path = g_build_filename(cluster->build, program, NULL);
	g_autofree char *log = cluster_path(cluster, name, ".log");
	g_autofree const char **argv = g_new0(const char *, g_strv_length((char **)arguments) + 2);
	g_auto(GStrv) environment = create_environment(cluster, name, program);
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	GPid pid = 0;

	g_assert_cmpint(fd, >=, 0);
	argv[0] = path;
	for (size_t i = 0; arguments[i]; i++)
		argv[i + 1] = arguments[i];
	g_assert_true(g_spawn_async_with_fds(NULL, (char **)argv, environment, G_SPAWN_DO_NOT_REAP_CHILD,
					     set_up_child, cluster, &pid, -1, fd, fd, NULL));
	close(fd);
	g_hash_table_replace(cluster->processes, g_strdup(name), GINT_TO_POINTER(pid));
}

/* Appends the settings common to all processes: the addresses of the replicas, and no encryption. */
static void append_replicas(const cluster_t *cluster, GString *text)
{
	g_string_append(text, "[keys]\ninsecure=yes\n[control-replicas]\n");
	for (int i = 0; i < CLUSTER_REPLICAS; i++)
		g_string_append_printf(text, "%d=127.0.0.1:%d\n", i + 1, cluster->announced_ports[i]);
}

/* Writes the settings file of a process, with the sections of its role, and returns its path. */
static char *write_settings_file(const cluster_t *cluster, const char *name, const char *role,
				 const char *sections)
{
	g_autoptr(GString) text = g_string_new(NULL);
	char *path = cluster_path(cluster, name, ".ini");

	g_string_append_printf(text, "[process]\nrole=%s\n", role);
	append_replicas(cluster, text);
	g_string_append(text, sections);
	g_assert_true(g_file_set_contents(path, text->str, -1, NULL));
	return path;
}

/* Writes the settings file of a replica and returns its path. */
static char *write_replica_settings(const cluster_t *cluster, int id, const char *name)
{
	g_autofree char *sections =
		g_strdup_printf("[control]\nid=%d\nlisten=127.0.0.1:%d\ndata-folder=%s/data%d\n"
				"snapshot-entries=8\nendpoint-lease-ms=6000\n",
				id, cluster->replica_ports[id - 1], cluster->folder, id);

	return write_settings_file(cluster, name, "control", sections);
}

void cluster_format_replica(cluster_t *cluster, int id)
{
	g_autofree char *name = g_strdup_printf("r%d", id);
	g_autofree char *settings = write_replica_settings(cluster, id, name);
	const char *arguments[] = {"--format", settings, NULL};

	start_process(cluster, name, "carawayd", arguments);
	g_assert_cmpint(cluster_wait(cluster, name), ==, 0);
}

void cluster_start_replica(cluster_t *cluster, int id)
{
	g_autofree char *name = g_strdup_printf("r%d", id);
	g_autofree char *settings = write_replica_settings(cluster, id, name);
	const char *arguments[] = {"--config", settings, NULL};

	start_process(cluster, name, "carawayd", arguments);
}

void cluster_remove_data(cluster_t *cluster, int id)
{
	g_autofree char *folder = g_strdup_printf("%s/data%d", cluster->folder, id);

	remove_folder(folder);
}

/* Appends the beginning of a log file's first record, or as many zeros, to the file, as a torn write. */
static void append_torn_record(const char *path, size_t length, bool zeros)
{
	g_autofree char *content = NULL;
	gsize bytes_read = 0;
	FILE *file;

	if (!g_file_get_contents(path, &content, &bytes_read, NULL))
		return;
	file = fopen(path, "ae");
	for (size_t i = 0; file && i < MIN(bytes_read, length); i++)
		fputc(zeros ? 0 : content[i], file);
	if (file)
		fclose(file);
}

void cluster_append_torn_record(cluster_t *cluster, int id, size_t length, bool zeros)
{
	g_autofree char *folder = g_strdup_printf("%s/data%d", cluster->folder, id);
	GDir *dir = g_dir_open(folder, 0, NULL);
	const char *name;

	while (dir && (name = g_dir_read_name(dir))) {
		g_autofree char *path = g_build_filename(folder, name, NULL);

		if (g_str_has_prefix(name, "log-"))
			append_torn_record(path, length, zeros);
	}
	if (dir)
		g_dir_close(dir);
}

/* Returns the proxy with the given name; aborts the test if there is none. */
static proxy_t *find_proxy(const cluster_t *cluster, const char *name)
{
	for (guint i = 0; i < cluster->proxies->len; i++) {
		proxy_t *proxy = g_ptr_array_index(cluster->proxies, i);

		if (!strcmp(proxy->name, name))
			return proxy;
	}
	g_error("there is no proxy named %s", name);
	return NULL;
}

void cluster_add_proxy(cluster_t *cluster, const char *name, const char *zone, const char *service)
{
	proxy_t *proxy = g_new0(proxy_t, 1);

	proxy->name = g_strdup(name);
	proxy->zone = g_strdup(zone);
	proxy->service = g_strdup(service);
	for (int i = 0; i < PORTS_PER_PROXY; i++)
		proxy->ports[i] = cluster_reserve_port(cluster);
	for (int i = 0; i < LINKED_PORTS; i++)
		proxy->announced_ports[i] =
			cluster->links ? start_link(cluster, name, proxy->ports[i]) : proxy->ports[i];
	g_ptr_array_add(cluster->proxies, proxy);
	cluster_start_target(cluster, name);
}

int cluster_http_port(const cluster_t *cluster, const char *proxy)
{
	return find_proxy(cluster, proxy)->ports[HTTP_PORT];
}

int cluster_target_port(const cluster_t *cluster, const char *proxy)
{
	return find_proxy(cluster, proxy)->ports[TARGET_PORT];
}

char *cluster_target_journal(const cluster_t *cluster, const char *proxy)
{
	return cluster_path(cluster, proxy, ".journal");
}

void cluster_start_target(cluster_t *cluster, const char *proxy)
{
	g_autofree char *target = g_strdup_printf("target-%s", proxy);
	g_autofree char *port = g_strdup_printf("%d", cluster_target_port(cluster, proxy));
	g_autofree char *journal = cluster_target_journal(cluster, proxy);
	const char *arguments[] = {"--port", port, "--journal", journal, NULL};

	start_process(cluster, target, "tests/tools/standin_target", arguments);
}

void cluster_start_proxy(cluster_t *cluster, const char *name)
{
	const proxy_t *proxy = find_proxy(cluster, name);
	g_autofree char *sections = g_strdup_printf(
		"[proxy]\nvm=%s\nzone=%s\nregion=eszak\nservice=%s\nlisten=127.0.0.1:%d\n"
		"call-listen=127.0.0.1:%d\nfeed-listen=127.0.0.1:%d\ntarget=127.0.0.1:%d\n"
		"call-announce=127.0.0.1:%d\nfeed-announce=127.0.0.1:%d\nreport-ms=1000\n%s",
		proxy->name, proxy->zone, proxy->service, proxy->ports[HTTP_PORT], proxy->ports[CALL_PORT],
		proxy->ports[FEED_PORT], proxy->ports[TARGET_PORT], proxy->announced_ports[CALL_PORT],
		proxy->announced_ports[FEED_PORT], cluster->proxy_settings ? cluster->proxy_settings : "");
	g_autofree char *settings = write_settings_file(cluster, name, "proxy", sections);
	const char *arguments[] = {"--config", settings, NULL};

	start_process(cluster, name, "carawayd", arguments);
}

void cluster_start(cluster_t *cluster, const char *process)
{
	if (process[0] == 'r' && g_ascii_isdigit(process[1]))
		cluster_start_replica(cluster, process[1] - '0');
	else if (g_str_has_prefix(process, "target-"))
		cluster_start_target(cluster, process + strlen("target-"));
	else
		cluster_start_proxy(cluster, process);
}

void cluster_start_with_full_disk(cluster_t *cluster, const char *process)
{
	cluster->starts_with_full_disk = true;
	cluster_start(cluster, process);
	cluster->starts_with_full_disk = false;
}

/* Returns the process id of a running process; aborts the test if it is not running. */
static GPid find_pid(const cluster_t *cluster, const char *name)
{
	gpointer pid = g_hash_table_lookup(cluster->processes, name);

	if (!pid)
		g_error("process %s is not running", name);
	return GPOINTER_TO_INT(pid);
}

void cluster_signal(cluster_t *cluster, const char *process, int signal_number)
{
	g_assert_cmpint(kill(find_pid(cluster, process), signal_number), ==, 0);
}

void cluster_limit_file_size(cluster_t *cluster, const char *process, long bytes)
{
	struct rlimit limit = {.rlim_cur = bytes < 0 ? RLIM_INFINITY : (rlim_t)bytes,
			       .rlim_max = RLIM_INFINITY};

	g_assert_cmpint(prlimit(find_pid(cluster, process), RLIMIT_FSIZE, &limit, NULL), ==, 0);
}

long cluster_peak_memory_kb(const cluster_t *cluster, const char *process)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/status", find_pid(cluster, process));
	g_autofree char *text = NULL;
	const char *peak;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	peak = strstr(text, "VmHWM:");
	return peak ? atol(peak + strlen("VmHWM:")) : 0;
}

int cluster_open_descriptors(const cluster_t *cluster, const char *process)
{
	g_autofree char *path = g_strdup_printf("/proc/%d/fd", find_pid(cluster, process));
	GDir *dir = g_dir_open(path, 0, NULL);
	int count = 0;

	g_assert_nonnull(dir);
	while (g_dir_read_name(dir))
		count++;
	g_dir_close(dir);
	return count;
}

int cluster_wait(cluster_t *cluster, const char *process)
{
	int status = 0;

	waitpid(find_pid(cluster, process), &status, 0);
	g_hash_table_remove(cluster->processes, process);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

bool cluster_reap(cluster_t *cluster, const char *process, int *status)
{
	int wait_status = 0;

	if (waitpid(find_pid(cluster, process), &wait_status, WNOHANG) <= 0)
		return false;
	g_hash_table_remove(cluster->processes, process);
	*status = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : -WTERMSIG(wait_status);
	return true;
}

bool cluster_is_running(const cluster_t *cluster, const char *process)
{
	return g_hash_table_contains(cluster->processes, process);
}

GPtrArray *cluster_proxies_in_zone(const cluster_t *cluster, const char *zone)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; i < cluster->proxies->len; i++) {
		const proxy_t *proxy = g_ptr_array_index(cluster->proxies, i);

		if (!strcmp(proxy->zone, zone) || !strcmp(zone, "*"))
			g_ptr_array_add(names, g_strdup(proxy->name));
	}
	return names;
}

int cluster_run_carawayctl(cluster_t *cluster, const char *const *arguments, GString *out)
{
	g_autofree char *path = g_build_filename(cluster->build, "carawayctl", NULL);
	g_autoptr(GString) text = g_string_new(NULL);
	g_autofree char *settings = cluster_path(cluster, "ctl", ".ini");
	g_autofree const char **argv = g_new0(const char *, g_strv_length((char **)arguments) + 4);
	g_autofree char *standard_output = NULL;
	g_autofree char *standard_error = NULL;
	int status = 0;

	append_replicas(cluster, text);
	g_assert_true(g_file_set_contents(settings, text->str, -1, NULL));
	argv[0] = path;
	argv[1] = "--config";
	argv[2] = settings;
	for (size_t i = 0; arguments[i]; i++)
		argv[i + 3] = arguments[i];
	g_assert_true(g_spawn_sync(NULL, (char **)argv, NULL, 0, NULL, NULL, &standard_output,
				   &standard_error, &status, NULL));
	g_string_append(out, standard_output);
	g_string_append(out, standard_error);
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

/* Returns the term of a replica that reports itself as leader, 0 if it does not or cannot be reached. */
static json_int_t leader_term(cluster_t *cluster, int id)
{
	g_autofree char *address = g_strdup_printf("127.0.0.1:%d", cluster->replica_ports[id - 1]);
	const char *arguments[] = {"--timeout=1", "--json", "--at", address, "status", NULL};
	g_autoptr(GString) out = g_string_new(NULL);
	json_int_t term = 0;
	json_t *report;
	json_t *root;

	if (cluster_run_carawayctl(cluster, arguments, out))
		return 0;
	root = json_loads(out->str, JSON_DISABLE_EOF_CHECK, NULL);
	report = json_object_get(root, "report");
	if (!g_strcmp0(json_string_value(json_object_get(report, "role")), "leader"))
		term = json_integer_value(json_object_get(report, "term"));
	json_decref(root);
	return term;
}

int cluster_leader(cluster_t *cluster)
{
	json_int_t newest = 0;
	int leader = 0;

	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		json_int_t term = leader_term(cluster, id);

		if (term <= newest)
			continue;
		newest = term;
		leader = id;
	}
	return leader;
}

/* Appends a space and the value of a header, nothing if the header is absent. */
static void append_header(const char *response, const char *name, GString *out)
{
	const char *header = strstr(response, name);
	const char *value = header ? header + strlen(name) : NULL;

	if (value)
		g_string_append_printf(out, " %.*s", (int)strcspn(value, "\r\n"), value);
}

char *cluster_http_get(cluster_t *cluster, const char *proxy, const char *path)
{
	return cluster_http_get_with(cluster, proxy, path, "");
}

char *cluster_http_get_with(cluster_t *cluster, const char *proxy, const char *path, const char *headers)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	g_autofree char *request = g_strdup_printf(
		"GET %s HTTP/1.1\r\nHost: mesh\r\n%sConnection: close\r\n\r\n", path, headers);
	char response[RESPONSE_BYTES] = "";
	GString *out = g_string_new(NULL);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	size_t bytes_read = 0;
	ssize_t count = 0;

	address.sin_port = htons((uint16_t)cluster_http_port(cluster, proxy));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    write(fd, request, strlen(request)) == (ssize_t)strlen(request))
		while (bytes_read < sizeof(response) - 1 &&
		       (count = read(fd, response + bytes_read, sizeof(response) - 1 - bytes_read)) > 0)
			bytes_read += (size_t)count;
	close(fd);
	g_string_append_printf(out, "%.3s", bytes_read > 12 ? response + 9 : "no answer");
	append_header(response, "Caraway-Outcome: ", out);
	append_header(response, "Caraway-Reason: ", out);
	return g_string_free(out, FALSE);
}

GArray *cluster_logged_versions(const cluster_t *cluster, const char *proxy)
{
	GArray *versions = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	g_autofree char *path = cluster_path(cluster, proxy, ".log");
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i]; i++) {
		json_t *entry = json_loads(lines[i], 0, NULL);

		if (!g_strcmp0(json_string_value(json_object_get(entry, "event")), "configuration")) {
			uint64_t version = (uint64_t)json_integer_value(json_object_get(entry, "version"));

			g_array_append_val(versions, version);
		}
		json_decref(entry);
	}
	return versions;
}

bool cluster_has_logged(const cluster_t *cluster, const char *process, const char *event)
{
	g_autofree char *path = cluster_path(cluster, process, ".log");
	g_autofree char *quoted = g_strdup_printf("\"event\":\"%s\"", event);
	g_autofree char *text = NULL;

	g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
	return strstr(text, quoted) != NULL;
}
