/*
 * An HTTP client on plain sockets: one request per connection.  It shares no
 * code with the daemon, so that tests check the bytes that a caller receives.
 */
#ifndef CALLER_H
#define CALLER_H

#include <glib.h>
#include <stdbool.h>

/* The HTTP response as the caller receives it. */
typedef struct {
	bool connect_failed; /* the connection could not be opened */
	bool complete;	     /* the body has the length that Content-Length gives */
	int status;	     /* 0: no status line was received */
	char outcome[16];    /* Caraway-Outcome header, "" if absent */
	char reason[32];     /* Caraway-Reason header, "" if absent */
	char body[1024];     /* truncated to this size */
} caller_response_t;

/*
 * Connects to 127.0.0.1 and sends a request with the id as X-Request-Id and as
 * body, and with the deadline as Caraway-Deadline-Ms.  Returns the socket, or -1
 * if the connection could not be opened.
 */
int caller_send(int port, const char *method, const char *path, const char *id, int deadline_ms);
/* Reads the response until the peer closes the connection, parses it and closes the socket. */
void caller_receive(int fd, caller_response_t *response);
/* Parses a response; without a status line or the end of the header section the fields stay unchanged. */
void caller_parse_response(const GString *text, caller_response_t *response);
/* Sends a request and receives the response; sets connect_failed if no connection could be opened. */
void caller_call(int port, const char *method, const char *path, const char *id, int deadline_ms,
		 caller_response_t *response);
/* Sends a GET request and returns the whole response body, "" without one; freed by the caller. */
char *caller_get_body(int port, const char *path);

#endif
