/* An HTTP client on plain sockets: one request per connection. */
#include "caller.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

int caller_send(int port, const char *method, const char *path, const char *id, int deadline_ms)
{
	struct sockaddr_in address = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	g_autofree char *text =
		g_strdup_printf("%s %s HTTP/1.1\r\nHost: t\r\nConnection: close\r\nX-Request-Id: %s\r\n"
				"Caraway-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n%s",
				method, path, id, deadline_ms, strlen(id), id);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	if (send(fd, text, strlen(text), MSG_NOSIGNAL) < 0)
		shutdown(fd, SHUT_RDWR);
	return fd;
}

/* Copies the value of a header from a response, "" if the header is absent. */
static void read_header(const char *head, const char *name, char *value, size_t size)
{
	const char *line = head;

	value[0] = '\0';
	while ((line = strstr(line, "\r\n"))) {
		line += strlen("\r\n");
		if (!strncasecmp(line, name, strlen(name)) && line[strlen(name)] == ':') {
			line += strlen(name) + 1;
			line += strspn(line, " ");
			g_strlcpy(value, line, MIN(size, strcspn(line, "\r\n") + 1));
			return;
		}
	}
}

void caller_parse_response(const GString *text, caller_response_t *response)
{
	const char *body = strstr(text->str, "\r\n\r\n");
	char length[32];

	if (!body || sscanf(text->str, "HTTP/1.1 %d", &response->status) != 1)
		return;
	body += strlen("\r\n\r\n");
	read_header(text->str, "Caraway-Outcome", response->outcome, sizeof(response->outcome));
	read_header(text->str, "Caraway-Reason", response->reason, sizeof(response->reason));
	read_header(text->str, "Content-Length", length, sizeof(length));
	response->complete = *length && strlen(body) == strtoul(length, NULL, 10);
	g_strlcpy(response->body, body, sizeof(response->body));
}

/* Reads until the peer closes the connection, then closes the socket. */
static GString *read_all(int fd)
{
	GString *text = g_string_new(NULL);
	char buffer[4096];
	ssize_t length;

	while ((length = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		g_string_append_len(text, buffer, length);
	close(fd);
	return text;
}

char *caller_get_body(int port, const char *path)
{
	int fd = caller_send(port, "GET", path, "-", 1000);
	GString *text = fd >= 0 ? read_all(fd) : g_string_new(NULL);
	const char *body = strstr(text->str, "\r\n\r\n");
	char *copy = g_strdup(body ? body + strlen("\r\n\r\n") : "");

	g_string_free(text, TRUE);
	return copy;
}

void caller_receive(int fd, caller_response_t *response)
{
	GString *text = read_all(fd);

	memset(response, 0, sizeof(*response));
	caller_parse_response(text, response);
	g_string_free(text, TRUE);
}

void caller_call(int port, const char *method, const char *path, const char *id, int deadline_ms,
		 caller_response_t *response)
{
	int fd = caller_send(port, method, path, id, deadline_ms);

	if (fd >= 0) {
		caller_receive(fd, response);
		return;
	}
	memset(response, 0, sizeof(*response));
	response->connect_failed = true;
}
