/* Callers that keep their connections open and judge each answer by its bytes. */
#include "callers.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "caller.h"

enum {
	ANSWER_GRACE_MS = 2000, /* beyond the budget, until a caller gives up */
	REUSE_PERCENT = 90,	/* calls that take the connection of the one before */
	TURN_PERCENT = 20,	/* calls that take the route of the newest change */
	UNSAFE_PERCENT = 50,	/* of the others */
	PERCENT = 100,
	MAX_PAUSE_MS = 30,
	PATH_BYTES = 48,
	READ_BYTES = 4096
};

/* One caller, a thread of its own. */
typedef struct {
	soak_load_t *load;
	GThread *thread;
	GRand *rand;
	int number;
	int proxy;
	int calls;
	int fd; /* -1: no connection is kept */
} caller_t;

struct callers {
	GPtrArray *all; /* caller_t * */
};

/* Opens a connection to the caller's proxy. */
static int open_connection(const caller_t *caller)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)caller->load->ports[caller->proxy]),
				      .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	const struct timeval wait = {.tv_sec = (SOAK_BUDGET_MS + ANSWER_GRACE_MS) / 1000};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &wait, sizeof(wait));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

/* Closes the connection that is kept. */
static void drop(caller_t *caller)
{
	if (caller->fd >= 0)
		close(caller->fd);
	caller->fd = -1;
}

/* Returns the length of the whole answer that begins the text; 0 while its head is not complete. */
static size_t answer_length(const GString *text)
{
	const char *body = strstr(text->str, "\r\n\r\n");
	const char *length = strcasestr(text->str, "\r\nContent-Length:");

	if (!body)
		return 0;
	body += strlen("\r\n\r\n");
	if (!length || length > body)
		return (size_t)(body - text->str);
	return (size_t)(body - text->str) + strtoul(length + strlen("\r\nContent-Length:"), NULL, 10);
}

/* Reads one answer; tells how it ended. */
static call_end_t read_answer(const caller_t *caller, GString *text)
{
	char buffer[READ_BYTES];

	for (;;) {
		size_t whole = answer_length(text);
		ssize_t count;

		if (whole && text->len >= whole)
			return CALL_ANSWERED;
		count = recv(caller->fd, buffer, sizeof(buffer), 0);
		if (count > 0)
			g_string_append_len(text, buffer, count);
		else if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
			return CALL_SILENT;
		else
			return text->len ? CALL_CUT : CALL_CLOSED;
	}
}

/* Notes what is wrong with a whole answer. */
static void judge_answer(call_record_t *record, const GString *text, const char *method, const char *path)
{
	g_autofree char *begin = g_strdup_printf("%s %s id=%s ", method, path, record->id);
	g_autofree char *end = g_strdup_printf(" body=%s\n", record->id);
	answer_t answer = {0};

	caller_parse(text, &answer);
	record->status = answer.status;
	record->own_answer = *answer.outcome;
	record->not_run = !strcmp(answer.outcome, "not-run");
	if (text->len > answer_length(text))
		g_strlcpy(record->fault, "bytes after the answer", sizeof(record->fault));
	else if (!answer.status)
		g_strlcpy(record->fault, "no status line", sizeof(record->fault));
	else if (answer.status == 200 && record->own_answer)
		g_strlcpy(record->fault, "a success of the system's own", sizeof(record->fault));
	else if (answer.status == 200 &&
		 (!g_str_has_prefix(answer.body, begin) || !g_str_has_suffix(answer.body, end)))
		g_snprintf(record->fault, sizeof(record->fault), "another body: %.60s", answer.body);
	else if (answer.status == 503 && !record->not_run)
		g_strlcpy(record->fault, "503 without the promise not to run", sizeof(record->fault));
}

