/* The command line of carawayctl. */
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
	{"config", OPTION_CONFIG, "FILE", 0, "Take [control-replicas] and [keys] from a settings file", 1},
	{"control", OPTION_CONTROL, "HOST:PORT[,...]", 0, "Addresses of the control replicas", 1},
	{"timeout", OPTION_TIMEOUT, "SECONDS", 0, "Longest wait for an answer (10)", 1},
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
	 "Ask these processes instead, control replicas or the feed ports of proxies", 3},
	{0},
};

/* A verb, how many operands it takes, and the options that belong to it. */
typedef struct {
	const char *word;
	guint least;
	guint most;
	const char *options;
} verb_rule_t;

static const verb_rule_t verb_rules[VERB_COUNT] = {
	[VERB_BOOK] = {"book", 1, 1, "ondwj"},	    [VERB_REVIEW] = {"review", 1, 1, "owj"},
	[VERB_WITHDRAW] = {"withdraw", 1, 1, "oj"}, [VERB_LABEL] = {"label", 2, G_MAXUINT, "owj"},
	[VERB_CHANGES] = {"changes", 0, 0, "j"},    [VERB_SHOW] = {"show", 1, 1, "j"},
	[VERB_IN_FORCE] = {"inforce", 0, 0, "jsS"}, [VERB_STATUS] = {"status", 0, 0, "ja"},
	[VERB_COUNTERS] = {"counters", 0, 0, "ja"}, [VERB_KEY] = {"key", 1, 1, ""},
};

/* What the parser gathers before it is checked as a whole. */
typedef struct {
	arguments_t *arguments;
	GString *given; /* option letters that belong to verbs */
	const char *config;
	const char *word;
	const char *due;
	bool has_control;
} parse_t;

/* Replaces a list by the parts of a comma-separated text. */
static void set_list(GPtrArray *list, const char *text)
{
	g_auto(GStrv) parts = g_strsplit(text, ",", -1);

	g_ptr_array_set_size(list, 0);
	for (size_t i = 0; parts[i]; i++)
		if (*parts[i])
			g_ptr_array_add(list, g_strdup(parts[i]));
}

/* Reads a whole number of seconds into milliseconds. */
static uint32_t parse_seconds(const char *name, const char *text, struct argp_state *state)
{
	guint64 seconds = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 1, MAX_SECONDS, &seconds, NULL))
		argp_error(state, "--%s %s: give whole seconds from 1 to %d", name, text, MAX_SECONDS);
	return (uint32_t)(seconds * MS_PER_S);
}

/* Reads a change's number.  CW_ERR_USAGE. */
cw_status_t arguments_number(const char *text, uint64_t *number)
{
	guint64 value = 0;

	if (!g_ascii_string_to_unsigned(text, 10, 1, G_MAXINT64, &value, NULL))
		return cw_fail(CW_ERR_USAGE, "\"%s\" is no change number; give a whole number from 1 on",
			       text);
	*number = value;
	return CW_OK;
}

/* Takes the verb or one of its operands. */
static void take_operand(parse_t *parse, const char *text)
{
	if (!parse->word)
		parse->word = text;
	else
		g_ptr_array_add(parse->arguments->operands, g_strdup(text));
}

