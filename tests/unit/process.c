/* Processes that a test starts, each with its standard output and input as pipes. */
#include "process.h"

#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* Returns the path of a tool beside this test's folder. */
static char *tool_path(const char *tool)
{
	g_autofree char *self = g_file_read_link("/proc/self/exe", NULL);
	g_autofree char *folder = g_path_get_dirname(self);

	return g_build_filename(folder, "..", "tools", tool, NULL);
}

/* Becomes the tool; it dies with its parent. */
static void run_tool(const char *path, char **argv, const int *in, const int *out)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(in[0], STDIN_FILENO);
	dup2(out[1], STDOUT_FILENO);
	execv(path, argv);
	_exit(EXIT_FAILURE);
}

void process_start(process_t *process, const char *tool, const char *const *arguments)
{
	g_autofree char *path = tool_path(tool);
	char **argv = g_new0(char *, g_strv_length((char **)arguments) + 2);
	int in[2], out[2];

	argv[0] = path;
	for (size_t i = 0; arguments[i]; i++)
		argv[i + 1] = (char *)arguments[i];
	ck_assert_int_eq(pipe2(in, O_CLOEXEC), 0);
	ck_assert_int_eq(pipe2(out, O_CLOEXEC), 0);
	process->pid = fork();
	if (process->pid == 0)
		run_tool(path, argv, in, out);
	ck_assert_int_gt(process->pid, 0);
	close(in[0]);
	close(out[1]);
	process->in = in[1];
	process->out = out[0];
	g_free(argv);
}

char *process_read_line(process_t *process)
{
	GString *line = g_string_new(NULL);
	char byte;

	while (read(process->out, &byte, 1) == 1 && byte != '\n')
		g_string_append_c(line, byte);
	return g_string_free(line, FALSE);
}

void process_command(process_t *process, const char *line)
{
	g_autofree char *whole = g_strdup_printf("%s\n", line);
	g_autofree char *answer = NULL;

	ck_assert_int_eq(write(process->in, whole, strlen(whole)), (ssize_t)strlen(whole));
	answer = process_read_line(process);
	ck_assert_str_eq(answer, "ok");
}

void process_signal(const process_t *process, int number)
{
	ck_assert_int_eq(kill(process->pid, number), 0);
}

bool process_wait(process_t *process)
{
	int status = 0;

	if (!process->pid)
		return false;
	waitpid(process->pid, &status, 0);
	close(process->in);
	close(process->out);
	process->pid = 0;
	return WIFEXITED(status) && WEXITSTATUS(status) == EXIT_SUCCESS;
}

void process_kill(process_t *process)
{
	if (!process->pid)
		return;
	kill(process->pid, SIGKILL);
	process_wait(process);
}
