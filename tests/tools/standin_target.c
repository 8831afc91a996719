/*
 * HTTP server that stands in for a target in tests and benchmarks.  It limits
 * the calls that run at the same time to its slots, takes a service time for
 * each, and counts its executions by request id.
 *
 *   ANY /...            runs for the service time; the response echoes the request
 *   GET /health         always answers 200
 *   GET /executions     JSON: the number of executions of each X-Request-Id
 *   GET /executions/ID  the number of executions of one X-Request-Id
 *   GET /set?K=V        changes a setting
 *
 *   ANY /chain/N        runs, then calls /chain/N-1 (/leaf after /chain/0) through the
 *                       proxy at the port "next", and appends its response to its own
 *
 *   ANY .../bytes/N     runs; the response has N bytes
 *
 * SIGTERM drains: responses carry Caraway-Draining, the port closes after the
 * grace time, and the process exits when no connection is open, at most
 * another grace time later.
 */
#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	US_PER_MS = 1000,
	POLL_MS = 10,
	MAX_CONNECTIONS = 500,
	PERCENT = 100,
	HTTP_UNAVAILABLE = 503,
	HTTP_INTERNAL_ERROR = 500,
	MAX_CHAIN_RESPONSE_BYTES = 4096,
	OPTION_JOURNAL = 'j'
};

/* A setting, changed by a command-line option or by /set. */
typedef struct {
	const char *name;
	const char *help;
	_Atomic int value;
} setting_t;

typedef enum {
	PORT,
	SLOTS,
	SERVICE_MS,
	SHED_ABOVE,
	COLD_MS,
	COLD_FACTOR,
	FAIL_PERCENT,
	CUT_PERCENT,
	GRACE_MS,
	NEXT,
	NEXT_RETRIES,
	SETTING_COUNT
} setting_id_t;

static setting_t settings[SETTING_COUNT] = {
	[PORT] = {"port", "port to listen on; 0 takes a free one", 0},
	[SLOTS] = {"slots", "calls that run at the same time; further ones are queued", 12},
	[SERVICE_MS] = {"service-ms", "time that a call runs", 5},
	[SHED_ABOVE] =
		{"shed-above",
		 "running and queued calls from which on further ones are answered with 503; 0: no limit", 0},
	[COLD_MS] = {"cold-ms", "time from the first call during which calls are slow", 0},
	[COLD_FACTOR] = {"cold-factor", "factor on the service time while calls are slow", 10},
	[FAIL_PERCENT] = {"fail-percent", "percentage of calls answered with 500 without running", 0},
	[CUT_PERCENT] = {"cut-percent", "percentage of calls whose response is truncated", 0},
	[GRACE_MS] = {"grace-ms", "time from SIGTERM until the port closes", 1000},
	[NEXT] = {"next", "port of the proxy that /chain calls", 0},
	[NEXT_RETRIES] = {"next-retries", "retries of a failed call of /chain", 0},
};

static GHashTable *executions; /* count by request id */
static int journal_fd = -1;    /* file to which the id of each execution is appended */
/* Protects executions, the journal file and the numbers of calls. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t slot_free = PTHREAD_COND_INITIALIZER;
static int running_calls;	       /* calls that occupy a slot */
static int in_flight;		       /* running and queued calls */
static unsigned received_calls;	       /* number of all calls, to spread percentages evenly */
static int64_t first_call_ms;	       /* monotonic time of the first call; 0: none yet */
static volatile sig_atomic_t stopping; /* SIGTERM was received */

/* A request whose body is being received. */
typedef struct {
	GByteArray *body;
} request_t;

/* Returns the value of a setting. */
static int setting(setting_id_t id)
{
	return atomic_load(&settings[id].value);
}

/* Returns the monotonic time. */
static int64_t now_ms(void)
{
	return g_get_monotonic_time() / US_PER_MS;
}

/* Counts an execution of a request id and appends it to the journal file. */
static void count_execution(const char *id)
{
	gpointer count = g_hash_table_lookup(executions, id);

	if (journal_fd >= 0)
		dprintf(journal_fd, "%s\n", id);
	g_hash_table_insert(executions, g_strdup(id), GINT_TO_POINTER(GPOINTER_TO_INT(count) + 1));
}

