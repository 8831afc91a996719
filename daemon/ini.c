/* INI files read strictly: GLib's key files with doubled groups and keys refused. */
#include "ini.h"

#include <string.h>

/* Position of a scan for doubled groups and keys. */
typedef struct {
	const char *file;
	char *group;
	GHashTable *groups; /* char * set */
	GHashTable *keys;   /* char * set, of the present group */
} scan_t;

/* Enters a group, given its line from '[' on. */
static cw_status_t scan_group(scan_t *scan, const char *line)
{
	const char *end = strchr(line, ']');

	g_free(scan->group);
	scan->group = g_strndup(line + 1, end ? (size_t)(end - line - 1) : strlen(line + 1));
	g_hash_table_remove_all(scan->keys);
	if (!g_hash_table_add(scan->groups, g_strdup(scan->group)))
		return cw_fail(CW_ERR_SETTINGS, "%s: section [%s] stands twice; merge the two", scan->file,
			       scan->group);
	return CW_OK;
}

/* Notes a key of the present group, given its line. */
static cw_status_t scan_key(scan_t *scan, const char *line)
{
	const char *equals = strchr(line, '=');
	char *key = equals ? g_strndup(line, (size_t)(equals - line)) : g_strdup(line);

	g_strchomp(key);
	if (!g_hash_table_add(scan->keys, key))
		return cw_fail(CW_ERR_SETTINGS, "%s: [%s] %s is set twice; keep one", scan->file, scan->group,
			       key);
	return CW_OK;
}

/* Notes what one line brings: a group, a key or nothing. */
static cw_status_t scan_line(scan_t *scan, char *line)
{
	g_strstrip(line);
	if (*line == '\0' || *line == '#')
		return CW_OK;
	return *line == '[' ? scan_group(scan, line) : scan_key(scan, line);
}

/* Refuses a text in which a group, or a key within a group, stands twice; GLib would merge them silently. */
static cw_status_t refuse_doubled(const char *file, const char *text)
{
	scan_t scan = {.file = file,
		       .groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
		       .keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
	g_auto(GStrv) lines = g_strsplit(text, "\n", -1);
	cw_status_t status = CW_OK;

	for (size_t i = 0; lines[i] && status == CW_OK; i++)
		status = scan_line(&scan, lines[i]);
	g_free(scan.group);
	g_hash_table_unref(scan.groups);
	g_hash_table_unref(scan.keys);
	return status;
}

/*
 * Reads an INI file.  The caller frees *keys with g_key_file_unref().
 * CW_ERR_SETTINGS when it cannot be read or parsed, or when a group or key
 * stands twice.
 */
cw_status_t ini_load(const char *file, GKeyFile **keys)
{
	g_autoptr(GKeyFile) loaded = g_key_file_new();
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	gsize length = 0;

	if (!g_file_get_contents(file, &text, &length, &error))
		return cw_fail(CW_ERR_SETTINGS, "%s", error->message);
	if (!g_key_file_load_from_data(loaded, text, length, G_KEY_FILE_NONE, &error))
		return cw_fail(CW_ERR_SETTINGS, "%s: %s", file, error->message);

	cw_status_t status = refuse_doubled(file, text);
	if (status != CW_OK)
		return status;
	*keys = g_steal_pointer(&loaded);
	return CW_OK;
}
