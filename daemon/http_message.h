/* HTTP/1.1 messages and an incremental reader that parses them from a byte stream. */
#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <http_parser.h>

#include "libcaraway.h"
#include "memory_account.h"

/* A request or a response. */
typedef struct {
	char *method;	      /* requests only */
	char *request_target; /* requests only: path and query, the "request target" of HTTP */
	unsigned status;      /* responses only */
	GPtrArray *headers;   /* Caraway__Header *, owned, in the order received */
	GByteArray *body;
	memory_share_t share; /* of the body as received, also once another holder has taken it */
	bool states_body;     /* a response that cannot have a body says that it has one */
	bool keep_alive;      /* the sender keeps the connection open after this message */
} http_message_t;

void http_message_free(http_message_t *message);
/* Returns whether a response with a status has no body, whatever its headers say. */
bool http_status_has_no_body(unsigned status);
/* Returns the value of the first header with a name, compared without regard to case, or NULL. */
const char *http_message_header(const http_message_t *message, const char *name);

typedef struct {
	size_t max_header_bytes; /* of the request target and the headers together */
	size_t max_body_bytes;
} http_limits_t;

enum { HTTP_STATUS_LINE_BYTES = 13 /* of "HTTP/1.1 200", and the byte that ends the number */ };

typedef enum {
	HTTP_READ_INCOMPLETE, /* more bytes are needed */
	HTTP_READ_COMPLETE,
	HTTP_READ_MALFORMED, /* the bytes are not a valid message of the expected type */
	HTTP_READ_HEADERS_TOO_LARGE,
	HTTP_READ_BODY_TOO_LARGE
} http_read_result_t;

/* Parses the messages of a stream, one after the other. */
typedef struct {
	http_parser parser;
	http_limits_t limits;
	http_message_t *message;		  /* being parsed; NULL between messages */
	GString *name;				  /* of the header being parsed */
	GString *value;				  /* of that header */
	char status_line[HTTP_STATUS_LINE_BYTES]; /* first bytes of the response being parsed */
	size_t status_line_length;		  /* how many of them have arrived */
	size_t header_size;			  /* bytes of the request target and the headers so far */
	bool headers_done;			  /* all headers of the message have been parsed */
	bool has_value;				  /* a part of the header's value has been parsed */
	bool complete;				  /* message is complete, and not taken yet */
	bool answers_head;	  /* the next response answers a HEAD request: it has no body */
	http_read_result_t error; /* why a callback stopped the parser; HTTP_READ_INCOMPLETE: it did not */
} http_reader_t;

void http_reader_init(http_reader_t *reader, enum http_parser_type type, const http_limits_t *limits);
void http_reader_clear(http_reader_t *reader);
/* Parses bytes up to the end of the current message; *used is set to the number of bytes consumed. */
http_read_result_t http_reader_feed(http_reader_t *reader, const char *data, size_t length, size_t *used);
/* Reports the end of the stream, which completes a response that states no length. */
http_read_result_t http_reader_end_of_stream(http_reader_t *reader);
/* Returns the complete message, owned by the caller, and prepares for the next one. */
http_message_t *http_reader_take_message(http_reader_t *reader);
/* Frees an incomplete message; the reader must not be fed any more. */
void http_reader_drop_message(http_reader_t *reader);
/* Returns whether a message has begun and is incomplete. */
bool http_reader_in_message(const http_reader_t *reader);

#endif
