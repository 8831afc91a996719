/* HTTP headers that a proxy reads, sets or forwards. */
#include "headers.h"

/* Hop-by-hop headers, and those that the proxy generates for each message. */
static const char *const hop_by_hop_headers[] = {
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"TE",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Expect",
	"Content-Length",
};

/* Headers of the proxy protocol: read, and set anew instead of forwarded. */
static const char *const proxy_headers[] = {
	HEADER_DEPTH, HEADER_ATTEMPT, HEADER_OUTCOME, HEADER_REASON, HEADER_DRAINING,
};

static const char *const idempotent_methods[] = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};

/* Returns whether a list contains a name, compared without regard to case. */
static bool contains_name(const char *const *names, size_t count, const char *name)
{
	for (size_t i = 0; i < count; i++)
		if (!g_ascii_strcasecmp(names[i], name))
			return true;
	return false;
}

/* Returns a new header, freed with cw_message_free(). */
Caraway__Header *headers_new(const char *name, const char *value)
{
	Caraway__Header *header = g_new(Caraway__Header, 1);

	caraway__header__init(header);
	header->name = g_strdup(name);
	header->value = g_strdup(value);
	return header;
}

/* Returns whether a target's header is forwarded to the caller. */
bool headers_is_sent_to_caller(const char *name)
{
	return !contains_name(hop_by_hop_headers, G_N_ELEMENTS(hop_by_hop_headers), name) &&
	       !contains_name(proxy_headers, G_N_ELEMENTS(proxy_headers), name);
}

/* Returns whether a caller's header is forwarded to the target unchanged. */
bool headers_is_sent_to_target(const header_names_t *names, const char *name)
{
	const char *const replaced[] = {names->deadline, names->caller_service, names->expected_target};

	return headers_is_sent_to_caller(name) && !contains_name(replaced, G_N_ELEMENTS(replaced), name);
}

/* Returns whether HTTP defines a method as idempotent. */
bool headers_is_idempotent_method(const char *method)
{
	return contains_name(idempotent_methods, G_N_ELEMENTS(idempotent_methods), method);
}
