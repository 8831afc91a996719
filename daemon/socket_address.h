/* Socket addresses written as HOST:PORT, listening sockets, and the input of sockets. */
#ifndef SOCKET_ADDRESS_H
#define SOCKET_ADDRESS_H

#include <sys/socket.h>

#include "libcaraway.h"

/* Parses HOST:PORT; returns CW_ERR_SETTINGS unless both are numeric. */
cw_status_t socket_address_parse(const char *address, struct sockaddr_storage *parsed, socklen_t *length);
/* Returns a listening socket, or -1 with the message of cw_last_error_message() set. */
int socket_listen(const char *address, int backlog);
/* Returns whether received bytes wait to be read from a socket. */
bool socket_has_input(int fd);
/* Returns the HOST:PORT that a socket is bound to, owned by the caller. */
char *socket_bound_address(int fd);

#endif
