/* Implements --wait: polls until a change or a version is in force, with progress on standard error. */
#ifndef WAIT_H
#define WAIT_H

#include "session.h"

/*
 * Waits until a change is in force on every proxy it selects.  timeout_ms is the
 * timeout, or 0 for no timeout.  CW_ERR_TIMEOUT when it expires; CW_ERR_CHECK
 * or CW_ERR_STATE when the change is refused or withdrawn.
 */
cw_status_t wait_change(session_t *session, uint64_t number, uint32_t timeout_ms);
/* Waits until the proxy of a VM holds the version in force. */
cw_status_t wait_vm(session_t *session, const char *vm, uint32_t timeout_ms);

#endif
