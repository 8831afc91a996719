/* Processes that a test starts, each with its standard output and input as pipes. */
#ifndef PROCESS_H
#define PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

typedef struct {
	pid_t pid; /* 0: not running */
	int in;	   /* of the process, to write to */
	int out;   /* of the process, to read from */
} process_t;

/* Returns the build folder that this program runs from; the caller frees it. */
char *process_build_folder(void);
/* Starts a tool by its name in the build folder that this test runs from; the list of arguments ends with NULL. */
void process_start(process_t *process, const char *tool, const char *const *arguments);
/* Reads one line of its output, without the line's end; the caller frees it. */
char *process_read_line(process_t *process);
/* Writes a line to it and waits for the line that answers. */
void process_command(process_t *process, const char *line);
void process_signal(const process_t *process, int number);
/* Waits until it has ended; returns whether it ended by itself with status 0. */
bool process_wait(process_t *process);
/* Kills it when it runs. */
void process_kill(process_t *process);

#endif
