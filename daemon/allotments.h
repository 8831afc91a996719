/*
 * Allotments of client accounts on a proxy: asks the owners of accounts for tokens on behalf of the calls of its
 * callers, and grants tokens of the accounts that it owns.  Runs on the traffic thread.
 */
#ifndef ALLOTMENTS_H
#define ALLOTMENTS_H

#include "link.h"
#include "settings.h"
#include "view.h"

typedef struct allotments allotments_t;

/* Callbacks about a call that waited; the call is named by the cookie that it was passed with. */
typedef struct {
	/* A token was spent on the call. */
	void (*granted)(void *data, void *cookie);
	void (*refused)(void *data, void *cookie, cw_reason_t reason, uint32_t retry_after_ms);
	void *data;
} allotments_callbacks_t;

allotments_t *allotments_new(const proxy_settings_t *settings, uint64_t incarnation,
			     const published_view_t *published_view, link_clients_t *clients,
			     const allotments_callbacks_t *callbacks);
void allotments_free(allotments_t *allotments);
/* Applies a new view: its accounts, and the proxies that may own them. */
void allotments_set_view(allotments_t *allotments, const view_t *view);
/*
 * Spends a token on a call of an account with a limit.  With CW_ALLOTMENT_WAIT a callback follows, from
 * allotments_run(); with CW_ALLOTMENT_REFUSED, *retry_after_ms is when to retry.
 */
cw_allotment_verdict_t allotments_take(allotments_t *allotments, const view_account_t *account, void *cookie,
				       uint32_t *retry_after_ms);
/* Forgets a call that waits; there is no callback about it. */
void allotments_cancel(allotments_t *allotments, uint64_t account, const void *cookie);
/* Returns the answer to a request of another proxy; origin is any number that tells proxies apart. */
Caraway__Message *allotments_answer(allotments_t *allotments, const Caraway__AllotmentRequest *request,
				    uint64_t origin);
/* Handles the answer to a request of this proxy; address is that of the proxy that sent it. */
void allotments_handle_grant(allotments_t *allotments, const Caraway__AllotmentGrant *grant,
			     const char *address);
/* Sends the requests that are due and ends those without an answer. */
void allotments_run(allotments_t *allotments);
/* Returns by when allotments_run() must be called next; INT64_MAX for no deadline. */
int64_t allotments_next_tick_ms(const allotments_t *allotments);

#endif
