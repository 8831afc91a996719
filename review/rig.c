/* Starts a small mesh of the project's programs on loopback, with stand-ins for platform, targets and clients. */
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum { MAX_PROCESSES = 64, BEAT_MS = 1500, START_TIMEOUT_MS = 30000 };

#define PROGRAM "target/carawayd"

static char folder[] = "/tmp/caraway-review-XXXXXX";
static int network[2];
static pid_t processes[MAX_PROCESSES];
static int process_count;
static FILE *record;
static int64_t start_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t rig_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void rig_sleep_ms(int ms)
{
	usleep((useconds_t)ms * 1000);
}

void rig_record(const char *format, ...)
{
	va_list arguments;

	pthread_mutex_lock(&record_lock);
	if (!record) {
		pthread_mutex_unlock(&record_lock);
		return;
	}
	fprintf(record, "%8.3f  ", (double)(rig_now_ms() - start_ms) / 1000);
	va_start(arguments, format);
	vfprintf(record, format, arguments);
	va_end(arguments);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

bool rig_trouble(void)
{
	const char *value = getenv("TROUBLE");

	return !value || strcmp(value, "0") != 0;
}

/* Kills the processes that still run. */
static void kill_all(void)
{
	for (int i = 0; i < process_count; i++)
		if (processes[i] > 0) {
			kill(processes[i], SIGKILL);
			kill(processes[i], SIGCONT);
			waitpid(processes[i], NULL, 0);
		}
	process_count = 0;
}

void rig_exit(int status)
{
	char command[256];

	rig_record("result: %s", status == RIG_HELD ? "held" : status == RIG_BROKEN ? "broken" : "not run");
	pthread_mutex_lock(&record_lock);
	fclose(record);
	record = NULL;
	pthread_mutex_unlock(&record_lock);
	kill_all();
	if (!getenv("KEEP")) {
		snprintf(command, sizeof(command), "rm -rf '%s'", folder);
		if (system(command))
			fprintf(stderr, "cannot remove %s\n", folder);
	}
	_exit(status);
}

static void on_signal(int number)
{
	(void)number;
	kill_all();
	_exit(RIG_NOT_RUN);
}

const char *rig_address(int host, int port)
{
	static __thread char text[8][32];
	static __thread int next;
	char *address = text[next++ % 8];

	snprintf(address, sizeof(text[0]), "127.%d.%d.%d:%d", network[0], network[1], host, port);
	return address;
}

static struct sockaddr_in socket_address(int host, int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};

	address.sin_addr.s_addr =
		htonl(127u << 24 | (uint32_t)network[0] << 16 | (uint32_t)network[1] << 8 | (uint32_t)host);
	return address;
}

void rig_init(void)
{
	int pid = getpid();

	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	start_ms = rig_now_ms();
	record = fopen(getenv("RECORD") ? getenv("RECORD") : "record.txt", "w");
	if (!record || !mkdtemp(folder))
		_exit(RIG_NOT_RUN);
	network[0] = 1 + pid / 200 % 200;
	network[1] = 1 + pid % 200;
	rig_record("trouble: %s", rig_trouble() ? "yes" : "no");
	if (access(PROGRAM, X_OK)) {
		rig_record("%s is missing", PROGRAM);
		rig_exit(RIG_NOT_RUN);
	}
}

/* Starts the daemon with a settings file and returns its pid. */
static pid_t start_daemon(const char *name, const char *settings)
{
	char path[128], log[128];
	pid_t parent = getpid();
	pid_t pid;
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s.ini", folder, name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, name);
	file = fopen(path, "w");
	if (!file)
		rig_exit(RIG_NOT_RUN);
	fputs(settings, file);
	fclose(file);
	pid = fork();
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(1);
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
		execl(PROGRAM, PROGRAM, "--config", path, (char *)NULL);
		_exit(1);
	}
	if (pid < 0 || process_count >= MAX_PROCESSES) {
		rig_record("cannot start %s: %s", name, strerror(errno));
		rig_exit(RIG_NOT_RUN);
	}
	processes[process_count++] = pid;
	rig_record("%s started", name);
	return pid;
}

