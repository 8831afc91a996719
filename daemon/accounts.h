/* Client accounts of callers: the check of the key that a request carries. */
#ifndef ACCOUNTS_H
#define ACCOUNTS_H

#include "endpoints.h"
#include "headers.h"

/*
 * Finds the client account of a request by its key, removes the key from the request and sets the header with
 * the account's name.  *account is NULL where none is needed: the configuration has no accounts, or the
 * route is public.  Returns the reason to refuse the request, or CW_REASON_NONE.
 */
cw_reason_t accounts_identify(const endpoints_t *endpoints, const header_names_t *names,
			      Caraway__CallRequest *request, const view_account_t **account);

#endif
