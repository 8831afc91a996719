/* Tables of text with aligned columns. */
#ifndef TABLE_H
#define TABLE_H

#include <glib.h>

typedef struct table table_t;

/* headings: NULL-terminated. */
table_t *table_new(const char *const *headings);
void table_free(table_t *table);
/* Adds a row of as many cells (char *) as there are headings; takes them over. */
void table_add(table_t *table, char **cells);
/* Appends the table to out, a line for the headings and one for each row. */
void table_render(const table_t *table, GString *out);

#endif
