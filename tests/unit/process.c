/* Processes that a test starts, each with its standard output and input as pipes. */
#include "process.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

char *process_build_folder(void)
{
	char *folder = g_file_read_link("/proc/self/exe", NULL);

	for (;;) {
		char *above = g_path_get_dirname(folder);
		g_autofree char *daemon = g_build_filename(above, "carawayd", NULL);

		g_assert_cmpstr(above, !=, folder);
		g_free(folder);
		folder = above;
		if (g_file_test(daemon, G_FILE_TEST_EXISTS))
			return folder;
	}
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
	g_autofree char *build = process_build_folder();
	g_autofree char *path = g_build_filename(build, "tests", "tools", tool, NULL);
	char **argv = g_new0(char *, g_strv_length((char **)arguments) + 2);
	int in[2], out[2];

	argv[0] = path;
	for (size_t i = 0; arguments[i]; i++)
		argv[i + 1] = (char *)arguments[i];
	g_assert_cmpint(pipe2(in, O_CLOEXEC), ==, 0);
	g_assert_cmpint(pipe2(out, O_CLOEXEC), ==, 0);
	process->pid = fork();
	if (process->pid == 0)
		run_tool(path, argv, in, out);
	g_assert_cmpint(process->pid, >, 0);
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

	g_assert_cmpint(write(process->in, whole, strlen(whole)), ==, (ssize_t)strlen(whole));
	answer = process_read_line(process);
	g_assert_cmpstr(answer, ==, "ok");
}

void process_signal(const process_t *process, int number)
{
	g_assert_cmpint(kill(process->pid, number), ==, 0);
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
