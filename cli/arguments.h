/* Parser for the command line of carawayctl. */
#ifndef ARGUMENTS_H
#define ARGUMENTS_H

#include "keys.h"
#include "libcaraway.h"

typedef enum {
	SUBCOMMAND_BOOK,
	SUBCOMMAND_REVIEW,
	SUBCOMMAND_WITHDRAW,
	SUBCOMMAND_LABEL,
	SUBCOMMAND_CHANGES,
	SUBCOMMAND_SHOW,
	SUBCOMMAND_IN_FORCE,
	SUBCOMMAND_STATUS,
	SUBCOMMAND_COUNTERS,
	SUBCOMMAND_ACCOUNTS,
	SUBCOMMAND_KEY,
	SUBCOMMAND_DIGEST,
	SUBCOMMAND_COUNT
} subcommand_t;

typedef struct {
	subcommand_t subcommand;
	GPtrArray *operands;	      /* char *, the arguments after the subcommand */
	GPtrArray *control_addresses; /* char *, HOST:PORT of each control replica */
	keys_t *keys;
	GPtrArray *at_addresses; /* char *, HOST:PORT of processes to query instead; empty without --at */
	char *operator_name;
	char *selector;		  /* empty: every VM */
	char *service;		  /* empty: proxies of every service */
	uint64_t change_number;	  /* to book, from --number; 0: not given */
	int64_t due_ms;		  /* UTC; 0: due at once */
	uint32_t timeout_ms;	  /* of a request */
	uint32_t wait_timeout_ms; /* 0: no timeout */
	bool wait;		  /* until the change or the labels are in force on every selected proxy */
	bool json;
} arguments_t;

/* Parses the command line; exits the process after an error or --help. */
arguments_t *arguments_parse(int argc, char **argv);
void arguments_free(arguments_t *arguments);
/* Parses the number of a change, an integer of at least 1. */
cw_status_t arguments_parse_change_number(const char *text, uint64_t *number);

#endif
