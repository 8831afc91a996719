/* Reads settings files in INI format. */
#include "ini.h"

/*
 * Parses an INI file strictly.  The caller frees *ini with g_key_file_unref().
 * Returns CW_ERR_SETTINGS when the file cannot be read or parsed, or when it
 * repeats a section or a key.
 */
cw_status_t ini_load(const char *file, GKeyFile **ini)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	gsize length = 0;

	if (!g_file_get_contents(file, &text, &length, &error))
		return cw_fail(CW_ERR_SETTINGS, "%s", error->message);
	return cw_ini_parse(text, length, file, CW_ERR_SETTINGS, ini);
}
