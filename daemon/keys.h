/*
 * CURVE keys of the processes of a mesh.  All control replicas share one key
 * pair and all proxies another; each operator has a key pair and roles.
 */
#ifndef KEYS_H
#define KEYS_H

#include "libcaraway.h"

enum { KEY_TEXT_BYTES = 41 }; /* Z85 text with the terminating zero byte */

enum { OPERATOR_BOOKER = 1 << 0, OPERATOR_REVIEWER = 1 << 1 };

typedef struct {
	char *name;
	char public_key[KEY_TEXT_BYTES];
	unsigned roles; /* OPERATOR_BOOKER, OPERATOR_REVIEWER; 0: queries only */
} operator_key_t;

typedef struct {
	bool insecure; /* connections are not encrypted; operators is empty and the other fields are unset */
	char secret_key[KEY_TEXT_BYTES];     /* of this process */
	char public_key[KEY_TEXT_BYTES];     /* of this process, derived from secret_key */
	char control_public[KEY_TEXT_BYTES]; /* of every control replica */
	char proxy_public[KEY_TEXT_BYTES];   /* of every proxy */
	GArray *operators;		     /* operator_key_t */
} keys_t;

/* Returns keys for connections without encryption. */
keys_t *keys_new_insecure(void);
/* Reads [keys] and [operators] of a parsed settings file; CW_ERR_SETTINGS when they are invalid. */
cw_status_t keys_load(const char *file, GKeyFile *ini, keys_t **keys);
void keys_free(keys_t *keys);
/* Returns the operator with a public key; NULL when the settings list none. */
const operator_key_t *keys_find_operator(const keys_t *keys, const char *public_key);
/*
 * Generates a key pair: writes the secret key to a new file with mode 0600, and
 * returns the public key.  CW_ERR_IO when the file exists or cannot be written.
 */
cw_status_t keys_generate(const char *file, char public_key[KEY_TEXT_BYTES]);

#endif