/* Writes the settings that both roles share. */
static int common_settings(char *text, size_t size, const char *role, int host)
{
	return snprintf(text, size,
			"[process]\nrole = %s\nlog-level = info\nmetrics-listen = %s\n\n[control-replicas]\n"
			"seeds = %s,%s,%s\nseed-port = %d\n\n",
			role, rig_address(host, PORT_METRICS), rig_address(1, PORT_CONTROL),
			rig_address(2, PORT_CONTROL), rig_address(3, PORT_CONTROL), PORT_FEED);
}

void rig_start_control(void)
{
	for (int host = 1; host <= RIG_REPLICAS; host++) {
		char text[2048], name[32];
		int length = common_settings(text, sizeof(text), "control", host);

		snprintf(name, sizeof(name), "control-%d", host);
		snprintf(
			text + length, sizeof(text) - (size_t)length,
			"[control]\nlisten = %s\ndata-folder = %s/data-%d\nbootstrap = true\nlosses = 1\n"
			"heartbeat-ms = 100\nelection-ms = 600\nleader-lease-ms = 250\nsnapshot-entries = 64\n"
			"children = 256\nzone-heads = 64\noperator-listen = %s\n\n[keys]\ninsecure = yes\n",
			rig_address(host, PORT_FEED), folder, host, rig_address(host, PORT_CONTROL));
		start_daemon(name, text);
	}
}

pid_t rig_start_proxy(int host, const char *service, const char *zone)
{
	char text[4096], name[32];
	int length = common_settings(text, sizeof(text), "proxy", host);

	snprintf(name, sizeof(name), "sidecar-%d", host);
	snprintf(
		text + length, sizeof(text) - (size_t)length,
		"[proxy]\nvm = %s\nzone = %s\nregion = r1\nservice = %s\ntarget = %s\nlisten = %s\n"
		"call-listen = %s\nfeed-listen = %s\ntarget-listen = %s\nready-listen = %s\nzone-heads = 64\n"
		"queue = 64\nconnections = 1024\nfreshness-ms = 2000\nhold-ms = 700\nreport-ms = 1500\n"
		"grace-s = 6\n\n[headers]\ndeadline = X-Deadline-Ms\nrequest-id = X-Request-Id\n"
		"caller-service = X-Caller-Service\nexpected-target = X-Expect-Instance\n"
		"not-executed = X-Not-Executed\ntarget-id = X-Instance-Id\n\n[keys]\ninsecure = yes\n",
		name, zone, service, rig_address(host, PORT_TARGET), rig_address(host, PORT_OUTBOUND),
		rig_address(host, PORT_INBOUND), rig_address(host, PORT_FEED),
		rig_address(host, PORT_CONTROL), rig_address(host, PORT_READY));
	return start_daemon(name, text);
}

void rig_signal(pid_t pid, int number)
{
	kill(pid, number);
}

int rig_wait(pid_t pid, int timeout_ms)
{
	int64_t end_ms = rig_now_ms() + timeout_ms;
	int status;

	while (rig_now_ms() < end_ms) {
		if (waitpid(pid, &status, WNOHANG) == pid) {
			for (int i = 0; i < process_count; i++)
				if (processes[i] == pid)
					processes[i] = 0;
			return status;
		}
		rig_sleep_ms(2);
	}
	return -1;
}

int rig_connect(int host, int port, int receive_buffer, int timeout_ms)
{
	struct sockaddr_in address = socket_address(host, port);
	struct timeval timeout = {timeout_ms / 1000, timeout_ms % 1000 * 1000};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (receive_buffer)
		setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	return fd;
}

