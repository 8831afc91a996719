/* Child processes of a test, connected by pipes to their standard input and output. */
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
		char *parent = g_path_get_dirname(folder);
		g_autofree char *daemon = g_build_filename(parent, "carawayd", NULL);

		g_assert_cmpstr(parent, !=, folder);
		g_free(folder);
		folder = parent;
		if (g_file_test(daemon, G_FILE_TEST_EXISTS))
			return folder;
	}
}

/* Replaces the forked child by the tool, which the kernel kills when the test process ends. */
static void exec_tool(const char *path, char **argv, const int *stdin_pipe, const int *stdout_pipe)
{
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(stdin_pipe[0], STDIN_FILENO);
	dup2(stdout_pipe[1], STDOUT_FILENO);
	execv(path, argv);
	_exit(EXIT_FAILURE);
}

void process_start(process_t *process, const char *tool, const char *const *arguments)
{
	g_autofree char *build = process_build_folder();
	g_autofree char *path = g_build_filename(build, "tests", "tools", tool, NULL);
	char **argv = g_new0(char *, g_strv_length((char **)arguments) + 2);
	int stdin_pipe[2], stdout_pipe[2];

	argv[0] = path;
	for (size_t i = 0; arguments[i]; i++)
		argv[i + 1] = (char *)arguments[i];
	g_assert_cmpint(pipe2(stdin_pipe, O_CLOEXEC), ==, 0);
	g_assert_cmpint(pipe2(stdout_pipe, O_CLOEXEC), ==, 0);
	process->pid = fork();
	if (process->pid == 0)
		exec_tool(path, argv, stdin_pipe, stdout_pipe);
	g_assert_cmpint(process->pid, >, 0);
	close(stdin_pipe[0]);
	close(stdout_pipe[1]);
	process->stdin_fd = stdin_pipe[1];
	process->stdout_fd = stdout_pipe[0];
	g_free(argv);
}

char *process_read_line(process_t *process)
{
	GString *line = g_string_new(NULL);
	char byte;

	while (read(process->stdout_fd, &byte, 1) == 1 && byte != '\n')
		g_string_append_c(line, byte);
	return g_string_free(line, FALSE);
}

void process_send_command(process_t *process, const char *line)
{
	g_autofree char *request = g_strdup_printf("%s\n", line);
	g_autofree char *reply = NULL;

	g_assert_cmpint(write(process->stdin_fd, request, strlen(request)), ==, (ssize_t)strlen(request));
	reply = process_read_line(process);
	g_assert_cmpstr(reply, ==, "ok");
}

void process_signal(const process_t *process, int signal_number)
{
	g_assert_cmpint(kill(process->pid, signal_number), ==, 0);
}

bool process_wait(process_t *process)
{
	int status = 0;

	if (!process->pid)
		return false;
	waitpid(process->pid, &status, 0);
	close(process->stdin_fd);
	close(process->stdout_fd);
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
