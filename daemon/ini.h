/* INI files of settings. */
#ifndef INI_H
#define INI_H

#include "libcaraway.h"

/* Reads a file; CW_ERR_SETTINGS names the file and, where there is one, the line's section and key. */
cw_status_t ini_load(const char *file, GKeyFile **keys);

#endif
