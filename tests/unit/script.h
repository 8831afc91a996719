/*
 * Scripted runs with expected output.
 *
 * A script is a text file: a line "> WORD ..." is a command, the lines up to
 * the next command are the output expected of it; "# ..." lines are comments.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <check.h>
#include <glib.h>

/* Carries out one command and appends its output, whole lines, to out. */
typedef void (*script_command_t)(void *data, int argc, char **argv, GString *out);

/* Runs every command of a file; returns a difference to print, owned by the caller, or NULL when all agree. */
char *script_run(const char *file, script_command_t command, void *data);
/* Fails the test that calls it when a file of a folder, by its place in the list, differs from its run. */
void script_check(const char *folder, int place, script_command_t command, void *data);
/* Runs a test once for each script of a folder; returns the exit status of the program, which fails without scripts. */
int script_main(const char *folder, const TTest *test, double timeout_s);
/* Runs a suite and returns the exit status of the program. */
int script_run_suite(Suite *suite);
/* Returns the names of the "*.script" files of a folder, sorted; char *, freed with the array. */
GPtrArray *script_list(const char *folder);

#endif
