/*
 * Fits straight lines to measurements.  Reads JSON lines and groups them by
 * their texts; each number of a group is fitted over the sizes but the
 * largest, which is then compared with the line.  Prints a Markdown table.
 */
#include <argp.h>
#include <glib.h>
#include <gsl/gsl_fit.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { LINE_BYTES = 65536, MIN_POINTS = 3, PERCENT = 100 };

typedef struct {
	double size;
	double sum;
	unsigned count;
} point_t;

typedef struct {
	char *name;
	GArray *points; /* point_t, one for each size */
} series_t;

typedef struct {
	const char *size_key;
	double aim;
} arguments_t;

static const struct argp_option options[] = {
	{"size", 's', "NAME", 0, "Member that holds the size", 0},
	{"aim", 'a', "N", 0, "Size to extend the lines to", 0},
	{0},
};

/* Takes one option of the command line. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 's':
		arguments->size_key = value;
		return 0;
	case 'a':
		arguments->aim = strtod(value, NULL);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Returns the texts of a line, joined: what its numbers have in common. */
static char *group_name(json_t *line)
{
	GString *name = g_string_new(NULL);
	const char *key;
	json_t *value;

	json_object_foreach (line, key, value)
		if (json_is_string(value))
			g_string_append_printf(name, "%s%s", name->len ? " " : "", json_string_value(value));
	return g_string_free(name, FALSE);
}

/* Returns the series of a name, made when it is new. */
static series_t *find_series(GPtrArray *all, const char *name)
{
	series_t *series;

	for (guint i = 0; i < all->len; i++) {
		series = g_ptr_array_index(all, i);
		if (!strcmp(series->name, name))
			return series;
	}
	series = g_new0(series_t, 1);
	series->name = g_strdup(name);
	series->points = g_array_new(FALSE, FALSE, sizeof(point_t));
	g_ptr_array_add(all, series);
	return series;
}

/* Adds a value to the mean of its size. */
static void add_value(series_t *series, double size, double value)
{
	point_t point = {.size = size, .sum = value, .count = 1};

	for (guint i = 0; i < series->points->len; i++) {
		point_t *held = &g_array_index(series->points, point_t, i);

		if (held->size != size)
			continue;
		held->sum += value;
		held->count++;
		return;
	}
	g_array_append_val(series->points, point);
}

/* Adds every number of a line to its series. */
static void add_line(GPtrArray *all, const char *size_key, json_t *line)
{
	json_t *size = json_object_get(line, size_key);
	g_autofree char *group = group_name(line);
	const char *key;
	json_t *value;

	if (!json_is_number(size))
		return;
	json_object_foreach (line, key, value) {
		g_autofree char *name = g_strdup_printf("%s, %s", group, key);

		if (json_is_number(value) && value != size && strcmp(key, "count") != 0)
			add_value(find_series(all, name), json_number_value(size), json_number_value(value));
	}
}

/* Orders points by their sizes. */
static gint compare_points(gconstpointer a, gconstpointer b)
{
	double left = ((const point_t *)a)->size;
	double right = ((const point_t *)b)->size;

	return (left > right) - (left < right);
}

/* Fits the points but the largest and prints the row of a series. */
static void print_series(const series_t *series, double aim)
{
	guint fitted = series->points->len - 1;
	g_autofree double *sizes = g_new(double, series->points->len);
	g_autofree double *values = g_new(double, series->points->len);
	double base, slope, cov00, cov01, cov11, squares;
	double predicted, error;

	g_array_sort(series->points, compare_points);
	for (guint i = 0; i <= fitted; i++) {
		const point_t *point = &g_array_index(series->points, point_t, i);

		sizes[i] = point->size;
		values[i] = point->sum / point->count;
	}
	gsl_fit_linear(sizes, 1, values, 1, fitted, &base, &slope, &cov00, &cov01, &cov11, &squares);
	predicted = base + slope * sizes[fitted];
	error = values[fitted] != 0 ? PERCENT * (predicted - values[fitted]) / values[fitted] : 0;
	printf("| %s | %.4g | %.4g | %.0f: %.4g | %.4g | %+.0f%% | %.4g |\n", series->name, base, slope,
	       sizes[fitted], predicted, values[fitted], error, base + slope * aim);
}

/* Reads the lines, then prints a row for each series with points enough. */
int main(int argc, char **argv)
{
	const struct argp argp = {.options = options,
				  .parser = parse_option,
				  .doc = "Fits straight lines to the JSON lines of standard input."};
	arguments_t arguments = {.size_key = "proxies", .aim = 0};
	GPtrArray *all = g_ptr_array_new();
	char text[LINE_BYTES];

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	while (fgets(text, sizeof(text), stdin)) {
		json_t *line = json_loads(text, 0, NULL);

		if (json_is_object(line))
			add_line(all, arguments.size_key, line);
		json_decref(line);
	}
	printf("| What | At 0 | Slope | By the line at the largest | Measured there | Error | At %.0f |\n",
	       arguments.aim);
	printf("| --- | --- | --- | --- | --- | --- | --- |\n");
	for (guint i = 0; i < all->len; i++) {
		const series_t *series = g_ptr_array_index(all, i);

		if (series->points->len > MIN_POINTS)
			print_series(series, arguments.aim);
	}
	return EXIT_SUCCESS;
}