bool rig_send(int fd, const void *data, size_t length)
{
	const char *next = data;

	while (length) {
		ssize_t sent = send(fd, next, length, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		next += sent;
		length -= (size_t)sent;
	}
	return true;
}

bool rig_header(const message_t *message, const char *name, char *value, size_t size)
{
	size_t length = strlen(name);

	for (const char *line = strstr(message->head, "\r\n"); line && line[2];
	     line = strstr(line + 2, "\r\n")) {
		if (strncasecmp(line + 2, name, length) != 0 || line[2 + length] != ':')
			continue;
		line += 2 + length + 1;
		line += strspn(line, " ");
		length = strcspn(line, "\r");
		if (length >= size)
			length = size - 1;
		memcpy(value, line, length);
		value[length] = '\0';
		return true;
	}
	return false;
}

void rig_message_clear(message_t *message)
{
	free(message->body);
	message->body = NULL;
}

/* Reads the head; bytes after it go to the body.  False when the connection ends before. */
static bool read_head(int fd, message_t *message, bool is_response)
{
	char text[32];
	size_t used = 0;
	char *end = NULL;

	*message = (message_t){.length = -1};
	while (!end) {
		ssize_t length = used < sizeof(message->head) - 1 ? recv(fd, message->head + used, 1, 0) : -1;

		if (length <= 0)
			return false;
		used += (size_t)length;
		message->head[used] = '\0';
		if (used >= 4)
			end = strcmp(message->head + used - 4, "\r\n\r\n") ? NULL : message->head;
	}
	if (is_response)
		message->status = atoi(message->head + strlen("HTTP/1.1 "));
	else
		sscanf(message->head, "%15s %511s", message->method, message->path);
	if (rig_header(message, "Content-Length", text, sizeof(text)))
		message->length = atol(text);
	else if (!is_response)
		message->length = 0;
	return true;
}

bool rig_read(int fd, message_t *message, bool with_body, bool is_response)
{
	enum { CHUNK_BYTES = 65536 };

	if (!read_head(fd, message, is_response))
		return false;
	while (with_body && (message->length < 0 || message->body_length < (size_t)message->length)) {
		size_t wanted = CHUNK_BYTES;
		ssize_t length;

		if (message->length >= 0 && wanted > (size_t)message->length - message->body_length)
			wanted = (size_t)message->length - message->body_length;
		message->body = realloc(message->body, message->body_length + wanted);
		length = recv(fd, message->body + message->body_length, wanted, 0);
		if (length == 0 && message->length < 0)
			break;
		if (length <= 0)
			return false;
		message->body_length += (size_t)length;
	}
	message->complete = with_body;
	return true;
}

int rig_call(int host, int port, const char *head, const void *body, size_t length, int timeout_ms,
	     message_t *answer)
{
	int fd = rig_connect(host, port, 0, timeout_ms);

	*answer = (message_t){0};
	if (fd < 0)
		return 0;
	if (rig_send(fd, head, strlen(head)) && (!length || rig_send(fd, body, length)))
		rig_read(fd, answer, true, true);
	close(fd);
	return answer->complete ? answer->status : 0;
}

bool rig_is_ready(int host)
{
	message_t answer;
	int status = rig_call(host, PORT_READY, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n", "", 0, 1000,
			      &answer);

	rig_message_clear(&answer);
	return status == 200;
}

void rig_configure(const char *version, const char *base, const char *resources)
{
	int64_t end_ms = rig_now_ms() + START_TIMEOUT_MS;
	char *body = NULL, *head = NULL;
	int length = asprintf(&body, "{\"version\":\"%s\",\"base_version\":\"%s\",\"resources\":[%s]}",
			      version, base, resources);

	if (asprintf(&head,
		     "POST /Config.Replace HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
		     "Content-Length: %d\r\n\r\n",
		     length) < 0)
		rig_exit(RIG_NOT_RUN);
	for (int host = 1; rig_now_ms() < end_ms; host = host % RIG_REPLICAS + 1) {
		message_t answer;
		int status = rig_call(host, PORT_CONTROL, head, body, (size_t)length, 2000, &answer);

		rig_message_clear(&answer);
		if (status == 200) {
			rig_record("configuration %s acknowledged by replica %d", version, host);
			free(body);
			free(head);
			return;
		}
		rig_sleep_ms(100);
	}
	rig_record("configuration %s was not accepted", version);
	rig_exit(RIG_NOT_RUN);
}

void rig_await_service(int host, const char *path)
{
	int64_t end_ms = rig_now_ms() + START_TIMEOUT_MS;
	char head[1024];

	for (int i = 0; rig_now_ms() < end_ms; i++) {
		message_t answer;
		int status;

		snprintf(head, sizeof(head),
			 "GET %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: await-%d-%d\r\n"
			 "X-Deadline-Ms: 1000\r\n\r\n",
			 path, host, i);
		status = rig_call(host, PORT_OUTBOUND, head, "", 0, 1500, &answer);
		rig_message_clear(&answer);
		if (status == 200)
			return;
		rig_sleep_ms(100);
	}
	rig_record("no answer at machine %d for %s", host, path);
	rig_exit(RIG_NOT_RUN);
}

/* Serves one connection of a target. */
typedef struct {
	target_t *target;
	int fd;
} served_t;

/* Adds a connection to those of a target, or removes it. */
static void list_connection(target_t *target, int fd, bool added)
{
	pthread_mutex_lock(&target->lock);
	for (int i = 0; i < TARGET_CONNECTIONS; i++)
		if (target->connections[i] == (added ? -1 : fd)) {
			target->connections[i] = added ? fd : -1;
			break;
		}
	pthread_mutex_unlock(&target->lock);
}

void target_exit(target_t *target)
{
	const struct linger reset = {1, 0};

	target->beats = false;
	shutdown(target->listener, SHUT_RDWR);
	close(target->listener);
	pthread_mutex_lock(&target->lock);
	for (int i = 0; i < TARGET_CONNECTIONS; i++)
		if (target->connections[i] >= 0) {
			setsockopt(target->connections[i], SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
			shutdown(target->connections[i], SHUT_RDWR);
		}
	pthread_mutex_unlock(&target->lock);
	rig_record("target %d has ended", target->host);
}

static void *serve_connection(void *data)
{
	served_t served = *(served_t *)data;
	target_t *target = served.target;
	long connection_data[4] = {0};
	bool open = true;

	free(data);
	list_connection(target, served.fd, true);
	while (open) {
		message_t request;

		open = rig_read(served.fd, &request, false, false);
		if (open)
			open = target->handle ? target->handle(target, served.fd, &request, connection_data)
					      : target_answer(target, served.fd, &request);
		rig_message_clear(&request);
	}
	list_connection(target, served.fd, false);
	close(served.fd);
	return NULL;
}

static void *accept_connections(void *data)
{
	target_t *target = data;

	for (;;) {
		served_t *served = malloc(sizeof(*served));
		pthread_attr_t attributes;
		pthread_t thread;
		int one = 1;

		*served = (served_t){target, accept(target->listener, NULL, NULL)};
		if (served->fd < 0)
			return NULL;
		setsockopt(served->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		pthread_attr_init(&attributes);
		pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
		pthread_attr_setstacksize(&attributes, 256 * 1024);
		if (pthread_create(&thread, &attributes, serve_connection, served))
			rig_exit(RIG_NOT_RUN);
	}
}

bool target_send_beat(target_t *target, const char *state, int sequence)
{
	char body[512], head[512];
	message_t answer;
	int status;

	snprintf(body, sizeof(body),
		 "{\"address\":\"%s\",\"born\":%lld,\"info\":{\"service\":\"%s\",\"version\":\"v1\","
		 "\"zone\":\"z1\",\"slots\":%d},\"status\":{\"state\":\"%s\",\"sequence\":%d,"
		 "\"warmup_left_s\":0}}",
		 rig_address(target->host, PORT_TARGET), (long long)target->born_ms, target->service,
		 target->slots, state, sequence);
	snprintf(head, sizeof(head),
		 "POST /Instances.Heartbeat/%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 target->id, strlen(body));
	status = rig_call(target->host, PORT_CONTROL, head, body, strlen(body), 1000, &answer);
	rig_message_clear(&answer);
	return status == 200;
}

bool target_deregister(target_t *target)
{
	char body[64], head[512];
	message_t answer;
	int status;

	snprintf(body, sizeof(body), "{\"born\":%lld}", (long long)target->born_ms);
	snprintf(head, sizeof(head),
		 "POST /Instances.Deregister/%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 target->id, strlen(body));
	status = rig_call(target->host, PORT_CONTROL, head, body, strlen(body), 1000, &answer);
	rig_message_clear(&answer);
	return status == 200;
}

static void *send_beats(void *data)
{
	target_t *target = data;

	for (;;) {
		if (target->beats)
			target_send_beat(target, target->draining ? "draining" : "ready",
					 __sync_add_and_fetch(&target->sequence, 1));
		target->next_beat_ms = rig_now_ms() + BEAT_MS;
		rig_sleep_ms(BEAT_MS);
	}
	return NULL;
}

target_t *target_start(int host, const char *service, int slots, int work_ms)
{
	target_t *target = calloc(1, sizeof(*target));
	struct sockaddr_in address = socket_address(host, PORT_TARGET);
	struct timespec now;
	int one = 1;

	clock_gettime(CLOCK_REALTIME, &now);
	target->host = host;
	target->born_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
	target->slots = slots;
	target->work_ms = work_ms;
	target->beats = true;
	memset(target->connections, -1, sizeof(target->connections));
	snprintf(target->service, sizeof(target->service), "%s", service);
	snprintf(target->id, sizeof(target->id), "i-%d-%d", host, (int)(target->born_ms % 1000000));
	pthread_mutex_init(&target->lock, NULL);
	pthread_cond_init(&target->free_slot, NULL);
	target->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(target->listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(target->listener, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(target->listener, 256)) {
		rig_record("cannot listen on %s", rig_address(host, PORT_TARGET));
		rig_exit(RIG_NOT_RUN);
	}
	pthread_create(&target->accept_thread, NULL, accept_connections, target);
	pthread_create(&target->beat_thread, NULL, send_beats, target);
	return target;
}

bool target_answer_health(target_t *target, int fd)
{
	char text[256];

	snprintf(
		text, sizeof(text),
		"HTTP/1.1 %s\r\nX-Instance-Id: %s\r\nKeep-Alive: timeout=10\r\nContent-Length: 3\r\n\r\nok\n",
		target->draining ? "503 Service Unavailable" : "200 OK", target->id);
	return rig_send(fd, text, strlen(text));
}

/* Waits until the client of a connection has closed it or a time has passed; returns whether it was closed. */
static bool closed_within(int fd, int ms)
{
	struct pollfd item = {.fd = fd, .events = POLLRDHUP};

	return poll(&item, 1, ms) > 0;
}

/* Reads and drops the rest of a request's body. */
static bool drain_body(int fd, message_t *request)
{
	char buffer[65536];
	size_t left = (size_t)request->length - request->body_length;

	while (left) {
		ssize_t length = recv(fd, buffer, left < sizeof(buffer) ? left : sizeof(buffer), 0);

		if (length <= 0)
			return false;
		left -= (size_t)length;
	}
	request->body_length = (size_t)request->length;
	return true;
}

/* Waits for a slot of a target. */
static void take_slot(target_t *target)
{
	pthread_mutex_lock(&target->lock);
	while (target->running >= target->slots)
		pthread_cond_wait(&target->free_slot, &target->lock);
	target->running++;
	pthread_mutex_unlock(&target->lock);
}

static void free_slot(target_t *target)
{
	pthread_mutex_lock(&target->lock);
	target->running--;
	pthread_cond_signal(&target->free_slot);
	pthread_mutex_unlock(&target->lock);
}

bool target_answer(target_t *target, int fd, message_t *request)
{
	char id[128] = "", expected[64] = "", deadline[32] = "", text[1024];
	int64_t received_ms = rig_now_ms();
	int left_ms = 0;
	bool gone, late;

	if (!drain_body(fd, request))
		return false;
	if (!strcmp(request->path, "/health")) {
		take_slot(target);
		free_slot(target);
		return target_answer_health(target, fd);
	}
	if (!rig_header(request, "X-Request-Id", id, sizeof(id)) ||
	    (rig_header(request, "X-Expect-Instance", expected, sizeof(expected)) &&
	     strcmp(expected, target->id) != 0)) {
		snprintf(text, sizeof(text),
			 "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			 *id ? "421 Misdirected Request" : "400 Bad Request", id);
		return rig_send(fd, text, strlen(text));
	}
	rig_header(request, "X-Deadline-Ms", deadline, sizeof(deadline));
	left_ms = atoi(deadline);
	rig_record("target %d reached by %s, %s %s, deadline %d", target->host, id, request->method,
		   request->path, left_ms);
	take_slot(target);
	left_ms -= (int)(rig_now_ms() - received_ms);
	late = left_ms < target->work_ms;
	if (target->runs_on)
		rig_sleep_ms(late ? left_ms : target->work_ms);
	gone = closed_within(fd, target->runs_on ? 0 : late ? left_ms : target->work_ms);
	free_slot(target);
	rig_record("target %d ran %s%s", target->host, id,
		   gone	  ? ", caller gone"
		   : late ? ", out of time"
			  : "");
	if (gone)
		return false;
	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s.%s\r\nKeep-Alive: timeout=10\r\n"
		 "Content-Length: %zu\r\n\r\nbody of %s\n",
		 late ? "504 Gateway Timeout" : "200 OK", id, target->id, id,
		 strlen("body of \n") + strlen(id), id);
	return rig_send(fd, text, strlen(text));
}
