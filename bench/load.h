/* Types of the HTTP load generator, shared by its source files. */
#ifndef LOAD_H
#define LOAD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum { MAX_PORTS = 16 };

/* Command-line options. */
typedef struct {
	int ports[MAX_PORTS]; /* called round-robin */
	int port_count;
	int target_ports[MAX_PORTS]; /* of the stand-in targets whose executions are checked */
	int target_port_count;
	double rate;	       /* calls per second */
	double seconds;	       /* measured time */
	double warmup_seconds; /* time before the measured time */
	int deadline_ms;
	int max_retries; /* of each call */
	const char *method;
	const char *name; /* of the run: printed in the report, prefix of the request ids */
	unsigned long seed;
} load_options_t;

/* The result of a call, as its caller sees it. */
typedef enum {
	RESULT_OK,	/* status 200 within the deadline */
	RESULT_LATE,	/* status 200 after the deadline, or abandoned */
	RESULT_NOT_RUN, /* failed with the outcome "not-run" */
	RESULT_UNKNOWN, /* failed with the outcome "unknown" */
	RESULT_ERROR,	/* any other failure: another status, or of the connection */
	RESULT_COUNT
} result_t;

typedef struct connection connection_t;

/* One call, with all its attempts. */
typedef struct {
	char *id;		  /* request id */
	connection_t *connection; /* of the current attempt */
	GList *link;		  /* in load_t.open_calls */
	int64_t due_us;		  /* scheduled start; latency and deadline count from it */
	int port_index;		  /* in load_options_t.ports, for the next attempt */
	int retries_left;
	bool measured; /* starts after the warm-up */
} call_t;

/* One connection, which carries one call at a time. */
struct connection {
	int fd; /* -1: closed */
	int port_index;
	call_t *call;	   /* NULL: idle */
	GString *received; /* response to the current request, as far as it has arrived */
	size_t sent_bytes; /* of the current request */
	char *request;	   /* text of the current or last request; NULL: none yet */
};

/* The state of a run. */
typedef struct {
	load_options_t options;
	int epoll_fd;
	GQueue idle_connections[MAX_PORTS]; /* by port index */
	int next_port_index;		    /* of the next call, modulo port_count */
	GQueue open_calls;		    /* of call_t, the oldest first */
	unsigned attempt_count;		    /* of measured calls */
	unsigned result_counts[RESULT_COUNT];
	GArray *latencies_ms; /* double, of measured calls with RESULT_OK */
	GHashTable *results;  /* request id -> result_t + 1, of measured calls */
} load_t;

/* Prints the results of a run, checked against the executions at the targets, as one JSON line. */
void load_print_report(const load_t *load);

#endif
