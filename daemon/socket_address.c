/* Socket addresses written as HOST:PORT, and listening sockets. */
#include "socket_address.h"

#include <errno.h>
#include <netdb.h>
#include <string.h>
#include <unistd.h>

enum { ADDRESS_BYTES = 64 };

/* Parses HOST:PORT; both must be numeric, no name is resolved. */
cw_status_t socket_address_parse(const char *address, struct sockaddr_storage *parsed, socklen_t *length)
{
	const char *colon = strrchr(address, ':');
	g_autofree char *host = colon ? g_strndup(address, (gsize)(colon - address)) : NULL;
	struct addrinfo hints = {.ai_flags = AI_PASSIVE | AI_NUMERICHOST | AI_NUMERICSERV,
				 .ai_socktype = SOCK_STREAM};
	struct addrinfo *result = NULL;

	if (!colon || getaddrinfo(host, colon + 1, &hints, &result))
		return cw_fail(CW_ERR_SETTINGS, "%s: not a numeric HOST:PORT", address);
	memcpy(parsed, result->ai_addr, result->ai_addrlen);
	*length = result->ai_addrlen;
	freeaddrinfo(result);
	return CW_OK;
}

/* Opens a nonblocking socket, binds it and listens on it. */
int socket_listen(const char *address, int backlog)
{
	struct sockaddr_storage parsed = {0};
	socklen_t length = 0;
	int one = 1;
	int fd;

	if (socket_address_parse(address, &parsed, &length) != CW_OK)
		return -1;
	fd = socket(parsed.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0) {
		cw_fail(CW_ERR_IO, "%s: cannot create a socket: %s", address, g_strerror(errno));
		return -1;
	}
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&parsed, length) || listen(fd, backlog)) {
		cw_fail(CW_ERR_IO, "%s: cannot listen: %s", address, g_strerror(errno));
		close(fd);
		return -1;
	}
	return fd;
}

/* Returns whether received bytes wait to be read from a socket. */
bool socket_has_input(int fd)
{
	char byte;

	return recv(fd, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* Returns the HOST:PORT that a socket is bound to. */
char *socket_bound_address(int fd)
{
	struct sockaddr_storage address;
	socklen_t length = sizeof(address);
	char host[ADDRESS_BYTES], port[ADDRESS_BYTES];

	getsockname(fd, (struct sockaddr *)&address, &length);
	getnameinfo((struct sockaddr *)&address, length, host, sizeof(host), port, sizeof(port),
		    NI_NUMERICHOST | NI_NUMERICSERV);
	return g_strdup_printf("%s:%s", host, port);
}
