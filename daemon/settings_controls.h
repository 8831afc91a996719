/* The list of control replicas in a settings file. */
#ifndef SETTINGS_CONTROLS_H
#define SETTINGS_CONTROLS_H

#include "settings.h"

GArray *controls_new(void);
cw_status_t controls_load(const char *file, GKeyFile *keys, GArray *controls);
GPtrArray *controls_addresses(const GArray *controls);
const char *controls_find(const GArray *controls, uint32_t id);

#endif
