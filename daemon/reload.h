/* Reloads the settings of a running daemon when they have changed. */
#ifndef RELOAD_H
#define RELOAD_H

#include <sys/stat.h>

#include "run.h"

typedef struct {
	const run_signals_t *signals;
	struct stat last_stat; /* of the settings file when it was last checked */
	int64_t next_check_ms; /* when to check the file again */
} reload_t;

void reload_init(reload_t *reload, const run_signals_t *signals);
/*
 * Returns the new settings, owned by the caller, after a signal or a change of
 * the file; NULL when there was neither or the new settings are invalid.
 */
settings_t *reload_poll(reload_t *reload, int64_t now_ms);

#endif
