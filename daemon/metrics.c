/* Serves counters and latency histograms over HTTP in the Prometheus text format. */
#include "metrics.h"

#include <inttypes.h>
#include <string.h>

#include "counters.h"
#include "headers.h"
#include "histogram.h"
#include "http_server.h"

#define METRICS_PATH "/metrics"

enum {
	MAX_HEADER_BYTES = 8192,
	MAX_BODY_BYTES = 0,
	HEADER_TIMEOUT_MS = 5000,
	IDLE_TIMEOUT_MS = 30000,
	MAX_CONNECTIONS = 8, /* several collectors may scrape concurrently */
	STATUS_OK = 200,
	STATUS_NOT_FOUND = 404
};

struct metrics {
	http_server_t *server;
};

/* Appends a counter; Prometheus names cannot contain hyphens. */
static void render_counter(GString *out, counter_t counter)
{
	g_autofree char *name = g_strdup(counter_name(counter));

	g_strdelimit(name, "-", '_');
	g_string_append_printf(out, "caraway_%s_total %" PRIu64 "\n", name, counter_value(counter));
}

/* Appends a histogram: cumulative bucket counts, then the sum and the count of all values. */
static void render_histogram(GString *out, histogram_t histogram)
{
	const char *name = histogram_name(histogram);
	uint64_t count = 0;

	g_string_append_printf(out, "# HELP caraway_%s Milliseconds %s.\n# TYPE caraway_%s histogram\n", name,
			       histogram_help(histogram), name);
	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		count += histogram_bucket_count(histogram, i);
		if (histogram_bucket_bound_ms(i) == INT64_MAX)
			g_string_append_printf(out, "caraway_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n", name,
					       count);
		else
			g_string_append_printf(out, "caraway_%s_bucket{le=\"%" PRId64 "\"} %" PRIu64 "\n",
					       name, histogram_bucket_bound_ms(i), count);
	}
	g_string_append_printf(out, "caraway_%s_sum %" PRIu64 "\ncaraway_%s_count %" PRIu64 "\n", name,
			       histogram_sum_ms(histogram), name, count);
}

/* Appends every counter and histogram. */
void metrics_render(GString *out)
{
	for (counter_t counter = 0; counter < COUNTER_COUNT; counter++)
		render_counter(out, counter);
	for (histogram_t histogram = 0; histogram < HISTOGRAM_COUNT; histogram++)
		render_histogram(out, histogram);
}

/* Handles a request; the response is sent immediately. */
static void on_request(void *data, http_exchange_t *exchange)
{
	const http_message_t *request = http_exchange_request(exchange);
	bool found = !strcmp(request->method, "GET") && !strcmp(request->request_target, METRICS_PATH);
	g_autoptr(GString) text = g_string_new(NULL);
	g_autoptr(GPtrArray) headers = g_ptr_array_new_with_free_func(cw_message_free);
	http_response_t response = {.status = found ? STATUS_OK : STATUS_NOT_FOUND};

	(void)data;
	if (found)
		metrics_render(text);
	else
		g_string_append(text, "only " METRICS_PATH " is served here\n");
	g_ptr_array_add(headers, headers_new("Content-Type", "text/plain; version=0.0.4"));
	response.headers = (Caraway__Header *const *)headers->pdata;
	response.header_count = headers->len;
	response.body = text->str;
	response.body_length = text->len;
	http_exchange_respond(exchange, &response);
}

/* Handles a client that disconnects: does nothing, as no request stays open after on_request(). */
static void on_disconnect(void *data, http_exchange_t *exchange)
{
	(void)data;
	(void)exchange;
}

/* Binds the port and serves /metrics. */
cw_status_t metrics_open(poller_t *poller, const char *address, metrics_t **out)
{
	static const http_server_limits_t limits = {.max_header_bytes = MAX_HEADER_BYTES,
						    .max_body_bytes = MAX_BODY_BYTES,
						    .header_timeout_ms = HEADER_TIMEOUT_MS,
						    .idle_timeout_ms = IDLE_TIMEOUT_MS,
						    .max_connections = MAX_CONNECTIONS};
	static const http_handlers_t handlers = {.request = on_request, .disconnected = on_disconnect};
	metrics_t *metrics = g_new0(metrics_t, 1);
	cw_status_t status = http_server_new(poller, address, &limits, &handlers, &metrics->server);

	if (status == CW_OK)
		*out = metrics;
	else
		g_free(metrics);
	return status;
}

/* Returns the bound HOST:PORT. */
const char *metrics_address(const metrics_t *metrics)
{
	return http_server_address(metrics->server);
}

/* Closes connections that have timed out; NULL is allowed. */
void metrics_tick(metrics_t *metrics, int64_t now_ms)
{
	if (metrics)
		http_server_tick(metrics->server, now_ms);
}

/* Closes the port and frees metrics; NULL is allowed. */
void metrics_close(metrics_t *metrics)
{
	if (!metrics)
		return;
	http_server_free(metrics->server);
	g_free(metrics);
}
