/*
 * Keys of the processes of a mesh (CURVE).  Control replicas share one key pair
 * and proxies another; every operator has a pair of their own and roles.
 */
#ifndef KEYS_H
#define KEYS_H

#include "libcaraway.h"

enum { KEY_TEXT_BYTES = 41 }; /* Z85 with its zero byte */

enum { OPERATOR_BOOKER = 1 << 0, OPERATOR_REVIEWER = 1 << 1 };

typedef struct {
	char *name;
	char public_key[KEY_TEXT_BYTES];
	unsigned roles; /* OPERATOR_BOOKER, OPERATOR_REVIEWER; 0: queries only */
} operator_key_t;

typedef struct {
	bool insecure; /* the settings want no keys; nothing below is set */
	char secret_key[KEY_TEXT_BYTES];
	char public_key[KEY_TEXT_BYTES];
	char control_public[KEY_TEXT_BYTES];
	char proxy_public[KEY_TEXT_BYTES];
	GArray *operators; /* operator_key_t */
} keys_t;

/* Keys that encrypt nothing, for programs that are told so. */
keys_t *keys_new_insecure(void);
/* Reads [keys] and [operators] of an opened settings file; CW_ERR_SETTINGS. */
cw_status_t keys_load(const char *file, GKeyFile *ini, keys_t **keys);
void keys_free(keys_t *keys);
/* Finds an operator by public key; NULL when the settings name none. */
const operator_key_t *keys_operator(const keys_t *keys, const char *public_key);
/* Makes a key pair, writes the secret key to a new file that only its owner reads, returns the public one. */
cw_status_t keys_make(const char *file, char public_key[KEY_TEXT_BYTES]);

#endif
