/* Reads settings files in INI format. */
#ifndef INI_H
#define INI_H

#include "libcaraway.h"

/* Parses a file strictly; the message of CW_ERR_SETTINGS names the file and, if known, section and key. */
cw_status_t ini_load(const char *file, GKeyFile **ini);

#endif
