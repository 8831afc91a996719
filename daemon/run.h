/* The two roles of the daemon; each runs until its stop flag is set. */
#ifndef RUN_H
#define RUN_H

#include <signal.h>

#include "gateway.h"
#include "settings.h"

/* Flags that signal handlers set for the running role, and the path of its settings file. */
typedef struct {
	const volatile sig_atomic_t *stop; /* requests a planned stop */
	volatile sig_atomic_t *reload;	   /* requests a reload of the settings; cleared by the role */
	const char *settings_path;
} run_signals_t;

/* gateway: the interface to the platform, or NULL. */
cw_status_t control_run(const settings_t *settings, const gateway_t *gateway, const run_signals_t *signals);
/*
 * Writes the initial state of a replica into an empty data folder; all replicas
 * of the settings are voters.  CW_ERR_STATE when the folder holds state.
 */
cw_status_t control_format_data_folder(const settings_t *settings);
cw_status_t proxy_run(const settings_t *settings, const gateway_t *gateway, const run_signals_t *signals);

#endif
