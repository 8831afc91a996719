/* HTTP/1.1 messages and an incremental reader that parses them from a byte stream. */
#include "http_message.h"

#include <string.h>

#include "headers.h"

enum { STATUS_END = 600 /* after the last class of statuses */ };

/* Returns an empty message. */
static http_message_t *message_new(void)
{
	http_message_t *message = g_new0(http_message_t, 1);

	message->headers = g_ptr_array_new_with_free_func(cw_message_free);
	message->body = g_byte_array_new();
	return message;
}

/* Frees a message; NULL is allowed. */
void http_message_free(http_message_t *message)
{
	if (!message)
		return;
	g_free(message->method);
	g_free(message->request_target);
	g_ptr_array_unref(message->headers);
	g_byte_array_unref(message->body);
	memory_share_set(&message->share, 0);
	g_free(message);
}

/* Returns the value of the first header with a name, or NULL. */
const char *http_message_header(const http_message_t *message, const char *name)
{
	for (guint i = 0; i < message->headers->len; i++) {
		const Caraway__Header *header = g_ptr_array_index(message->headers, i);

		if (!g_ascii_strcasecmp(header->name, name))
			return header->value;
	}
	return NULL;
}

/* Adds to the size of the request target and the headers; returns false when it exceeds the limit. */
static bool add_header_size(http_reader_t *reader, size_t length)
{
	reader->header_size += length;
	if (reader->header_size <= reader->limits.max_header_bytes)
		return true;
	reader->error = HTTP_READ_HEADERS_TOO_LARGE;
	return false;
}

/* Creates the message that is parsed next. */
static int on_message_begin(http_parser *parser)
{
	http_reader_t *reader = parser->data;

	reader->message = message_new();
	reader->message->share.kind = parser->type == HTTP_REQUEST ? MEMORY_REQUESTS : MEMORY_ANSWERS;
	reader->message->request_target = g_strdup("");
	reader->header_size = 0;
	reader->headers_done = false;
	reader->has_value = false;
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
	return 0;
}

/* Appends a part of the request target. */
static int on_url(http_parser *parser, const char *data, size_t length)
{
	http_reader_t *reader = parser->data;
	char *target = reader->message->request_target;

	if (!add_header_size(reader, length))
		return -1;
	reader->message->request_target = g_strdup_printf("%s%.*s", target, (int)length, data);
	g_free(target);
	return 0;
}

/* Adds the header parsed last, if any, to the message. */
static void add_header(http_reader_t *reader)
{
	if (reader->has_value && !reader->headers_done)
		g_ptr_array_add(reader->message->headers, headers_new(reader->name->str, reader->value->str));
	g_string_truncate(reader->name, 0);
	g_string_truncate(reader->value, 0);
	reader->has_value = false;
}

/* Appends a part of a header's name.  Trailers, which follow the body, are dropped by add_header(). */
static int on_header_name(http_parser *parser, const char *data, size_t length)
{
	http_reader_t *reader = parser->data;

	if (reader->has_value)
		add_header(reader);
	g_string_append_len(reader->name, data, (gssize)length);
	return add_header_size(reader, length) ? 0 : -1;
}

/* Appends a part of a header's value. */
static int on_header_value(http_parser *parser, const char *data, size_t length)
{
	http_reader_t *reader = parser->data;

	reader->has_value = true;
	g_string_append_len(reader->value, data, (gssize)length);
	return add_header_size(reader, length) ? 0 : -1;
}

/*
 * Returns whether a status is one that a response to a request of this proxy may have: one of the classes that HTTP
 * defines, and not 101, as no request asks for another protocol.
 */
static bool is_valid_status(unsigned status)
{
	return status >= HTTP_STATUS_CONTINUE && status < STATUS_END &&
	       status != HTTP_STATUS_SWITCHING_PROTOCOLS;
}

/* Returns whether a response with a status has no body, whatever its headers say. */
bool http_status_has_no_body(unsigned status)
{
	return status == HTTP_STATUS_NO_CONTENT || status == HTTP_STATUS_NOT_MODIFIED;
}

/*
 * Checks the head of a response.  A 304 may state the length that the body of a 200 would have; a 204 must not state
 * any.
 */
static bool check_response_head(http_reader_t *reader)
{
	const http_parser *parser = &reader->parser;
	bool has_length = parser->content_length && parser->content_length != ULLONG_MAX;
	http_message_t *message = reader->message;

	message->status = parser->status_code;
	message->states_body =
		http_status_has_no_body(message->status) && (has_length || (parser->flags & F_CHUNKED));
	if (is_valid_status(message->status) &&
	    !(message->states_body && message->status == HTTP_STATUS_NO_CONTENT))
		return true;
	reader->error = HTTP_READ_MALFORMED;
	return false;
}