/* Returns the service time of a call that starts now, longer during the cold start. */
static int service_ms(void)
{
	if (!first_call_ms)
		first_call_ms = now_ms();
	return setting(SERVICE_MS) * (now_ms() < first_call_ms + setting(COLD_MS) ? setting(COLD_FACTOR) : 1);
}

/* Returns whether the current call is among the given percentage of calls, spread evenly. */
static bool is_in_percentage(int percent)
{
	return (received_calls * (unsigned)percent) % PERCENT < (unsigned)percent;
}

/* Waits for a slot and runs a call, unless it is shed or fails by the settings; returns the HTTP status. */
static unsigned run_call(const char *id)
{
	int time_ms;

	pthread_mutex_lock(&lock);
	received_calls++;
	if (setting(SHED_ABOVE) && in_flight >= setting(SHED_ABOVE)) {
		pthread_mutex_unlock(&lock);
		return HTTP_UNAVAILABLE;
	}
	if (is_in_percentage(setting(FAIL_PERCENT))) {
		pthread_mutex_unlock(&lock);
		return HTTP_INTERNAL_ERROR;
	}
	in_flight++;
	while (running_calls >= setting(SLOTS))
		pthread_cond_wait(&slot_free, &lock);
	running_calls++;
	time_ms = service_ms();
	if (id)
		count_execution(id);
	pthread_mutex_unlock(&lock);
	usleep((useconds_t)time_ms * US_PER_MS);
	pthread_mutex_lock(&lock);
	running_calls--;
	in_flight--;
	pthread_cond_signal(&slot_free);
	pthread_mutex_unlock(&lock);
	return MHD_HTTP_OK;
}

/* Returns the value of a request header, "" when it is absent. */
static const char *find_header(struct MHD_Connection *connection, const char *name)
{
	const char *value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name);

	return value ? value : "";
}

/* Calls a path through the proxy at the port "next" with a request's headers; returns status and response. */
static unsigned call_next(struct MHD_Connection *connection, const char *path, char *text, size_t size)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)setting(NEXT))};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	char *request = g_strdup_printf(
		"GET %s HTTP/1.0\r\nX-Request-Id: %s\r\nCaraway-Deadline-Ms: %s\r\nCaraway-Depth: %s\r\n"
		"Caraway-Attempt: %s\r\n\r\n",
		path, find_header(connection, "X-Request-Id"), find_header(connection, "Caraway-Deadline-Ms"),
		find_header(connection, "Caraway-Depth"),
		*find_header(connection, "Caraway-Attempt") ? find_header(connection, "Caraway-Attempt")
							    : "0");
	size_t length = 0;
	unsigned status = 0;
	ssize_t count = 0;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		count = send(fd, request, strlen(request), MSG_NOSIGNAL);
	while (count > 0 && length < size - 1 && (count = recv(fd, text + length, size - 1 - length, 0)) > 0)
		length += (size_t)count;
	text[length] = '\0';
	close(fd);
	g_free(request);
	if (sscanf(text, "HTTP/1.%*d %u", &status) != 1)
		return HTTP_INTERNAL_ERROR;
	return status;
}

/* Queues a response with a body; takes ownership of the body. */
static enum MHD_Result answer(struct MHD_Connection *connection, unsigned status, char *text, size_t length)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(length, text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result;

	if (stopping) {
		MHD_add_response_header(response, "Caraway-Draining", "1");
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
	}
	result = MHD_queue_response(connection, status, response);
	MHD_destroy_response(response);
	return result;
}

/* Supplies half of a response body, then an error that makes the server close the connection. */
static ssize_t read_truncated(void *data, uint64_t position, char *buffer, size_t max)
{
	(void)data;
	if (position > 0)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	memset(buffer, 'x', MIN(max, 10));
	return (ssize_t)MIN(max, 10);
}

/* Queues a response whose body is truncated. */
static enum MHD_Result answer_truncated(struct MHD_Connection *connection)
{
	struct MHD_Response *response = MHD_create_response_from_callback(20, 20, read_truncated, NULL, NULL);
	enum MHD_Result result = MHD_queue_response(connection, MHD_HTTP_OK, response);

	MHD_destroy_response(response);
	return result;
}

/* Answers with the number of executions of every request id, as JSON. */
static enum MHD_Result answer_executions(struct MHD_Connection *connection)
{
	json_t *object = json_object();
	GHashTableIter iter;
	gpointer id, count;
	char *text;

