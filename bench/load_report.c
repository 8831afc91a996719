/* Report of a load run: results of the calls, checked against the executions at the targets. */
#include <arpa/inet.h>
#include <errno.h>
#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "load.h"

enum { READ_BUFFER_BYTES = 16384 };

/* Queries a stand-in target for its number of executions by request id; returns NULL on failure. */
static json_t *read_executions(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const char *request = "GET /executions HTTP/1.0\r\n\r\n";
	GString *text = g_string_new(NULL);
	char buffer[READ_BUFFER_BYTES];
	json_t *executions = NULL;
	ssize_t length;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)) &&
	    send(fd, request, strlen(request), MSG_NOSIGNAL) > 0)
		while ((length = recv(fd, buffer, sizeof(buffer), 0)) > 0)
			g_string_append_len(text, buffer, length);
	close(fd);
	if (strstr(text->str, "\r\n\r\n"))
		executions = json_loads(strstr(text->str, "\r\n\r\n"), 0, NULL);
	if (!executions)
		fprintf(stderr, "load: cannot read the executions of the target at port %d: %s\n", port,
			strerror(errno));
	g_string_free(text, TRUE);
	return executions;
}

/* Adds the executions at one target to the counts by request id. */
static void add_executions(GHashTable *execution_counts, int port)
{
	json_t *executions = read_executions(port);
	const char *id;
	json_t *count;

	json_object_foreach (executions, id, count) {
		int previous = GPOINTER_TO_INT(g_hash_table_lookup(execution_counts, id));

		g_hash_table_insert(execution_counts, g_strdup(id),
				    GINT_TO_POINTER(previous + (int)json_integer_value(count)));
	}
	json_decref(executions);
}

/*
 * Adds to the report the measured calls that were answered but never executed,
 * executed more than once, or reported as not run although they were executed.
 */
static void add_execution_checks(const load_t *load, json_t *report)
{
	GHashTable *execution_counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int lost = 0, doubled = 0, false_not_run = 0;
	GHashTableIter iter;
	gpointer id, stored_result;

	for (int i = 0; i < load->options.target_port_count; i++)
		add_executions(execution_counts, load->options.target_ports[i]);
	g_hash_table_iter_init(&iter, load->results);
	while (g_hash_table_iter_next(&iter, &id, &stored_result)) {
		int count = GPOINTER_TO_INT(g_hash_table_lookup(execution_counts, id));
		result_t result = (result_t)(GPOINTER_TO_INT(stored_result) - 1);

		lost += count == 0 && result == RESULT_OK;
		doubled += count > 1;
		false_not_run += count > 0 && result == RESULT_NOT_RUN;
	}
	json_object_set_new(report, "lost", json_integer(lost));
	json_object_set_new(report, "doubled", json_integer(doubled));
	json_object_set_new(report, "false_not_run", json_integer(false_not_run));
	g_hash_table_destroy(execution_counts);
}

/* Prints the results of a run as one JSON line. */
void load_print_report(const load_t *load)
{
	static const char *const keys[RESULT_COUNT] = {"ok", "late", "not_run", "unknown", "error"};
	double *latencies = (double *)(void *)load->latencies_ms->data;
	size_t count = load->latencies_ms->len;
	json_t *report = json_object();
	unsigned calls = 0;
	char *text;

	gsl_sort(latencies, 1, count);
	json_object_set_new(report, "name", json_string(load->options.name));
	json_object_set_new(report, "rate", json_real(load->options.rate));
	for (int i = 0; i < RESULT_COUNT; i++) {
		json_object_set_new(report, keys[i], json_integer(load->result_counts[i]));
		calls += load->result_counts[i];
	}
	json_object_set_new(report, "unanswered",
			    json_integer(g_queue_get_length((GQueue *)&load->open_calls)));
	json_object_set_new(report, "goodput",
			    json_real(load->result_counts[RESULT_OK] / load->options.seconds));
	json_object_set_new(report, "attempts_per_call",
			    json_real(calls ? (double)load->attempt_count / calls : 0));
	if (count) {
		json_object_set_new(report, "p50_ms",
				    json_real(gsl_stats_quantile_from_sorted_data(latencies, 1, count, 0.5)));
		json_object_set_new(
			report, "p99_ms",
			json_real(gsl_stats_quantile_from_sorted_data(latencies, 1, count, 0.99)));
	}
	if (load->options.target_port_count)
		add_execution_checks(load, report);
	text = json_dumps(report, JSON_COMPACT | JSON_REAL_PRECISION(5));
	puts(text);
	free(text);
	json_decref(report);
}
