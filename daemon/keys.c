/* CURVE keys of the processes of a mesh, read from the settings. */
#include "keys.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

#define KEYS_GROUP	"keys"
#define OPERATORS_GROUP "operators"

enum { KEY_TEXT_LENGTH = KEY_TEXT_BYTES - 1, KEY_BYTES = 32, SECRET_FILE_MODE = 0600 };

/* The entries that [keys] may contain. */
static const char *const entry_names[] = {"insecure", "secret-file", "control-public", "proxy-public", NULL};

/* Frees the memory of one element of the operators array. */
static void clear_operator(void *data)
{
	operator_key_t *entry = data;

	g_free(entry->name);
}

/* Returns keys for connections without encryption. */
keys_t *keys_new_insecure(void)
{
	keys_t *keys = g_new0(keys_t, 1);

	keys->insecure = true;
	keys->operators = g_array_new(FALSE, TRUE, sizeof(operator_key_t));
	g_array_set_clear_func(keys->operators, clear_operator);
	return keys;
}

/* Overwrites the secret key and frees the keys; NULL is allowed. */
void keys_free(keys_t *keys)
{
	if (!keys)
		return;
	explicit_bzero(keys->secret_key, sizeof(keys->secret_key));
	g_array_unref(keys->operators);
	g_free(keys);
}

/* Copies a key if it is valid Z85 text: 40 characters that decode to 32 bytes. */
static bool parse_key(const char *text, char key[KEY_TEXT_BYTES])
{
	uint8_t bytes[KEY_BYTES];
	bool valid = strlen(text) == KEY_TEXT_LENGTH && zmq_z85_decode(bytes, text);

	explicit_bzero(bytes, sizeof(bytes));
	if (valid)
		g_strlcpy(key, text, KEY_TEXT_BYTES);
	return valid;
}

/* Reads a public key of [keys]. */
static cw_status_t load_public_key(const char *file, GKeyFile *ini, const char *name,
				   char key[KEY_TEXT_BYTES])
{
	g_autofree char *text = g_key_file_get_string(ini, KEYS_GROUP, name, NULL);

	if (!text)
		return cw_fail(CW_ERR_SETTINGS, "%s: [" KEYS_GROUP "] %s is missing; add it", file, name);
	if (!parse_key(text, key))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" KEYS_GROUP "] %s = \"%s\": give a public key of %d characters", file,
			       name, text, KEY_TEXT_LENGTH);
	return CW_OK;
}

/* Rejects a secret key file that its group or others may access. */
static cw_status_t check_permissions(const char *file, const char *path)
{
	struct stat info;

	if (stat(path, &info))
		return cw_fail(CW_ERR_SETTINGS, "%s: [" KEYS_GROUP "] secret-file = \"%s\": %s", file, path,
			       strerror(errno));
	if (info.st_mode & (S_IRWXG | S_IRWXO))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" KEYS_GROUP
			       "] secret-file = \"%s\": its group or others can access it; chmod 600",
			       file, path);
	return CW_OK;
}

/* Reads the secret key file and derives the public key; error messages never contain the secret key. */
static cw_status_t load_secret_key(const char *file, GKeyFile *ini, keys_t *keys)
{
	g_autofree char *path = g_key_file_get_string(ini, KEYS_GROUP, "secret-file", NULL);
	char *text = NULL;
	gsize length = 0;
	cw_status_t status;

	if (!path)
		return cw_fail(CW_ERR_SETTINGS, "%s: [" KEYS_GROUP "] secret-file is missing; add it", file);
	status = check_permissions(file, path);
	if (status != CW_OK)
		return status;
	if (!g_file_get_contents(path, &text, &length, NULL))
		return cw_fail(CW_ERR_SETTINGS, "%s: [" KEYS_GROUP "] secret-file = \"%s\": cannot be read",
			       file, path);
	g_strchomp(text);
	if (!parse_key(text, keys->secret_key) || zmq_curve_public(keys->public_key, keys->secret_key))
		status = cw_fail(CW_ERR_SETTINGS,
				 "%s: [" KEYS_GROUP "] secret-file = \"%s\": does not contain a secret key",
				 file, path);
	explicit_bzero(text, length);
	g_free(text);
	return status;
}

/* Parses the roles of an operator, joined by '+'; "reader" sets no bit, as every operator may query. */
static bool parse_roles(const char *text, unsigned *roles)
{
	g_auto(GStrv) words = g_strsplit(text, "+", -1);

	*roles = 0;
	for (size_t i = 0; words[i]; i++) {
		if (strcmp(words[i], "booker") == 0)
			*roles |= OPERATOR_BOOKER;
		else if (strcmp(words[i], "reviewer") == 0)
			*roles |= OPERATOR_REVIEWER;
		else if (strcmp(words[i], "reader") != 0)
			return false;
	}
	return words[0] != NULL;
}

