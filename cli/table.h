/* Text tables with aligned columns. */
#ifndef TABLE_H
#define TABLE_H

#include <glib.h>

typedef struct table table_t;

/* headings is NULL-terminated. */
table_t *table_new(const char *const *headings);
void table_free(table_t *table);
/* Adds a NULL-terminated row with one cell per heading; takes ownership of the cells. */
void table_add(table_t *table, char **cells);
/* Appends the table to out, with one line for the headings and one per row. */
void table_render(const table_t *table, GString *out);

#endif
