/*
 * Runs test scripts and compares their output with the expected output.
 *
 * A script is a text file.  A line "> COMMAND [ARGUMENT...]" is a command and the lines up to the next
 * command are its expected output.  Lines that start with "#" are comments.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <check.h>
#include <glib.h>

/* Executes one command and appends its output to out as complete lines. */
typedef void (*script_command_t)(void *data, int argc, char **argv, GString *out);

/* Runs a script; describes the first difference, owned by the caller, or returns NULL if there is none. */
char *script_run(const char *file, script_command_t command, void *data);
/* Runs the script at an index of script_list(folder); fails the calling test when the output differs. */
void script_assert(const char *folder, int script_index, script_command_t command, void *data);
/* Runs a test once per script of a folder; returns the exit status, a failure if there are no scripts. */
int script_main(const char *folder, const TTest *test, double timeout_s);
/* Runs a suite; returns the exit status of the program, a failure if any test failed. */
int script_run_suite(Suite *suite);
/* Returns the sorted paths of the "*.script" files of a folder; the array owns the strings (char *). */
GPtrArray *script_list(const char *folder);

#endif