/* Takes an option that belongs to certain verbs. */
static error_t take_verb_option(parse_t *parse, int key, char *value, struct argp_state *state)
{
	arguments_t *arguments = parse->arguments;

	switch (key) {
	case OPTION_OPERATOR:
		g_free(arguments->operator_name);
		arguments->operator_name = g_strdup(value);
		break;
	case OPTION_NUMBER:
		if (arguments_number(value, &arguments->number) != CW_OK)
			argp_error(state, "%s", cw_last_error_message());
		break;
	case OPTION_DUE:
		parse->due = value;
		break;
	case OPTION_WAIT:
		arguments->wait = true;
		arguments->wait_ms = value ? parse_seconds("wait", value, state) : 0;
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
		set_list(arguments->at, value);
		break;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	g_string_append_c(parse->given, (char)key);
	return 0;
}

/* Finds the verb of a word; ends the process when there is none. */
static verb_t find_verb(const char *word, struct argp_state *state)
{
	for (int verb = 0; word && verb < VERB_COUNT; verb++)
		if (strcmp(verb_rules[verb].word, word) == 0)
			return (verb_t)verb;
	if (!word)
		argp_error(state, "give a command or a query");
	argp_error(state, "unknown command or query \"%s\"", word);
	return VERB_COUNT;
}

/* Checks operands and options against what the verb takes. */
static void check_verb(const parse_t *parse, struct argp_state *state)
{
	const verb_rule_t *rule = &verb_rules[parse->arguments->verb];
	guint count = parse->arguments->operands->len;

	if (count < rule->least || count > rule->most)
		argp_error(state, "%s: wrong number of operands", rule->word);
	for (size_t i = 0; i < parse->given->len; i++)
		if (!strchr(rule->options, parse->given->str[i]))
			argp_error(state, "%s does not take the option -%c", rule->word,
				   parse->given->str[i]);
}

/* Checks what booking needs besides the file. */
static void check_booking(const parse_t *parse, struct argp_state *state)
{
	arguments_t *arguments = parse->arguments;

	if (arguments->verb != VERB_BOOK)
		return;
	if (!arguments->number || !parse->due)
		argp_error(state, "book needs --number and --due");
	if (due_parse(parse->due, clock_utc_ms(), &arguments->due_ms) != CW_OK)
		argp_error(state, "%s", cw_last_error_message());
}

/* Takes the keys, and unless the command line has them the addresses of the replicas, from a settings file. */
static void load_config(const parse_t *parse)
{
	arguments_t *arguments = parse->arguments;
	g_autoptr(GArray) controls = NULL;
	cw_status_t status = settings_load_client(parse->config, &controls, &arguments->keys);

	if (status != CW_OK) {
		fprintf(stderr, "carawayctl: %s: %s\n", cw_status_name(status), cw_last_error_message());
		exit((int)status);
	}
	for (guint i = 0; i < controls->len && !parse->has_control; i++)
		g_ptr_array_add(arguments->controls,
				g_strdup(g_array_index(controls, control_replica_t, i).address));
}

/* Checks the whole command line once it is read. */
static void finish(parse_t *parse, struct argp_state *state)
{
	arguments_t *arguments = parse->arguments;

	arguments->verb = find_verb(parse->word, state);
	check_verb(parse, state);
	check_booking(parse, state);
	if (parse->config)
		load_config(parse);
	else
		arguments->keys = keys_new_insecure();
	if (!arguments->controls->len && !arguments->at->len && arguments->verb != VERB_KEY)
		argp_error(state, "give --control or --config");
}

/* Takes one option or operand. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	parse_t *parse = state->input;

	switch (key) {
	case OPTION_CONFIG:
		parse->config = value;
		return 0;
	case OPTION_CONTROL:
		set_list(parse->arguments->controls, value);
		parse->has_control = true;
		return 0;
	case OPTION_TIMEOUT:
		parse->arguments->timeout_ms = parse_seconds("timeout", value, state);
		return 0;
	case ARGP_KEY_ARG:
		take_operand(parse, value);
		return 0;
	case ARGP_KEY_END:
		finish(parse, state);
		return 0;
	default:
		return take_verb_option(parse, key, value, state);
	}
}

static const char usage[] = "book FILE --number N --due TIME\n"
			    "review N\nwithdraw N\nlabel VM KEY=VALUE...\n"
			    "changes\nshow N\ninforce\nstatus\ncounters\nkey FILE";

static const char help[] =
	"Books, reviews and withdraws changes, labels VMs, and tells what is in force where.\v"
	"Commands: book, review, withdraw, label.  Queries: changes, show, inforce, status, counters.\n"
	"key makes a key pair: the secret one in a new FILE, the public one printed.\n\n"
	"Examples:\n"
	"  carawayctl -C 10.0.0.1:7101,10.0.0.2:7101 book pass.ini --number 12 --due 2026-12-24T06:00:00Z\n"
	"  carawayctl -c /etc/caraway/ctl.ini review 12 --wait\n"
	"  carawayctl -c /etc/caraway/ctl.ini label tabla-1 track=winter\n"
	"  carawayctl -c /etc/caraway/ctl.ini inforce --selector zone=eger --json\n";

/* Returns the name that commands are given under when none is on the command line. */
static char *default_operator(void)
{
	const char *name = g_getenv("CARAWAY_OPERATOR");

	return g_strdup(name && *name ? name : g_get_user_name());
}

/* Reads the command line. */
arguments_t *arguments_parse(int argc, char **argv)
{
	const struct argp argp = {.options = options, .parser = parse_option, .args_doc = usage, .doc = help};
	arguments_t *arguments = g_new0(arguments_t, 1);
	parse_t parse = {.arguments = arguments, .given = g_string_new(NULL)};

	arguments->operands = g_ptr_array_new_with_free_func(g_free);
	arguments->controls = g_ptr_array_new_with_free_func(g_free);
	arguments->at = g_ptr_array_new_with_free_func(g_free);
	arguments->operator_name = default_operator();
	arguments->selector = g_strdup("");
	arguments->service = g_strdup("");
	arguments->timeout_ms = DEFAULT_TIMEOUT_MS;
	argp_err_exit_status = CW_ERR_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &parse);
	g_string_free(parse.given, TRUE);
	return arguments;
}

/* Frees the command line; NULL is allowed. */
void arguments_free(arguments_t *arguments)
{
	if (!arguments)
		return;
	g_ptr_array_unref(arguments->operands);
	g_ptr_array_unref(arguments->controls);
	g_ptr_array_unref(arguments->at);
	keys_free(arguments->keys);
	g_free(arguments->operator_name);
	g_free(arguments->selector);
	g_free(arguments->service);
	g_free(arguments);
}
