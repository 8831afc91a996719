/* Text tables with aligned columns. */
#include "table.h"

enum { COLUMN_GAP = 2 };

struct table {
	GPtrArray *rows; /* char **, the headings first */
	guint columns;
};

/* Creates a table with its headings. */
table_t *table_new(const char *const *headings)
{
	table_t *table = g_new0(table_t, 1);

	table->rows = g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
	table->columns = g_strv_length((char **)headings);
	g_ptr_array_add(table->rows, g_strdupv((char **)headings));
	return table;
}

/* Frees a table; NULL is allowed. */
void table_free(table_t *table)
{
	if (!table)
		return;
	g_ptr_array_unref(table->rows);
	g_free(table);
}

/* Adds a row; takes ownership of the cells. */
void table_add(table_t *table, char **cells)
{
	g_assert(g_strv_length(cells) == table->columns);
	g_ptr_array_add(table->rows, cells);
}

/* Returns the width of a column, in characters. */
static glong column_width(const table_t *table, guint column)
{
	glong width = 0;

	for (guint i = 0; i < table->rows->len; i++) {
		char **row = g_ptr_array_index(table->rows, i);
		width = MAX(width, g_utf8_strlen(row[column], -1));
	}
	return width;
}

/* Appends one row; the last column is not padded. */
static void render_row(const table_t *table, char **row, const glong *widths, GString *out)
{
	for (guint column = 0; column < table->columns; column++) {
		glong padding = widths[column] + COLUMN_GAP - g_utf8_strlen(row[column], -1);

		g_string_append(out, row[column]);
		if (column + 1 < table->columns)
			g_string_append_printf(out, "%*s", (int)padding, "");
	}
	g_string_append_c(out, '\n');
}

/* Appends the table to out. */
void table_render(const table_t *table, GString *out)
{
	glong *widths = g_new(glong, table->columns);

	for (guint column = 0; column < table->columns; column++)
		widths[column] = column_width(table, column);
	for (guint i = 0; i < table->rows->len; i++)
		render_row(table, g_ptr_array_index(table->rows, i), widths, out);
	g_free(widths);
}
