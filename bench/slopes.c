/*
 * Fits straight lines to measurements.  Reads JSON lines from standard input and
 * groups them by their string members.  Each numeric member of a group is fitted
 * against the size, without the largest size, and the value measured there is
 * then compared with the prediction.  Prints a Markdown table.
 */
#include <argp.h>
#include <glib.h>
#include <gsl/gsl_fit.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_LINE_BYTES = 65536, MIN_FITTED_POINTS = 3, PERCENT = 100 };

/* The values measured at one size. */
typedef struct {
	double size;
	double sum;
	unsigned count;
} point_t;

/* The values of one numeric member in one group. */
typedef struct {
	char *name;
	GArray *points; /* point_t, one per size */
} series_t;

/* Command-line arguments. */
typedef struct {
	const char *size_key; /* key of the member that is the size */
	double extrapolate_to;
} arguments_t;

static const struct argp_option options[] = {
	{"size", 's', "NAME", 0, "Key of the member that is the size", 0},
	{"aim", 'a', "N", 0, "Size to extrapolate to", 0},
	{0},
};

/* Stores one command-line option, for argp. */
static error_t parse_option(int key, char *value, struct argp_state *state)
{
	arguments_t *arguments = state->input;

	switch (key) {
	case 's':
		arguments->size_key = value;
		return 0;
	case 'a':
		arguments->extrapolate_to = strtod(value, NULL);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Returns the string members of a line, joined by spaces. */
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

/* Returns the series of a name; adds one if there is none. */
static series_t *find_series(GPtrArray *series_list, const char *name)
{
	series_t *series;

	for (guint i = 0; i < series_list->len; i++) {
		series = g_ptr_array_index(series_list, i);
		if (!strcmp(series->name, name))
			return series;
	}
	series = g_new0(series_t, 1);
	series->name = g_strdup(name);
	series->points = g_array_new(FALSE, FALSE, sizeof(point_t));
	g_ptr_array_add(series_list, series);
	return series;
}

/* Adds a value to the point of its size; adds a point if there is none. */
static void add_value(series_t *series, double size, double value)
{
	point_t new_point = {.size = size, .sum = value, .count = 1};

	for (guint i = 0; i < series->points->len; i++) {
		point_t *point = &g_array_index(series->points, point_t, i);

		if (point->size != size)
			continue;
		point->sum += value;
		point->count++;
		return;
	}
	g_array_append_val(series->points, new_point);
}

/* Adds each numeric member of a line to its series, but not the size nor "count", a number of operations. */
static void add_line(GPtrArray *series_list, const char *size_key, json_t *line)
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
			add_value(find_series(series_list, name), json_number_value(size),
				  json_number_value(value));
	}
}

/* Comparison function for g_array_sort(): orders points by size. */
static gint compare_points(gconstpointer a, gconstpointer b)
{
	double left = ((const point_t *)a)->size;
	double right = ((const point_t *)b)->size;

	return (left > right) - (left < right);
}

/* Fits the points except the largest and prints the table row of a series. */
static void print_series(const series_t *series, double extrapolate_to)
{
	guint fitted_count = series->points->len - 1;
	g_autofree double *sizes = g_new(double, series->points->len);
	g_autofree double *values = g_new(double, series->points->len);
	double intercept, slope, cov00, cov01, cov11, squares;
	double predicted, error;

	g_array_sort(series->points, compare_points);
	for (guint i = 0; i <= fitted_count; i++) {
		const point_t *point = &g_array_index(series->points, point_t, i);

		sizes[i] = point->size;
		values[i] = point->sum / point->count;
	}
	gsl_fit_linear(sizes, 1, values, 1, fitted_count, &intercept, &slope, &cov00, &cov01, &cov11,
		       &squares);
	predicted = intercept + slope * sizes[fitted_count];
	error = values[fitted_count] != 0
			? PERCENT * (predicted - values[fitted_count]) / values[fitted_count]
			: 0;
	printf("| %s | %.4g | %.4g | %.0f: %.4g | %.4g | %+.0f%% | %.4g |\n", series->name, intercept, slope,
	       sizes[fitted_count], predicted, values[fitted_count], error,
	       intercept + slope * extrapolate_to);
}

/* Reads the lines, then prints a row for each series with enough points. */
int main(int argc, char **argv)
{
	const struct argp argp = {
		.options = options,
		.parser = parse_option,
		.doc = "Fits straight lines to the numbers in JSON lines on standard input."};
	arguments_t arguments = {.size_key = "proxies", .extrapolate_to = 0};
	GPtrArray *series_list = g_ptr_array_new();
	char line_text[MAX_LINE_BYTES];

	argp_parse(&argp, argc, argv, 0, NULL, &arguments);
	while (fgets(line_text, sizeof(line_text), stdin)) {
		json_t *line = json_loads(line_text, 0, NULL);

		if (json_is_object(line))
			add_line(series_list, arguments.size_key, line);
		json_decref(line);
	}
	printf("| What | At 0 | Slope | Predicted at the largest size | Measured there | Error | At %.0f |\n",
	       arguments.extrapolate_to);
	printf("| --- | --- | --- | --- | --- | --- | --- |\n");
	for (guint i = 0; i < series_list->len; i++) {
		const series_t *series = g_ptr_array_index(series_list, i);

		if (series->points->len > MIN_FITTED_POINTS)
			print_series(series, arguments.extrapolate_to);
	}
	return EXIT_SUCCESS;
}
