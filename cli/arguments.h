/* The command line of carawayctl. */
#ifndef ARGUMENTS_H
#define ARGUMENTS_H

#include "keys.h"
#include "libcaraway.h"

typedef enum {
	VERB_BOOK,
	VERB_REVIEW,
	VERB_WITHDRAW,
	VERB_LABEL,
	VERB_CHANGES,
	VERB_SHOW,
	VERB_IN_FORCE,
	VERB_STATUS,
	VERB_COUNTERS,
	VERB_KEY,
	VERB_COUNT
} verb_t;

typedef struct {
	verb_t verb;
	GPtrArray *operands; /* char *, after the verb */
	GPtrArray *controls; /* char *, HOST:PORT of each control replica */
	keys_t *keys;
	GPtrArray *at; /* char *, processes to ask instead; may be empty */
	char *operator_name;
	char *selector;
	char *service;
	uint64_t number;
	int64_t due_ms;
	uint32_t timeout_ms;
	uint32_t wait_ms; /* longest wait; 0: no limit */
	bool wait;
	bool json;
} arguments_t;

/* Reads the command line; ends the process with a message when it is wrong or asks for help. */
arguments_t *arguments_parse(int argc, char **argv);
void arguments_free(arguments_t *arguments);
/* Reads a change's number: a whole one from 1 on. */
cw_status_t arguments_number(const char *text, uint64_t *number);

#endif
