/* The daemon: runs one role per process, control replica or proxy, as its settings file says. */
#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>

#include "../platform/platform.h"
#include "log.h"
#include "run.h"

const char *argp_program_version = "carawayd 0.1";

typedef enum { TASK_NONE, TASK_RUN, TASK_CHECK, TASK_FORMAT } task_t;

typedef struct {
	task_t task;
	const char *file; /* path of the settings file */
} arguments_t;

/* Larger blocks are mapped one by one, so that the memory of long messages is returned when they are freed. */
enum { MMAP_THRESHOLD_BYTES = 256 * 1024 };

enum { OPTION_CHECK = 'k', OPTION_CONFIG = 'c', OPTION_FORMAT = 'f' };

static const struct argp_option options[] = {
	{"config", OPTION_CONFIG, "FILE", 0, "Run with the settings of FILE", 0},
	{"check-config", OPTION_CHECK, "FILE", 0, "Check the settings of FILE and exit", 0},
	{"format", OPTION_FORMAT, "FILE", 0,
	 "Write the initial state of a control replica into its empty data folder and exit", 0},
	{0},
};

static volatile sig_atomic_t stop;
static volatile sig_atomic_t reload;

/* Signal handler: requests a planned stop. */
static void request_stop(int signal_number)
{
	(void)signal_number;
	stop = 1;
}

/* Signal handler: requests a reload of the settings. */
static void request_reload(int signal_number)
{
	(void)signal_number;
	reload = 1;
}

/* Parses one option of the command line; exactly one task must be given. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	arguments_t *arguments = state->input;
	task_t task;

	switch (key) {
	case OPTION_CONFIG:
		task = TASK_RUN;
		break;
	case OPTION_CHECK:
		task = TASK_CHECK;
		break;
	case OPTION_FORMAT:
		task = TASK_FORMAT;
		break;
	case ARGP_KEY_ARG:
		argp_error(state, "unexpected argument \"%s\"", value);
		return 0;
	case ARGP_KEY_END:
		if (arguments->task == TASK_NONE)
			argp_error(state, "give --config, --check-config or --format");
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
	if (arguments->task != TASK_NONE)
		argp_error(state, "give only one of --config, --check-config and --format");
	arguments->task = task;
	arguments->file = value;
	return 0;
}

/*
 * Installs the signal handlers: SIGTERM and SIGINT request a planned stop, SIGHUP a reload of the settings.
 * SIGPIPE and SIGXFSZ are ignored: the write that causes one returns an error.
 */
static void install_signals(void)
{
	struct sigaction action = {.sa_handler = request_stop};

	sigemptyset(&action.sa_mask);
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	action.sa_handler = request_reload;
	sigaction(SIGHUP, &action, NULL);
	action.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &action, NULL);
	sigaction(SIGXFSZ, &action, NULL);
}

/* Runs the role that the settings name until a planned stop. */
static cw_status_t run_role(const settings_t *settings, const char *file)
{
	const run_signals_t signals = {.stop = &stop, .reload = &reload, .settings_path = file};

	switch (settings->role) {
	case ROLE_CONTROL:
		return control_run(settings, &platform_gateway, &signals);
	case ROLE_PROXY:
		return proxy_run(settings, &platform_gateway, &signals);
	}
	return CW_ERR_INTERNAL;
}

/* Writes the initial state of a control replica to its data folder. */
static cw_status_t format_data_folder(const settings_t *settings, const char *file)
{
	if (settings->role != ROLE_CONTROL)
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [process] role: only a control replica has a data folder", file);
	return control_format_data_folder(settings);
}

/* Runs the task of the command line; the settings have been checked. */
static cw_status_t run_task(const arguments_t *arguments, const settings_t *settings)
{
	cw_status_t status = log_init("carawayd", settings->log_level);

	if (status != CW_OK || arguments->task == TASK_CHECK)
		return status;
	if (arguments->task == TASK_FORMAT)
		return format_data_folder(settings, arguments->file);
	install_signals();
	return run_role(settings, arguments->file);
}

/* Loads the settings and runs the task; the exit status is the cw_status_t of the outcome. */
int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Control replica or proxy of a carawaygrade mesh, as its settings file says.\v"
		       "Example: carawayd --check-config /etc/caraway/proxy.ini",
	};
	arguments_t arguments = {0};
	settings_t *settings = NULL;

	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	argp_err_exit_status = CW_ERR_USAGE;
	argp_parse(&argp, argc, argv, 0, NULL, &arguments);

	cw_status_t status = settings_load(arguments.file, &settings);
	if (status == CW_OK)
		status = run_task(&arguments, settings);
	if (status != CW_OK)
		fprintf(stderr, "carawayd: %s: %s\n", cw_status_name(status), cw_last_error_message());
	settings_free(settings);
	return (int)status;
}
