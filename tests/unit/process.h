/* Child processes of a test, connected by pipes to their standard input and output. */
#ifndef PROCESS_H
#define PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

typedef struct {
	pid_t pid;     /* 0: not running */
	int stdin_fd;  /* write end of the pipe to its standard input */
	int stdout_fd; /* read end of the pipe from its standard output */
} process_t;

/* Returns the build folder: the closest one above this program with carawayd in it; the caller frees it. */
char *process_build_folder(void);
/* Starts a program of tests/tools in the build folder; the arguments end with NULL. */
void process_start(process_t *process, const char *tool, const char *const *arguments);
/* Reads one line of the process's output, without the newline; the caller frees it. */
char *process_read_line(process_t *process);
/* Writes a command line to the process and waits for its reply, which must be "ok". */
void process_send_command(process_t *process, const char *line);
void process_signal(const process_t *process, int signal_number);
/* Waits until the process has ended; returns whether it exited with status 0. */
bool process_wait(process_t *process);
/* Kills the process and reaps it; no effect if it is not running. */
void process_kill(process_t *process);

#endif
