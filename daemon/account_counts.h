/* Counts of the calls and tokens of each client account, from the start of this process; for all threads. */
#ifndef ACCOUNT_COUNTS_H
#define ACCOUNT_COUNTS_H

#include "view.h"

/* Counts a call that a caller with the account's key has sent; NULL, for a call without one, is ignored. */
void account_counts_taken(const view_account_t *account);
/* Counts the end of a call: answered if the reason is CW_REASON_NONE, or else refused or failed; NULL is ignored. */
void account_counts_ended(const view_account_t *account, cw_reason_t reason);
/* Counts tokens that this proxy has granted as an owner of the account. */
void account_counts_granted(const view_account_t *account, uint32_t tokens);
/* Adds the accounts with most calls to a reply to an operator. */
void account_counts_fill(Caraway__OperatorReply *reply);

#endif