/* Reads one entry of [operators]: NAME = ROLES KEY. */
static cw_status_t load_operator(const char *file, GKeyFile *ini, const char *name, keys_t *keys)
{
	operator_key_t entry = {0};
	g_autofree char *text = g_key_file_get_string(ini, OPERATORS_GROUP, name, NULL);
	g_auto(GStrv) parts = g_strsplit(text ? text : "", " ", 2);

	if (g_strv_length(parts) != 2 || !parse_roles(parts[0], &entry.roles) ||
	    !parse_key(parts[1], entry.public_key))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" OPERATORS_GROUP
			       "] %s: give booker, reviewer, booker+reviewer or reader, "
			       "a space and a public key",
			       file, name);
	if (keys_find_operator(keys, entry.public_key) ||
	    strcmp(entry.public_key, keys->control_public) == 0 ||
	    strcmp(entry.public_key, keys->proxy_public) == 0)
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" OPERATORS_GROUP "] %s: another entry already uses this key", file,
			       name);
	entry.name = g_strdup(name);
	g_array_append_val(keys->operators, entry);
	return CW_OK;
}

/* Reads [operators], which is optional. */
static cw_status_t load_operators(const char *file, GKeyFile *ini, keys_t *keys)
{
	g_auto(GStrv) names = g_key_file_get_keys(ini, OPERATORS_GROUP, NULL, NULL);
	cw_status_t status = CW_OK;

	for (size_t i = 0; names && names[i] && status == CW_OK; i++)
		status = load_operator(file, ini, names[i], keys);
	return status;
}

/* Rejects a file without [keys], and unknown entries of that section. */
static cw_status_t check_entries(const char *file, GKeyFile *ini)
{
	g_auto(GStrv) names = g_key_file_get_keys(ini, KEYS_GROUP, NULL, NULL);

	if (!names)
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" KEYS_GROUP "] is missing; add the keys, or insecure = yes", file);
	for (size_t i = 0; names[i]; i++)
		if (!g_strv_contains(entry_names, names[i]))
			return cw_fail(CW_ERR_SETTINGS,
				       "%s: [" KEYS_GROUP "] %s is not a known key; remove it", file,
				       names[i]);
	return CW_OK;
}

/* Reads the "insecure" setting, which excludes all other entries of [keys] and the [operators] section. */
static cw_status_t load_insecure(const char *file, GKeyFile *ini, bool *insecure)
{
	g_autofree char *text = g_key_file_get_string(ini, KEYS_GROUP, "insecure", NULL);
	g_auto(GStrv) names = g_key_file_get_keys(ini, KEYS_GROUP, NULL, NULL);

	*insecure = g_strcmp0(text, "yes") == 0;
	if (text && strcmp(text, "yes") != 0 && strcmp(text, "no") != 0)
		return cw_fail(CW_ERR_SETTINGS, "%s: [" KEYS_GROUP "] insecure = \"%s\": use yes or no", file,
			       text);
	if (*insecure && (g_strv_length(names) > 1 || g_key_file_has_group(ini, OPERATORS_GROUP)))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" KEYS_GROUP "] insecure = yes contradicts the keys given; remove one",
			       file);
	return CW_OK;
}

/* Reads [keys] and [operators] into keys, which is empty. */
static cw_status_t load_all(const char *file, GKeyFile *ini, keys_t *keys)
{
	cw_status_t status = check_entries(file, ini);

	if (status == CW_OK)
		status = load_insecure(file, ini, &keys->insecure);
	if (status != CW_OK || keys->insecure)
		return status;
	status = load_public_key(file, ini, "control-public", keys->control_public);
	if (status == CW_OK)
		status = load_public_key(file, ini, "proxy-public", keys->proxy_public);
	if (status == CW_OK)
		status = load_secret_key(file, ini, keys);
	if (status == CW_OK)
		status = load_operators(file, ini, keys);
	return status;
}

/* Reads the keys of a settings file; the caller frees *keys with keys_free(). */
cw_status_t keys_load(const char *file, GKeyFile *ini, keys_t **keys)
{
	keys_t *loaded = keys_new_insecure();
	cw_status_t status = load_all(file, ini, loaded);

	if (status == CW_OK)
		*keys = loaded;
	else
		keys_free(loaded);
	return status;
}

/* Returns the operator with a public key; NULL when the settings list none. */
const operator_key_t *keys_find_operator(const keys_t *keys, const char *public_key)
{
	for (guint i = 0; i < keys->operators->len; i++) {
		const operator_key_t *entry = &g_array_index(keys->operators, operator_key_t, i);
		if (g_strcmp0(entry->public_key, public_key) == 0)
			return entry;
	}
	return NULL;
}

/* Writes a secret key to a new file; fails when the file exists. */
static cw_status_t write_secret_key(const char *file, const char *secret_key)
{
	int fd = open(file, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, SECRET_FILE_MODE);
	bool written;

	if (fd < 0)
		return cw_fail(CW_ERR_IO, "%s: %s", file, strerror(errno));
	written = write(fd, secret_key, KEY_TEXT_LENGTH) == KEY_TEXT_LENGTH && write(fd, "\n", 1) == 1 &&
		  fsync(fd) == 0;
	if (close(fd) || !written)
		return cw_fail(CW_ERR_IO, "%s: cannot be written", file);
	return CW_OK;
}

/* Generates a key pair.  Returns CW_ERR_IO when the file exists or cannot be written. */
cw_status_t keys_generate(const char *file, char public_key[KEY_TEXT_BYTES])
{
	char secret_key[KEY_TEXT_BYTES];
	cw_status_t status;

	if (zmq_curve_keypair(public_key, secret_key))
		return cw_fail(CW_ERR_INTERNAL, "cannot generate a key pair: %s", zmq_strerror(errno));
	status = write_secret_key(file, secret_key);
	explicit_bzero(secret_key, sizeof(secret_key));
	return status;
}