/* Sends a call and reads its answer. */
static void carry_out(caller_t *caller, call_record_t *record, const char *method, const char *path)
{
	g_autofree char *request = g_strdup_printf(
		"%s %s HTTP/1.1\r\nHost: mesh\r\nX-Request-Id: %s\r\nCaraway-Deadline-Ms: %d\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		method, path, record->id, SOAK_BUDGET_MS, strlen(record->id), record->id);
	g_autoptr(GString) text = g_string_new(NULL);
	size_t length = strlen(request);

	record->end = CALL_UNSENT;
	if (caller->fd >= 0 && g_rand_int_range(caller->rand, 0, PERCENT) >= REUSE_PERCENT)
		drop(caller);
	if (caller->fd < 0)
		caller->fd = open_connection(caller);
	if (caller->fd >= 0 && send(caller->fd, request, length, MSG_NOSIGNAL) == (ssize_t)length)
		record->end = read_answer(caller, text);
	if (record->end == CALL_ANSWERED)
		judge_answer(record, text, method, path);
	if (record->end != CALL_ANSWERED || strcasestr(text->str, "\r\nConnection: close"))
		drop(caller);
}

/* Makes one call. */
static void call_once(caller_t *caller)
{
	soak_load_t *load = caller->load;
	call_record_t *record = g_new0(call_record_t, 1);
	int newest = atomic_load(&load->newest_turn);
	const char *method = "GET";
	char path[PATH_BYTES];

	g_snprintf(record->id, sizeof(record->id), "c%d-%d", caller->number, ++caller->calls);
	if (g_rand_int_range(caller->rand, 0, PERCENT) < TURN_PERCENT) {
		/* That of the change under way, the newest and the one before. */
		record->turn = MAX(newest + g_rand_int_range(caller->rand, -1, 2), 1);
		g_snprintf(path, sizeof(path), "/turn/%d/", record->turn);
	} else {
		g_snprintf(path, sizeof(path), "/s%d/x", g_rand_int_range(caller->rand, 0, SOAK_SERVICES));
		record->unsafe = g_rand_int_range(caller->rand, 0, PERCENT) < UNSAFE_PERCENT;
		method = record->unsafe ? "POST" : "GET";
	}
	record->proxy = caller->proxy;
	record->lifetime = atomic_load(&load->lifetimes[caller->proxy]);
	record->sent_ms = soak_now_ms();
	carry_out(caller, record, method, path);
	record->ended_ms = soak_now_ms();
	if (atomic_load(&load->lifetimes[caller->proxy]) != record->lifetime)
		record->lifetime = SOAK_NO_LIFETIME;
	record->reviewed_turn = atomic_load(&load->reviewed_turn);
	g_async_queue_push(load->records, record);
}

/* Calls until told to stop. */
static void *run_caller(void *data)
{
	caller_t *caller = data;

	while (!atomic_load(&caller->load->stop)) {
		call_once(caller);
		g_usleep((gulong)g_rand_int_range(caller->rand, 1, MAX_PAUSE_MS) * SOAK_US_PER_MS);
	}
	drop(caller);
	return NULL;
}

callers_t *callers_start(soak_load_t *load, int each, uint32_t seed)
{
	callers_t *callers = g_new0(callers_t, 1);

	callers->all = g_ptr_array_new();
	for (int i = 0; i < load->proxies * each; i++) {
		caller_t *caller = g_new0(caller_t, 1);

		caller->load = load;
		caller->number = i;
		caller->proxy = i % load->proxies;
		caller->rand = g_rand_new_with_seed(seed + (uint32_t)i);
		caller->fd = -1;
		caller->thread = g_thread_new("caller", run_caller, caller);
		g_ptr_array_add(callers->all, caller);
	}
	return callers;
}

void callers_stop(callers_t *callers)
{
	for (guint i = 0; i < callers->all->len; i++) {
		caller_t *caller = g_ptr_array_index(callers->all, i);

		g_thread_join(caller->thread);
		g_rand_free(caller->rand);
		g_free(caller);
	}
	g_ptr_array_free(callers->all, TRUE);
	g_free(callers);
}
