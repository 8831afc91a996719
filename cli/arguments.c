/* Parser for the command line of carawayctl. */
#include "arguments.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "due.h"
#include "settings.h"

enum { DEFAULT_TIMEOUT_MS = 10000, MAX_SECONDS = 1000000, MS_PER_S = 1000 };

enum {
	OPTION_CONFIG = 'c',
	OPTION_CONTROL = 'C',
	OPTION_OPERATOR = 'o',
	OPTION_JSON = 'j',
	OPTION_TIMEOUT = 't',
	OPTION_NUMBER = 'n',
	OPTION_DUE = 'd',
	OPTION_WAIT = 'w',
	OPTION_SELECTOR = 's',
	OPTION_SERVICE = 'S',
	OPTION_AT = 'a'
};

const char *argp_program_version = "carawayctl 0.1";

static const struct argp_option options[] = {
	{NULL, 0, NULL, 0, "Where to find the control replicas:", 1},
	{"config", OPTION_CONFIG, "FILE", 0, "Read [control-replicas] and [keys] from a settings file", 1},
	{"control", OPTION_CONTROL, "HOST:PORT[,...]", 0, "Addresses of the control replicas", 1},
	{"timeout", OPTION_TIMEOUT, "SECONDS", 0, "Timeout of a request (10)", 1},
	{NULL, 0, NULL, 0, "For commands:", 2},
	{"operator", OPTION_OPERATOR, "NAME", 0,
	 "Name of the operator ($CARAWAY_OPERATOR, or the login name)", 2},
	{"number", OPTION_NUMBER, "N", 0, "Number of the change to book", 2},
	{"due", OPTION_DUE, "TIME", 0, "now, a UTC time as 2026-12-24T06:00:00Z, or +30s, +2h, +14d", 2},
	{"wait", OPTION_WAIT, "SECONDS", OPTION_ARG_OPTIONAL,
	 "Wait, with progress, until in force on every selected proxy, at most SECONDS", 2},
	{NULL, 0, NULL, 0, "For queries:", 3},
	{"json", OPTION_JSON, NULL, 0, "Print JSON", 3},
	{"selector", OPTION_SELECTOR, "SELECTOR", 0, "Only VMs with these labels, as zone=eger,track", 3},
	{"service", OPTION_SERVICE, "NAME", 0, "Only proxies that hold this service", 3},
	{"at", OPTION_AT, "HOST:PORT[,...]", 0,
	 "Query these processes instead, control replicas or the feed ports of proxies", 3},
	{0},
};

/* The name of a subcommand, its number of operands and the option letters that it accepts. */
typedef struct {
	const char *name;
	guint min_operands;
	guint max_operands;
	const char *options;
} subcommand_spec_t;

static const subcommand_spec_t subcommand_specs[SUBCOMMAND_COUNT] = {
	[SUBCOMMAND_BOOK] = {"book", 1, 1, "ondwj"},
	[SUBCOMMAND_REVIEW] = {"review", 1, 1, "owj"},
	[SUBCOMMAND_WITHDRAW] = {"withdraw", 1, 1, "oj"},
	[SUBCOMMAND_LABEL] = {"label", 2, G_MAXUINT, "owj"},
	[SUBCOMMAND_CHANGES] = {"changes", 0, 0, "j"},
	[SUBCOMMAND_SHOW] = {"show", 1, 1, "j"},
	[SUBCOMMAND_IN_FORCE] = {"inforce", 0, 0, "jsS"},
	[SUBCOMMAND_STATUS] = {"status", 0, 0, "ja"},
	[SUBCOMMAND_COUNTERS] = {"counters", 0, 0, "ja"},
	[SUBCOMMAND_ACCOUNTS] = {"accounts", 0, 0, "ja"},
	[SUBCOMMAND_KEY] = {"key", 1, 1, ""},
	[SUBCOMMAND_DIGEST] = {"digest", 2, 2, ""},
};

/* The values collected by the argp parser, validated together at the end. */
typedef struct {
	arguments_t *arguments;
	GString *given_options; /* letters of the subcommand options on the command line */
	const char *config_file;
	const char *subcommand_name;
	const char *due;  /* text of --due; NULL: not given */
	bool has_control; /* --control is on the command line */
} parse_state_t;

/* Replaces the contents of a list with the elements of a comma-separated string. */
static void parse_list(GPtrArray *list, const char *text)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);

	g_ptr_array_set_size(list, 0);
	for (size_t i = 0; parts[i]; i++)
		if (*parts[i])
			g_ptr_array_add(list, g_strdup(parts[i]));
}

