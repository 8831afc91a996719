/* Failures of control replicas and proxies as separate processes; runs the scripts of tests/control. */
#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "cluster.h"
#include "script.h"

enum {
	POLL_INTERVAL_US = 50000,
	MAX_POLLS = 400,
	RUNNING_CHECK_US = 1500000,
	MAX_UPLOADS = 64,
	ANSWER_BYTES = 65536,
	KB_PER_MB = 1024,
	TIMEOUT_S = 120
};

/* The run of a script. */
typedef struct {
	cluster_t *cluster;
	int last_leader; /* id of the replica that the last "await leader" found; 0: none */
} run_t;

/* Returns whether a condition is met. */
typedef bool (*condition_t)(run_t *run, const char *argument);

/* Runs carawayctl; appends its output without times, digests and the folder, which differ between runs. */
static int run_normalized_ctl(run_t *run, const char *const *arguments, GString *out)
{
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GRegex) time =
		g_regex_new("\\d{4}-\\d{2}-\\d{2}T[0-9:.]+Z|\\d+ ms, digest [0-9a-f]+", 0, 0, NULL);
	g_autoptr(GRegex) path = g_regex_new("/tmp/caraway-[^/]*/", 0, 0, NULL);
	g_autofree char *without_times = NULL;
	g_autofree char *normalized = NULL;
	int status = cluster_run_carawayctl(run->cluster, arguments, text);

	without_times = g_regex_replace_literal(time, text->str, -1, 0, "TIME", 0, NULL);
	normalized = g_regex_replace_literal(path, without_times, -1, 0, "", 0, NULL);
	g_string_append(out, normalized);
	return status;
}

/* Returns whether there is a leader; with the argument "other", one that differs from the last leader. */
static bool has_leader(run_t *run, const char *argument)
{
	int leader = cluster_leader(run->cluster);

	if (!leader || (!strcmp(argument, "other") && leader == run->last_leader))
		return false;
	run->last_leader = leader;
	return true;
}

/* Returns whether the output of "carawayctl status" contains a text. */
static bool status_contains(run_t *run, const char *text)
{
	const char *arguments[] = {"status", NULL};
	g_autoptr(GString) out = g_string_new(NULL);

	run_normalized_ctl(run, arguments, out);
	return strstr(out->str, text) != NULL;
}

/* Returns whether a change is in force, some proxies are selected and none of them is behind or silent. */
static bool change_in_force(run_t *run, const char *number)
{
	const char *show_arguments[] = {"show", number, NULL};
	const char *inforce_arguments[] = {"inforce", NULL};
	g_autoptr(GString) change = g_string_new(NULL);
	g_autoptr(GString) proxies = g_string_new(NULL);

	run_normalized_ctl(run, show_arguments, change);
	run_normalized_ctl(run, inforce_arguments, proxies);
	return strstr(change->str, "in force") && strstr(proxies->str, " 0 behind, 0 silent") &&
	       !strstr(proxies->str, "0 selected");
}

/* Returns whether the output of "carawayctl inforce" matches a regular expression. */
static bool listing_matches(run_t *run, const char *pattern)
{
	const char *arguments[] = {"inforce", NULL};
	g_autoptr(GString) out = g_string_new(NULL);

	run_normalized_ctl(run, arguments, out);
	return g_regex_match_simple(pattern, out->str, 0, 0);
}

/* Returns whether all replicas are reachable voters whose logs reach to the same index. */
static bool all_replicas_vote(run_t *run, const char *unused)
{
	const char *arguments[] = {"status", NULL};
	g_autoptr(GString) out = g_string_new(NULL);
	g_autoptr(GRegex) row = g_regex_new("^\\d +127\\S+ +yes +(\\d+) +yes", G_REGEX_MULTILINE, 0, NULL);
	g_autoptr(GMatchInfo) match = NULL;
	g_autofree char *first_index = NULL;
	int matching_rows = 0;

	(void)unused;
	run_normalized_ctl(run, arguments, out);
	for (g_regex_match(row, out->str, 0, &match); g_match_info_matches(match);
	     g_match_info_next(match, NULL)) {
		g_autofree char *index = g_match_info_fetch(match, 1);

		if (!first_index)
			first_index = g_strdup(index);
		matching_rows += !strcmp(first_index, index);
	}
	return matching_rows == CLUSTER_REPLICAS;
}

