/* Reloads the settings of a running daemon on a signal, or when polling finds that the file has changed. */
#include "reload.h"

#include "log.h"

enum { CHECK_INTERVAL_MS = 1000 /* detects a change of the file that no signal reports */ };

/* Records the state of the settings file at the start. */
void reload_init(reload_t *reload, const run_signals_t *signals)
{
	*reload = (reload_t){.signals = signals};
	if (stat(signals->settings_path, &reload->last_stat))
		reload->last_stat = (struct stat){0};
}

/* Returns whether the file has changed since the last check, and records its state for the next. */
static bool file_changed(reload_t *reload)
{
	struct stat current;
	bool changed;

	if (stat(reload->signals->settings_path, &current))
		return false;
	changed = current.st_mtim.tv_sec != reload->last_stat.st_mtim.tv_sec ||
		  current.st_mtim.tv_nsec != reload->last_stat.st_mtim.tv_nsec ||
		  current.st_size != reload->last_stat.st_size || current.st_ino != reload->last_stat.st_ino;
	reload->last_stat = current;
	return changed;
}

/* Reloads the settings after a signal or a change of the file; invalid settings are logged and ignored. */
settings_t *reload_poll(reload_t *reload, int64_t now_ms)
{
	bool requested = *reload->signals->reload;
	settings_t *settings;

	if (!requested && now_ms < reload->next_check_ms)
		return NULL;
	reload->next_check_ms = now_ms + CHECK_INTERVAL_MS;
	*reload->signals->reload = 0;
	if (!file_changed(reload) && !requested)
		return NULL;
	if (settings_load(reload->signals->settings_path, &settings) != CW_OK) {
		log_error("settings-refused", LOG_STR("reason", cw_last_error_message()), LOG_END);
		return NULL;
	}
	log_info("settings-reloaded", LOG_UINT("replicas", settings->control_replicas->len), LOG_END);
	return settings;
}
