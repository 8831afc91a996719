/*
 * Scripted runs with expected output.
 *
 * A script is a text file: a line "> WORD ..." is a command, the lines up to
 * the next command are the output expected of it; "# ..." lines are comments.
 */
#ifndef SCRIPT_H
#define SCRIPT_H

#include <glib.h>

/* Carries out one command and appends its output, whole lines, to out. */
typedef void (*script_command_t)(void *data, int argc, char **argv, GString *out);

/* Runs every command of a file; returns a difference to print, owned by the caller, or NULL when all agree. */
char *script_run(const char *file, script_command_t command, void *data);
/* Returns the names of the "*.script" files of a folder, sorted; char *, freed with the array. */
GPtrArray *script_list(const char *folder);

#endif