/* Returns whether a process has logged an event; the argument is PROCESS/EVENT. */
static bool has_logged(run_t *run, const char *argument)
{
	g_auto(GStrv) parts = g_strsplit(argument, "/", 2);

	return cluster_has_logged(run->cluster, parts[0], parts[1]);
}

/* Waits until a condition is met and prints "yes", or "no" at the timeout. */
static void wait_for(run_t *run, condition_t condition, const char *argument, GString *out)
{
	for (int i = 0; i < MAX_POLLS; i++) {
		if (condition(run, argument)) {
			g_string_append(out, "yes\n");
			return;
		}
		g_usleep(POLL_INTERVAL_US);
	}
	g_string_append(out, "no\n");
}

/* Runs "await CONDITION [ARGUMENT]". */
static void run_await(run_t *run, int argc, char **argv, GString *out)
{
	const char *argument = argc > 2 ? argv[2] : "";

	if (!strcmp(argv[1], "leader"))
		wait_for(run, has_leader, argument, out);
	else if (!strcmp(argv[1], "in-force"))
		wait_for(run, change_in_force, argument, out);
	else if (!strcmp(argv[1], "status"))
		wait_for(run, status_contains, argument, out);
	else if (!strcmp(argv[1], "shows"))
		wait_for(run, listing_matches, argument, out);
	else if (!strcmp(argv[1], "logged"))
		wait_for(run, has_logged, argument, out);
	else if (!strcmp(argv[1], "all-vote"))
		wait_for(run, all_replicas_vote, argument, out);
	else
		g_string_append(out, "unknown condition\n");
}

/*
 * Returns the names of the processes that a script selects: zone=ZONE, replicas,
 * leader (the last one found), followers, follower (the one after the leader) or the
 * name of a process.
 */
static GPtrArray *resolve_processes(run_t *run, const char *selection)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	int leader = run->last_leader;

	if (g_str_has_prefix(selection, "zone="))
		return cluster_proxies_in_zone(run->cluster, selection + strlen("zone="));
	for (int id = 1; id <= CLUSTER_REPLICAS; id++) {
		g_autofree char *name = g_strdup_printf("r%d", id);
		bool matches = !strcmp(selection, "replicas") ||
			       (!strcmp(selection, "leader") && id == leader) ||
			       (!strcmp(selection, "followers") && id != leader) ||
			       (!strcmp(selection, "follower") && id == leader % CLUSTER_REPLICAS + 1);

		if (matches)
			g_ptr_array_add(names, g_steal_pointer(&name));
	}
	if (!names->len)
		g_ptr_array_add(names, g_strdup(selection));
	return names;
}

/* Applies an action to a process; those for a running process have no effect on one that is not running. */
static void apply_action(run_t *run, const char *action, const char *name, GString *out)
{
	int status;

	if (!g_str_has_prefix(action, "start") && strcmp(action, "format") != 0 &&
	    !cluster_is_running(run->cluster, name) && strcmp(action, "lose-disk") != 0)
		return;
	if (!strcmp(action, "start")) {
		cluster_start(run->cluster, name);
	} else if (!strcmp(action, "start-full")) {
		cluster_start_with_full_disk(run->cluster, name);
	} else if (!strcmp(action, "running")) {
		g_usleep(RUNNING_CHECK_US);
		g_string_append(out, cluster_reap(run->cluster, name, &status) ? "ended\n" : "yes\n");
	} else if (!strcmp(action, "format")) {
		cluster_format_replica(run->cluster, name[1] - '0');
	} else if (!strcmp(action, "lose-disk")) {
		cluster_remove_data(run->cluster, name[1] - '0');
	} else if (!strcmp(action, "fill-disk")) {
		cluster_limit_file_size(run->cluster, name, 0);
	} else if (!strcmp(action, "free-disk")) {
		cluster_limit_file_size(run->cluster, name, -1);
	} else if (!strcmp(action, "freeze")) {
		cluster_signal(run->cluster, name, SIGSTOP);
	} else if (!strcmp(action, "thaw")) {
		cluster_signal(run->cluster, name, SIGCONT);
	} else if (!strcmp(action, "kill")) {
		cluster_signal(run->cluster, name, SIGKILL);
		cluster_wait(run->cluster, name);
	} else if (!strcmp(action, "stop")) {
		cluster_signal(run->cluster, name, SIGTERM);
		g_string_append_printf(out, "exit %d\n", cluster_wait(run->cluster, name));
	} else {
		g_string_append(out, "unknown action\n");
	}
}

