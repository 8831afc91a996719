/* The keys of a settings file: value types, ranges and defaults. */
#ifndef SETTINGS_RULES_H
#define SETTINGS_RULES_H

#include "settings.h"

#define REPLICAS_GROUP "control-replicas"

enum {
	MAX_CONTROL_REPLICAS = 8, /* in a list with ids */
	MAX_LOSSES = 3,
	MAX_REPLICA_ID = 255,
	MAX_PORT = 65535
};

typedef enum {
	VALUE_NAME,	      /* letters, digits, '.', '_' and '-', the first one a letter or digit */
	VALUE_TEXT,	      /* any text that is not empty */
	VALUE_ADDRESS,	      /* IPv4:PORT to bind or connect to, with a definite host and port */
	VALUE_LISTEN_ADDRESS, /* IPv4:PORT to bind, with a definite host; port 0 picks a free port */
	VALUE_NUMBER,
	VALUE_FRACTION, /* from 0 to 1; stored in thousandths */
	VALUE_SECONDS, /* decimal fraction allowed; stored in milliseconds, and min and max are milliseconds */
	VALUE_BOOLEAN, /* yes or no, true or false */
	VALUE_HEADER,  /* name of an HTTP header; empty: none */
	VALUE_ROLE,
	VALUE_LOG_LEVEL
} value_kind_t;

/* Describes one key of a settings file. */
typedef struct {
	const char *group;
	const char *key;
	value_kind_t kind;
	size_t offset;		   /* of the field in settings_t */
	const char *default_value; /* NULL: the key is required; may be empty where the file may not */
	uint32_t min;		   /* of VALUE_NUMBER and VALUE_SECONDS */
	uint32_t max;
} rule_t;

/* The rules of some sections; the array is static. */
typedef struct {
	const rule_t *rules;
	size_t count;
} rule_set_t;

rule_set_t rules_for_process(void);
rule_set_t rules_for_role(role_t role);
bool rules_contain(rule_set_t set, const char *group, const char *key);
/* Parses a value into its field of the settings.  Returns NULL, or a description of the values allowed. */
const char *rule_parse_value(settings_t *settings, const rule_t *rule, const char *value);
bool value_parse_number(const char *text, uint32_t min, uint32_t max, uint32_t *number);
bool value_is_address(const char *text, uint32_t min_port);

#endif
