/* Notices that the settings of a running daemon have changed: by a signal, or by looking at the file. */
#include "reload.h"

#include "log.h"

enum { LOOK_MS = 1000 /* the file may change without a signal */ };

/* Notes the file as it was read at the start. */
void reload_init(reload_t *reload, const run_signals_t *signals)
{
	*reload = (reload_t){.signals = signals};
	if (stat(signals->file, &reload->seen))
		reload->seen = (struct stat){0};
}

/* Returns whether the file is another than the one read last. */
static bool has_changed(reload_t *reload)
{
	struct stat now;
	bool changed;

	if (stat(reload->signals->file, &now))
		return false;
	changed = now.st_mtim.tv_sec != reload->seen.st_mtim.tv_sec ||
		  now.st_mtim.tv_nsec != reload->seen.st_mtim.tv_nsec ||
		  now.st_size != reload->seen.st_size || now.st_ino != reload->seen.st_ino;
	reload->seen = now;
	return changed;
}

/* Reads the settings again when there is reason to; ones that are not valid are logged and not used. */
settings_t *reload_poll(reload_t *reload, int64_t now_ms)
{
	bool asked = *reload->signals->reload;
	settings_t *settings;

	if (!asked && now_ms < reload->look_ms)
		return NULL;
	reload->look_ms = now_ms + LOOK_MS;
	*reload->signals->reload = 0;
	if (!has_changed(reload) && !asked)
		return NULL;
	if (settings_load(reload->signals->file, &settings) != CW_OK) {
		log_error("settings-refused", LOG_STR("reason", cw_last_error_message()), LOG_END);
		return NULL;
	}
	log_info("settings-reloaded", LOG_UINT("replicas", settings->controls->len), LOG_END);
	return settings;
}
