/* HTTP headers that a proxy reads, sets or forwards. */
#ifndef HEADERS_H
#define HEADERS_H

#include "libcaraway.h"

#define HEADER_DEPTH	       "Caraway-Depth"	  /* number of calls above this one in the call chain */
#define HEADER_ATTEMPT	       "Caraway-Attempt"  /* number of earlier attempts; not 0: part of a retry */
#define HEADER_OUTCOME	       "Caraway-Outcome"  /* "not-run" or "unknown" */
#define HEADER_REASON	       "Caraway-Reason"	  /* why there is no answer: cw_reason_name() */
#define HEADER_DRAINING	       "Caraway-Draining" /* set by a draining target on its responses */
#define HEADER_IDEMPOTENCY_KEY "Idempotency-Key"

/* Configurable names of headers, set in the section [headers]; an empty name disables the header. */
typedef struct {
	char *deadline;	       /* of requests: milliseconds left when sent */
	char *request_id;      /* of requests, repeated on their responses */
	char *caller_service;  /* of requests to a target: service of the VM that the request comes from */
	char *expected_target; /* of requests to a target: the only incarnation that may run them */
	char *not_executed;    /* of a target's responses: it did not run the request */
	char *account_key;     /* of requests: key of a client account; not sent to the target */
	char *account;	       /* of requests to a target: name of the client account */
	char *target_id;       /* of a target's responses to health checks: its incarnation */
} header_names_t;

Caraway__Header *headers_new(const char *name, const char *value);
/* Returns whether a caller's header is forwarded to the target unchanged. */
bool headers_is_sent_to_target(const header_names_t *names, const char *name);
/* Returns whether a target's header is forwarded to the caller. */
bool headers_is_sent_to_caller(const char *name);
/* Returns whether a method is GET, HEAD, PUT, DELETE, OPTIONS or TRACE. */
bool headers_is_idempotent_method(const char *method);

#endif
