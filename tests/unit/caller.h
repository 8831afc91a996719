/* A caller on plain sockets: one request a connection, and the answer judged by its bytes alone. */
#ifndef CALLER_H
#define CALLER_H

#include <glib.h>
#include <stdbool.h>

/* What a caller sees. */
typedef struct {
	bool refused;	  /* no connection was made */
	bool whole;	  /* the answer is complete by its Content-Length */
	int status;	  /* 0: no status line came */
	char outcome[16]; /* Caraway-Outcome, "" when absent */
	char reason[32];  /* Caraway-Reason */
	char body[1024];  /* its beginning */
} answer_t;

/* Connects to 127.0.0.1 and sends a request; returns the socket, or -1 when no connection was made. */
int caller_send(int port, const char *method, const char *path, const char *id, int deadline_ms);
/* Reads the answer to its end and closes the socket. */
void caller_receive(int fd, answer_t *answer);
/* Takes the bytes of an answer apart; what is absent is left as it was. */
void caller_parse(const GString *text, answer_t *answer);
/* Both in one. */
void caller_call(int port, const char *method, const char *path, const char *id, int deadline_ms,
		 answer_t *answer);
/* Returns the whole body of an answer to GET, freed by the caller. */
char *caller_get(int port, const char *path);

#endif