/* A long request to a proxy. */
typedef struct {
	size_t bytes;
	pthread_t thread;
	int port;
	int status; /* of the answer; 0: none */
} upload_t;

/* Sends all bytes; false when the connection ends before. */
static bool send_all(int fd, const char *bytes, size_t length)
{
	while (length) {
		ssize_t sent = send(fd, bytes, length, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		length -= (size_t)sent;
	}
	return true;
}

/* Sends one long request and reads its answer, also one that comes before the request is sent. */
static void *run_upload(void *data)
{
	upload_t *upload = data;
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	g_autofree char *head = g_strdup_printf(
		"POST /tabla HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\nContent-Length: %zu\r\n\r\n",
		upload->bytes);
	g_autofree char *body = g_strnfill(upload->bytes, 'a');
	g_autofree char *answer = g_malloc0(ANSWER_BYTES + 1);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_port = htons((uint16_t)upload->port);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    send_all(fd, head, strlen(head)))
		send_all(fd, body, upload->bytes);
	if (recv(fd, answer, ANSWER_BYTES, 0) > (ssize_t)strlen("HTTP/1.1 "))
		upload->status = atoi(answer + strlen("HTTP/1.1 "));
	while (recv(fd, answer, ANSWER_BYTES, 0) > 0)
		;
	close(fd);
	return NULL;
}

/* "upload PROXY COUNT BYTES": sends long requests at once and prints whether each was answered with 200 or 503. */
static void run_uploads(const run_t *run, char **argv, GString *out)
{
	upload_t uploads[MAX_UPLOADS] = {0};
	int count = MIN(atoi(argv[2]), MAX_UPLOADS);
	int answered = 0, refused = 0;

	for (int i = 0; i < count; i++) {
		uploads[i].port = cluster_http_port(run->cluster, argv[1]);
		uploads[i].bytes = (size_t)atoll(argv[3]);
		pthread_create(&uploads[i].thread, NULL, run_upload, &uploads[i]);
	}
	for (int i = 0; i < count; i++) {
		pthread_join(uploads[i].thread, NULL);
		answered += uploads[i].status == 200;
		refused += uploads[i].status == 503;
	}
	if (answered && answered + refused == count)
		g_string_append(out, "yes\n");
	else
		g_string_append_printf(out, "%d of %d answered, %d refused\n", answered, count, refused);
}

/*
 * "peak PROXY MB": prints whether the process has never taken more memory.  The address sanitizer keeps freed
 * memory, so that the figure says nothing there.
 */
static void check_peak(const run_t *run, char **argv, GString *out)
{
	long peak_kb = cluster_peak_memory_kb(run->cluster, argv[1]);

#ifdef __SANITIZE_ADDRESS__
	peak_kb = 0;
#endif
	if (peak_kb <= atol(argv[2]) * KB_PER_MB)
		g_string_append(out, "within\n");
	else
		g_string_append_printf(out, "%ld kB\n", peak_kb);
}

/* Prints for each proxy whether its configuration version ever decreased. */
static void check_versions(run_t *run, GString *out)
{
	GPtrArray *names = cluster_proxies_in_zone(run->cluster, "*");

	for (guint i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);
		GArray *versions = cluster_logged_versions(run->cluster, name);
		bool monotonic = versions->len > 0;

		for (guint j = 1; j < versions->len; j++)
			monotonic = monotonic && g_array_index(versions, uint64_t, j) >=
							 g_array_index(versions, uint64_t, j - 1);
		g_string_append_printf(out, "%s %s\n", name, monotonic ? "forward" : "went back");
		g_array_free(versions, TRUE);
	}
	g_ptr_array_free(names, TRUE);
}

