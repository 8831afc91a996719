/* Strict INI parser: rejects duplicate sections, which GLib calls groups, and keys; GLib would merge them. */
#include "internal.h"

#include <string.h>

/* State of a scan for duplicate groups and keys. */
typedef struct {
	const char *file;
	cw_status_t error_status;
	char *group;
	GHashTable *groups; /* char * set */
	GHashTable *keys;   /* char * set, of the current group */
} scan_t;

/* Starts a group, given its line from '[' on; fails when the group was seen before. */
static cw_status_t scan_group(scan_t *scan, const char *line)
{
	const char *end = strchr(line, ']');

	g_free(scan->group);
	scan->group = g_strndup(line + 1, end ? (size_t)(end - line - 1) : strlen(line + 1));
	g_hash_table_remove_all(scan->keys);
	if (!g_hash_table_add(scan->groups, g_strdup(scan->group)))
		return cw_fail(scan->error_status, "%s: section [%s] is given twice; merge the two",
			       scan->file, scan->group);
	return CW_OK;
}

/*
 * Adds a key of the current group, given its line; fails when the key was seen
 * before or has a locale suffix, "key[de]", which GLib would ignore.
 */
static cw_status_t scan_key(scan_t *scan, const char *line)
{
	char *key = g_strchomp(g_strndup(line, strcspn(line, "=")));

	if (strchr(key, '[')) {
		cw_fail(scan->error_status, "%s: [%s] %s is not a known key; remove it", scan->file,
			scan->group, key);
		g_free(key);
		return scan->error_status;
	}
	if (!g_hash_table_add(scan->keys, key))
		return cw_fail(scan->error_status, "%s: [%s] %s is set twice; keep one", scan->file,
			       scan->group, key);
	return CW_OK;
}

/* Scans one line: a group, a key, a comment or an empty line. */
static cw_status_t scan_line(scan_t *scan, char *line)
{
	g_strstrip(line);
	if (!*line || *line == '#')
		return CW_OK;
	return *line == '[' ? scan_group(scan, line) : scan_key(scan, line);
}

/* Rejects a text in which a group, or a key within a group, is given twice. */
static cw_status_t reject_duplicates(const char *text, const char *file, cw_status_t error_status)
{
	scan_t scan = {.file = file, .error_status = error_status};
	char **lines = g_strsplit(text, "\n", -1);
	cw_status_t status = CW_OK;

	scan.groups = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	scan.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (size_t i = 0; lines[i] && !status; i++)
		status = scan_line(&scan, lines[i]);
	g_strfreev(lines);
	g_free(scan.group);
	g_hash_table_unref(scan.groups);
	g_hash_table_unref(scan.keys);
	return status;
}

/*
 * Parses INI text; the caller frees *keys with g_key_file_unref().  Fails
 * with error_status when the text cannot be parsed or a group or key is given
 * twice; file is the name to put into the message.
 */
cw_status_t cw_ini_parse(const char *text, size_t length, const char *file, cw_status_t error_status,
			 GKeyFile **keys)
{
	GKeyFile *loaded;
	GError *error = NULL;
	char *copy;
	cw_status_t status;

	*keys = NULL;
	if (memchr(text, '\0', length))
		return cw_fail(error_status, "%s: contains a NUL byte", file);
	loaded = g_key_file_new();
	if (g_key_file_load_from_data(loaded, text, length, G_KEY_FILE_NONE, &error)) {
		copy = g_strndup(text, length);
		status = reject_duplicates(copy, file, error_status);
		g_free(copy);
	} else {
		status = cw_fail(error_status, "%s: %s", file, error->message);
		g_error_free(error);
	}
	if (status)
		g_key_file_unref(loaded);
	else
		*keys = loaded;
	return status;
}