	pthread_mutex_lock(&lock);
	g_hash_table_iter_init(&iter, executions);
	while (g_hash_table_iter_next(&iter, &id, &count))
		json_object_set_new(object, id, json_integer(GPOINTER_TO_INT(count)));
	pthread_mutex_unlock(&lock);
	text = json_dumps(object, JSON_SORT_KEYS);
	json_decref(object);
	return answer(connection, MHD_HTTP_OK, text, strlen(text));
}

/* Answers with the number of executions of one request id. */
static enum MHD_Result answer_execution_count(struct MHD_Connection *connection, const char *id)
{
	char *text;

	pthread_mutex_lock(&lock);
	text = g_strdup_printf("%d", GPOINTER_TO_INT(g_hash_table_lookup(executions, id)));
	pthread_mutex_unlock(&lock);
	return answer(connection, MHD_HTTP_OK, text, strlen(text));
}

/* Changes the setting that a query argument names; unknown names are ignored. */
static enum MHD_Result set_setting(void *data, enum MHD_ValueKind kind, const char *name, const char *value)
{
	(void)data;
	(void)kind;
	for (int i = 0; i < SETTING_COUNT; i++)
		if (value && !strcmp(settings[i].name, name))
			atomic_store(&settings[i].value, atoi(value));
	return MHD_YES;
}

/* Runs a call and answers with its method, path, request id, depth and body. */
static enum MHD_Result answer_call(struct MHD_Connection *connection, const char *url, const char *method,
				   const request_t *request)
{
	const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "X-Request-Id");
	const char *depth = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Caraway-Depth");
	unsigned status = run_call(id);
	char *text;

	if (status == MHD_HTTP_OK && is_in_percentage(setting(CUT_PERCENT)))
		return answer_truncated(connection);
	text = g_strdup_printf("%s %s id=%s depth=%s body=%.*s\n", method, url, id ? id : "",
			       depth ? depth : "", (int)request->body->len,
			       (const char *)request->body->data);
	return answer(connection, status, text, strlen(text));
}

/* Runs a call and answers with as many bytes as the end of its path says. */
static enum MHD_Result answer_bytes(struct MHD_Connection *connection, const char *number)
{
	size_t length = (size_t)g_ascii_strtoull(number, NULL, 10);
	unsigned status = run_call(find_header(connection, "X-Request-Id"));

	return answer(connection, status, g_strnfill(length, 'x'), length);
}

/* Runs one level of a chain of calls, then calls the next; the next response is appended to its own. */
static enum MHD_Result answer_chain(struct MHD_Connection *connection, const char *url)
{
	int levels_left = atoi(url + strlen("/chain/"));
	char *path = levels_left > 0 ? g_strdup_printf("/chain/%d", levels_left - 1) : g_strdup("/leaf");
	char next_response[MAX_CHAIN_RESPONSE_BYTES] = "";
	const char *body;
	unsigned status;
	char *text;

	run_call(find_header(connection, "X-Request-Id"));
	status = call_next(connection, path, next_response, sizeof(next_response));
	for (int i = 0; i < setting(NEXT_RETRIES) && status != MHD_HTTP_OK; i++)
		status = call_next(connection, path, next_response, sizeof(next_response));
	body = strstr(next_response, "\r\n\r\n");
	text = g_strdup_printf("depth=%s deadline=%s\n%s", find_header(connection, "Caraway-Depth"),
			       find_header(connection, "Caraway-Deadline-Ms"), body ? body + 4 : "");
	g_free(path);
	return answer(connection, status == MHD_HTTP_OK ? status : HTTP_INTERNAL_ERROR, text, strlen(text));
}

/* Receives a request in several invocations and answers it in the last one. */
static enum MHD_Result on_request(void *data, struct MHD_Connection *connection, const char *url,
				  const char *method, const char *version, const char *upload, size_t *length,
				  void **state)
{
	request_t *request = *state;
	const char *bytes;

	(void)data;
	(void)version;
	if (!request) {
		*state = request = g_new0(request_t, 1);
		request->body = g_byte_array_new();
		return MHD_YES;
	}
	if (*length) {
		g_byte_array_append(request->body, (const guint8 *)upload, (guint)*length);
		*length = 0;
		return MHD_YES;
	}
	if (!strcmp(url, "/executions"))
		return answer_executions(connection);
	if (g_str_has_prefix(url, "/executions/"))
		return answer_execution_count(connection, url + strlen("/executions/"));
	if (!strcmp(url, "/set"))
		MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, set_setting, NULL);
	if (!strcmp(url, "/set") || !strcmp(url, "/health"))
		return answer(connection, MHD_HTTP_OK, g_strdup("ok\n"), strlen("ok\n"));
	if (g_str_has_prefix(url, "/chain/"))
		return answer_chain(connection, url);
	if ((bytes = strstr(url, "/bytes/")))
		return answer_bytes(connection, bytes + strlen("/bytes/"));
	return answer_call(connection, url, method, request);
}

