/*
 * Public interface of libcaraway: the decision logic of carawaygrade as state
 * machines without I/O, clock or global state.
 *
 * The embedding program passes events and the current time to a state machine
 * and carries out the actions that it returns.  Names that end in "_ms" are
 * durations or times in milliseconds.  "now_ms" is the time of a monotonic clock
 * chosen by the embedding program; times of the wall clock are UTC since the
 * epoch.  Functions that can fail return a cw_status_t; cw_last_error_message()
 * returns the error message.
 */
#ifndef LIBCARAWAY_H
#define LIBCARAWAY_H

#include "caraway_base.h"
#include "caraway_calls.h"
#include "caraway_changes.h"
#include "caraway_raft.h"
#include "caraway_relay.h"
#include "caraway_rollout.h"

#endif