/* Parses an option value in whole seconds and returns milliseconds. */
static uint32_t parse_seconds(const char *name, const char *text, struct argp_state *state)
{
	guint64 seconds = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 1, MAX_SECONDS, &seconds, NULL))
		argp_error(state, "--%s %s: expected whole seconds from 1 to %d", name, text, MAX_SECONDS);
	return (uint32_t)(seconds * MS_PER_S);
}

/* Parses the number of a change.  CW_ERR_USAGE when it is invalid. */
cw_status_t arguments_parse_change_number(const char *text, uint64_t *number)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXINT64, &value, NULL))
		return cw_fail(CW_ERR_USAGE,
			       "invalid change number \"%s\": expected an integer of at least 1", text);
	*number = value;
	return CW_OK;
}

/* Stores the subcommand or one of its operands. */
static void store_operand(parse_state_t *parse, const char *text)
{
	if (!parse->subcommand_name)
		parse->subcommand_name = text;
	else
		g_ptr_array_add(parse->arguments->operands, g_strdup(text));
}

/* Stores an option that only some subcommands accept; check_subcommand() rejects it for the others. */
static error_t store_subcommand_option(parse_state_t *parse, int key, char *value, struct argp_state *state)
{
	arguments_t *arguments = parse->arguments;

	switch (key) {
	case OPTION_OPERATOR:
		g_free(arguments->operator_name);
		arguments->operator_name = g_strdup(value);
		break;
	case OPTION_NUMBER:
		if (arguments_parse_change_number(value, &arguments->change_number) != CW_OK)
			argp_error(state, "%s", cw_last_error_message());
		break;
	case OPTION_DUE:
		parse->due = value;
		break;
	case OPTION_WAIT:
		arguments->wait = true;
		arguments->wait_timeout_ms = value ? parse_seconds("wait", value, state) : 0;
		break;
	case OPTION_JSON:
		arguments->json = true;
		break;
	case OPTION_SELECTOR:
		g_free(arguments->selector);
		arguments->selector = g_strdup(value);
		break;
	case OPTION_SERVICE:
		g_free(arguments->service);
		arguments->service = g_strdup(value);
		break;
	case OPTION_AT:
		parse_list(arguments->at_addresses, value);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	g_string_append_c(parse->given_options, (char)key);
	return 0;
}

/* Looks up a subcommand by name; exits the process when it does not exist. */
static subcommand_t find_subcommand(const char *name, struct argp_state *state)
{
	for (int i = 0; name && i < SUBCOMMAND_COUNT; i++)
		if (strcmp(subcommand_specs[i].name, name) == 0)
			return (subcommand_t)i;
	if (!name)
		argp_error(state, "missing command or query");
	argp_error(state, "unknown command or query \"%s\"", name);
	return SUBCOMMAND_COUNT;
}

/* Validates the number of operands and the options of the subcommand. */
static void check_subcommand(const parse_state_t *parse, struct argp_state *state)
{
	const subcommand_spec_t *spec = &subcommand_specs[parse->arguments->subcommand];
	guint count = parse->arguments->operands->len;

	if (count < spec->min_operands || count > spec->max_operands)
		argp_error(state, "%s: wrong number of operands", spec->name);
	for (size_t i = 0; i < parse->given_options->len; i++)
		if (!strchr(spec->options, parse->given_options->str[i]))
			argp_error(state, "%s does not accept the option -%c", spec->name,
				   parse->given_options->str[i]);
}

/* Validates the options that the subcommand book requires. */
static void check_book_options(const parse_state_t *parse, struct argp_state *state)
{
	arguments_t *arguments = parse->arguments;

	if (arguments->subcommand != SUBCOMMAND_BOOK)
		return;
	if (!arguments->change_number || !parse->due)
		argp_error(state, "book requires --number and --due");
	if (due_parse(parse->due, clock_utc_ms(), &arguments->due_ms) != CW_OK)
		argp_error(state, "%s", cw_last_error_message());
}

/* Loads the keys from a settings file, and the replica addresses unless --control is given. */
static void load_config(const parse_state_t *parse)
{
	arguments_t *arguments = parse->arguments;
	g_autoptr(GArray) replicas = NULL;
	cw_status_t status = settings_load_client(parse->config_file, &replicas, &arguments->keys);

	if (status != CW_OK) {
		fprintf(stderr, "carawayctl: %s: %s\n", cw_status_name(status), cw_last_error_message());
		exit((int)status);
	}
	for (guint i = 0; i < replicas->len && !parse->has_control; i++)
		g_ptr_array_add(arguments->control_addresses,
				g_strdup(g_array_index(replicas, control_replica_t, i).address));
}

/* Validates the command line as a whole and loads the settings file. */
static void finish_parsing(parse_state_t *parse, struct argp_state *state)
{
	arguments_t *arguments = parse->arguments;

	arguments->subcommand = find_subcommand(parse->subcommand_name, state);
	check_subcommand(parse, state);
	check_book_options(parse, state);
	if (arguments->subcommand == SUBCOMMAND_ACCOUNTS && !arguments->at_addresses->len)
		argp_error(state, "accounts requires --at: only proxies have accounts of callers");
	if (parse->config_file)
		load_config(parse);
	else
		arguments->keys = keys_new_insecure();
	if (!arguments->control_addresses->len && !arguments->at_addresses->len &&
	    arguments->subcommand != SUBCOMMAND_KEY && arguments->subcommand != SUBCOMMAND_DIGEST)
		argp_error(state, "--control or --config is required");
}

/* The argp callback, called for each option and operand. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	parse_state_t *parse = state->input;

	switch (key) {
	case OPTION_CONFIG:
		parse->config_file = value;
		return 0;
	case OPTION_CONTROL:
		parse_list(parse->arguments->control_addresses, value);
		parse->has_control = true;
		return 0;
	case OPTION_TIMEOUT:
		parse->arguments->timeout_ms = parse_seconds("timeout", value, state);
		return 0;
	case ARGP_KEY_ARG:
		store_operand(parse, value);
		return 0;
	case ARGP_KEY_END:
		finish_parsing(parse, state);
		return 0;
	default:
		return store_subcommand_option(parse, key, value, state);
	}
}

static const char args_doc[] =
	"book FILE --number N --due TIME\n"
	"review N\nwithdraw N\nlabel VM KEY=VALUE...\n"
	"changes\nshow N\ninforce\nstatus\ncounters\naccounts --at LIST\nkey FILE\ndigest SALT FILE";

static const char help_text[] =
	"Books, reviews and withdraws changes, labels VMs, and shows what is in force where.\v"
	"Commands: book, review, withdraw, label.  Queries: changes, show, inforce, status, counters, accounts.\n"
	"key generates a key pair: it writes the secret key to a new FILE and prints the public key.\n"
	"digest prints the digest of the client account's key in FILE, for the key-digests of a change file.\n\n"
	"Examples:\n"
	"  carawayctl -C 10.0.0.1:7101,10.0.0.2:7101 book pass.ini --number 12 --due 2026-12-24T06:00:00Z\n"
	"  carawayctl -c /etc/caraway/ctl.ini review 12 --wait\n"
	"  carawayctl -c /etc/caraway/ctl.ini label tabla-1 track=winter\n"
	"  carawayctl -c /etc/caraway/ctl.ini inforce --selector zone=eger --json\n";

/* Returns the operator name of commands when --operator is not given. */
static char *default_operator_name(void)
{
	const char *name = g_getenv("CARAWAY_OPERATOR");

	return g_strdup(name && *name ? name : g_get_user_name());
}

/* Parses the command line. */
arguments_t *arguments_parse(int argc, char **argv)
{
	const struct argp argp = {
		.options = options, .parser = parse_option, .args_doc = args_doc, .doc = help_text};
	arguments_t *arguments = g_new0(arguments_t, 1);
	parse_state_t parse = {.arguments = arguments, .given_options = g_string_new(NULL)};

	arguments->operands = g_ptr_array_new_with_free_func(g_free);
	arguments->control_addresses = g_ptr_array_new_with_free_func(g_free);
	arguments->at_addresses = g_ptr_array_new_with_free_func(g_free);
	arguments->operator_name = default_operator_name();
	arguments->selector = g_strdup("");
	arguments->service = g_strdup("");
	arguments->timeout_ms = DEFAULT_TIMEOUT_MS;
	argp_err_exit_status = CW_ERR_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
	g_string_free(parse.given_options, TRUE);
	return arguments;
}

/* Frees the parsed command line; NULL is allowed. */
void arguments_free(arguments_t *arguments)
{
	if (!arguments)
		return;
	g_ptr_array_unref(arguments->operands);
	g_ptr_array_unref(arguments->control_addresses);
	g_ptr_array_unref(arguments->at_addresses);
	keys_free(arguments->keys);
	g_free(arguments->operator_name);
	g_free(arguments->selector);
	g_free(arguments->service);
	g_free(arguments);
}
