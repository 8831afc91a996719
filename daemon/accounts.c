/* Client accounts of callers: the check of the key that a request carries. */
#include "accounts.h"

#include "clock.h"

/* Takes a header out of a request; returns the value of the first of that name, or NULL. */
static char *take_header(Caraway__CallRequest *request, const char *name)
{
	char *value = NULL;
	size_t kept = 0;

	for (size_t i = 0; i < request->n_headers; i++) {
		Caraway__Header *header = request->headers[i];

		if (!*name || g_ascii_strcasecmp(header->name, name) != 0) {
			request->headers[kept++] = header;
			continue;
		}
		if (!value)
			value = g_strdup(header->value);
		cw_message_free(header);
	}
	request->n_headers = kept;
	return value;
}

/* Adds a header to a request. */
static void add_header(Caraway__CallRequest *request, const char *name, const char *value)
{
	request->headers = g_renew(Caraway__Header *, request->headers, request->n_headers + 1);
	request->headers[request->n_headers++] = headers_new(name, value);
}

/*
 * Returns the reason to refuse a key.  The time is read after the request has been read, so that a key that
 * was withdrawn is refused by any process whose lease had ended before the request was sent.
 */
static cw_reason_t check_key(const endpoints_t *endpoints, const char *key, const view_account_t **account)
{
	int64_t now_ms = clock_now_ms();

	if (now_ms >= endpoints->keys_until_ms)
		return CW_REASON_KEYS_UNCONFIRMED;
	*account = key ? view_find_account(endpoints->view, key) : NULL;
	if (*account)
		return CW_REASON_NONE;
	/* A newer configuration may have added the key. */
	return now_ms < endpoints->current_until_ms ? CW_REASON_BAD_KEY : CW_REASON_KEYS_UNCONFIRMED;
}

/* Finds the client account of a request by its key. */
cw_reason_t accounts_identify(const endpoints_t *endpoints, const header_names_t *names,
			      Caraway__CallRequest *request, const view_account_t **account)
{
	g_autofree char *key = NULL;
	cw_reason_t reason = CW_REASON_NONE;

	*account = NULL;
	if (!endpoints->view->accounts_by_key)
		return CW_REASON_NONE;
	key = take_header(request, names->account_key);
	g_free(take_header(request, names->account));
	if (!endpoints->route->is_public)
		reason = check_key(endpoints, key, account);
	if (*account && *names->account)
		add_header(request, names->account, (*account)->name);
	return reason;
}