/* Completes the headers.  Protocol upgrades are not supported: an Upgrade header is ignored. */
static int on_headers_complete(http_parser *parser)
{
	enum { SKIP_BODY = 1 };
	http_reader_t *reader = parser->data;

	add_header(reader);
	reader->headers_done = true;
	/* Without a stated length the parser has the largest number. */
	if (parser->type == HTTP_REQUEST && parser->content_length != ULLONG_MAX &&
	    parser->content_length > reader->limits.max_body_bytes) {
		reader->error = HTTP_READ_BODY_TOO_LARGE;
		return -1;
	}
	if (parser->type == HTTP_REQUEST)
		reader->message->method = g_strdup(http_method_str(parser->method));
	else if (!check_response_head(reader))
		return -1;
	parser->upgrade = 0;
	return parser->type == HTTP_RESPONSE &&
			       (reader->answers_head || http_status_has_no_body(reader->message->status))
		       ? SKIP_BODY
		       : 0;
}

/* Appends a part of the body. */
static int on_body(http_parser *parser, const char *data, size_t length)
{
	http_reader_t *reader = parser->data;

	if (reader->message->body->len + length > reader->limits.max_body_bytes) {
		reader->error = HTTP_READ_BODY_TOO_LARGE;
		return -1;
	}
	g_byte_array_append(reader->message->body, (const guint8 *)data, (guint)length);
	memory_share_set(&reader->message->share, reader->message->body->len);
	return 0;
}

/* Completes a message and pauses the parser, so that it does not consume bytes of the next message. */
static int on_message_complete(http_parser *parser)
{
	http_reader_t *reader = parser->data;

	reader->message->keep_alive = http_should_keep_alive(parser) != 0;
	reader->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings callbacks = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

/* Initializes a reader of requests or responses. */
void http_reader_init(http_reader_t *reader, enum http_parser_type type, const http_limits_t *limits)
{
	memset(reader, 0, sizeof(*reader));
	http_parser_init(&reader->parser, type);
	reader->parser.data = reader;
	reader->limits = *limits;
	reader->name = g_string_new(NULL);
	reader->value = g_string_new(NULL);
}

/* Frees what a reader owns, with a message that was not taken. */
void http_reader_clear(http_reader_t *reader)
{
	http_message_free(reader->message);
	g_string_free(reader->name, TRUE);
	g_string_free(reader->value, TRUE);
}

/*
 * Collects the first bytes of a response's status line; returns false when they are not the version, a space and
 * three digits.  The parser itself accepts more or fewer digits and spaces.
 */
static bool check_status_line(http_reader_t *reader, const char *data, size_t length)
{
	static const char pattern[] = "HTTP/0.0 000"; /* 0: any digit */
	char *line = reader->status_line;
	char end;

	for (size_t i = 0; i < length && reader->status_line_length < HTTP_STATUS_LINE_BYTES; i++)
		if (reader->status_line_length || (data[i] != '\r' && data[i] != '\n'))
			line[reader->status_line_length++] = data[i];
	if (reader->status_line_length < HTTP_STATUS_LINE_BYTES)
		return true;
	for (size_t i = 0; pattern[i]; i++)
		if (pattern[i] == '0' ? !g_ascii_isdigit(line[i]) : line[i] != pattern[i])
			return false;
	end = line[HTTP_STATUS_LINE_BYTES - 1];
	return end == ' ' || end == '\r' || end == '\n';
}

/* Parses bytes; consumes none while a complete message has not been taken. */
http_read_result_t http_reader_feed(http_reader_t *reader, const char *data, size_t length, size_t *used)
{
	*used = 0;
	if (reader->complete)
		return HTTP_READ_COMPLETE;
	if (reader->parser.type == HTTP_RESPONSE && !check_status_line(reader, data, length))
		return HTTP_READ_MALFORMED;
	*used = http_parser_execute(&reader->parser, &callbacks, data, length);
	if (reader->complete) {
		http_parser_pause(&reader->parser, 0);
		return HTTP_READ_COMPLETE;
	}
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_OK)
		return HTTP_READ_INCOMPLETE;
	if (HTTP_PARSER_ERRNO(&reader->parser) == HPE_HEADER_OVERFLOW)
		return HTTP_READ_HEADERS_TOO_LARGE;
	return reader->error ? reader->error : HTTP_READ_MALFORMED;
}

/* Reports the end of the stream. */
http_read_result_t http_reader_end_of_stream(http_reader_t *reader)
{
	size_t used;

	if (!http_reader_in_message(reader))
		return HTTP_READ_MALFORMED;
	http_reader_feed(reader, NULL, 0, &used);
	return reader->complete ? HTTP_READ_COMPLETE : HTTP_READ_MALFORMED;
}

/* Returns the complete message, owned by the caller. */
http_message_t *http_reader_take_message(http_reader_t *reader)
{
	reader->complete = false;
	reader->status_line_length = 0;
	return g_steal_pointer(&reader->message);
}

/* Frees an incomplete message. */
void http_reader_drop_message(http_reader_t *reader)
{
	http_message_free(g_steal_pointer(&reader->message));
}

/* Returns whether a message has begun and is incomplete. */
bool http_reader_in_message(const http_reader_t *reader)
{
	return reader->message && !reader->complete;
}
