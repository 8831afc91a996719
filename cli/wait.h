/* Waiting, with progress on standard error, until something is in force. */
#ifndef WAIT_H
#define WAIT_H

#include "session.h"

/*
 * Waits until a change is in force on every proxy it selects.  limit_ms is the
 * longest wait, 0 for none.  CW_ERR_TIMEOUT when it passes; CW_ERR_CHECK or
 * CW_ERR_STATE when the change is refused or withdrawn meanwhile.
 */
cw_status_t wait_change(session_t *session, uint64_t number, uint32_t limit_ms);
/* Waits until the proxy of a VM holds the version in force. */
cw_status_t wait_vm(session_t *session, const char *vm, uint32_t limit_ms);

#endif