/* Frees a request. */
static void on_completed(void *data, struct MHD_Connection *connection, void **state,
			 enum MHD_RequestTerminationCode code)
{
	request_t *request = *state;

	(void)data;
	(void)connection;
	(void)code;
	if (!request)
		return;
	g_byte_array_free(request->body, TRUE);
	g_free(request);
	*state = NULL;
}

/* Requests a drain on SIGTERM. */
static void on_term(int number)
{
	(void)number;
	stopping = 1;
}

/* Parses one option; the key of a setting is its index plus 1. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	(void)state;
	if (key == OPTION_JOURNAL) {
		journal_fd = open(value, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
		return journal_fd < 0 ? errno : 0;
	}
	if (key < 1 || key > SETTING_COUNT)
		return ARGP_ERR_UNKNOWN;
	atomic_store(&settings[key - 1].value, atoi(value));
	return 0;
}

/* Parses the command line: one option for each setting, and --journal. */
static void parse_options(int argc, char **argv)
{
	struct argp_option options[SETTING_COUNT + 2] = {0};
	struct argp argp = {
		.options = options, .parser = parse_option, .doc = "HTTP server that stands in for a target"};

	for (int i = 0; i < SETTING_COUNT; i++)
		options[i] = (struct argp_option){
			.name = settings[i].name, .key = i + 1, .arg = "N", .doc = settings[i].help};
	options[SETTING_COUNT] = (struct argp_option){.name = "journal",
						      .key = OPTION_JOURNAL,
						      .arg = "FILE",
						      .doc = "append the id of each execution to a file"};
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
}

/*
 * Waits until from_ms, then until no call is in flight and no connection is
 * open, to_ms at most.  A keep-alive connection closes with its next response.
 */
static void wait_for_idle(struct MHD_Daemon *daemon, int64_t from_ms, int64_t to_ms)
{
	bool busy = true;

	while (now_ms() < from_ms || (busy && now_ms() < to_ms)) {
		usleep(POLL_MS * US_PER_MS);
		pthread_mutex_lock(&lock);
		busy = in_flight > 0 ||
		       MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections > 0;
		pthread_mutex_unlock(&lock);
	}
}

/* Waits for SIGTERM, serves for the grace time, closes the port and finishes the calls in flight. */
static void wait_and_drain(struct MHD_Daemon *daemon)
{
	int64_t until_ms;

	while (!stopping)
		usleep(POLL_MS * US_PER_MS);
	until_ms = now_ms() + setting(GRACE_MS);
	wait_for_idle(daemon, until_ms, until_ms);
	close(MHD_quiesce_daemon(daemon));
	wait_for_idle(daemon, until_ms, until_ms + setting(GRACE_MS));
	MHD_stop_daemon(daemon);
}

/* Prints the port that it listens on, serves until SIGTERM and drains. */
int main(int argc, char **argv)
{
	struct sigaction action = {.sa_handler = on_term};
	const union MHD_DaemonInfo *info;
	struct MHD_Daemon *daemon;

	parse_options(argc, argv);
	sigaction(SIGTERM, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
	executions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	daemon = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_ITC,
		(uint16_t)setting(PORT), NULL, NULL, on_request, NULL, MHD_OPTION_CONNECTION_LIMIT,
		MAX_CONNECTIONS, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, MHD_OPTION_NOTIFY_COMPLETED,
		on_completed, NULL, MHD_OPTION_END);
	if (!daemon) {
		fprintf(stderr, "standin_target: cannot start the HTTP server; is its port in use?\n");
		return EXIT_FAILURE;
	}
	info = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
	printf("%u\n", (unsigned)info->port);
	fflush(stdout);
	wait_and_drain(daemon);
	return EXIT_SUCCESS;
}