/* Runs "ctl OPERATOR|- ARGUMENT...", "-" for no operator; prints the output and any nonzero exit status. */
static void run_ctl(run_t *run, int argc, char **argv, GString *out)
{
	g_autofree const char **arguments = g_new0(const char *, (size_t)argc + 2);
	bool without_operator = !strcmp(argv[1], "-");
	int status;

	arguments[0] = "--operator";
	for (int i = 1; i < argc; i++)
		arguments[i] = argv[i];
	status = run_normalized_ctl(run, without_operator ? arguments + 2 : arguments, out);
	if (status)
		g_string_append_printf(out, "exit %d\n", status);
}

/*
 * Runs "refused OPERATOR|- ARGUMENT..." and prints "yes" if the command failed with
 * no-quorum or unknown-outcome; which of the two depends on the replica that
 * carawayctl contacts first.
 */
static void check_refused(run_t *run, int argc, char **argv, GString *out)
{
	g_autoptr(GString) text = g_string_new(NULL);
	bool refused;

	run_ctl(run, argc, argv, text);
	refused = g_regex_match_simple("^carawayctl: (no-quorum|unknown-outcome): ", text->str,
				       G_REGEX_MULTILINE, 0);
	g_string_append(out, refused ? "yes\n" : text->str);
}

/*
 * Executes one command of a script; those with a function of their own are described there.
 *   proxy NAME ZONE SERVICE  adds a proxy with a target and starts both
 *   get PROXY PATH           sends GET to a proxy and prints status, outcome and reason
 *   versions                 prints whether the configuration version of a proxy ever decreased
 *   sleep TENTHS             waits for so many tenths of a second
 *   ACTION PROCESSES         applies an action to each of the processes; see resolve_processes()
 */
static void run_command(void *data, int argc, char **argv, GString *out)
{
	run_t *run = data;

	if (!strcmp(argv[0], "ctl")) {
		run_ctl(run, argc, argv, out);
	} else if (!strcmp(argv[0], "refused")) {
		check_refused(run, argc, argv, out);
	} else if (!strcmp(argv[0], "await")) {
		run_await(run, argc, argv, out);
	} else if (!strcmp(argv[0], "proxy")) {
		cluster_add_proxy(run->cluster, argv[1], argv[2], argv[3]);
		cluster_start_proxy(run->cluster, argv[1]);
	} else if (!strcmp(argv[0], "get")) {
		g_autofree char *result = cluster_http_get(run->cluster, argv[1], argv[2]);

		g_string_append_printf(out, "%s\n", result);
	} else if (!strcmp(argv[0], "upload")) {
		run_uploads(run, argv, out);
	} else if (!strcmp(argv[0], "peak")) {
		check_peak(run, argv, out);
	} else if (!strcmp(argv[0], "versions")) {
		check_versions(run, out);
	} else if (!strcmp(argv[0], "sleep")) {
		g_usleep((gulong)atoi(argv[1]) * G_USEC_PER_SEC / 10);
	} else {
		GPtrArray *names = resolve_processes(run, argv[1]);

		for (guint i = 0; i < names->len; i++)
			apply_action(run, argv[0], g_ptr_array_index(names, i), out);
		g_ptr_array_free(names, TRUE);
	}
}

/* Runs the script with the index of the test on a new cluster. */
START_TEST(test_script)
{
	GPtrArray *files = script_list("tests/control");
	run_t run = {.cluster = cluster_new()};
	char *difference = script_run(g_ptr_array_index(files, _i), run_command, &run);

	cluster_free(run.cluster);
	ck_assert_msg(!difference, "%s", difference);
	g_ptr_array_free(files, TRUE);
}
END_TEST

/* Runs the test once per script; returns the exit status of the program. */
int main(void)
{
	return script_main("tests/control", test_script, TIMEOUT_S);
}
