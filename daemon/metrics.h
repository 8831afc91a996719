/* Serves counters and latency histograms over HTTP in the Prometheus text format. */
#ifndef METRICS_H
#define METRICS_H

#include <glib.h>

#include "libcaraway.h"
#include "poller.h"

typedef struct metrics metrics_t;

/* Appends every counter and histogram in the Prometheus text format. */
void metrics_render(GString *out);
/* Serves /metrics at HOST:PORT, driven by the poller.  CW_ERR_IO when the port cannot be bound. */
cw_status_t metrics_open(poller_t *poller, const char *address, metrics_t **metrics);
/* Returns the bound HOST:PORT. */
const char *metrics_address(const metrics_t *metrics);
/* Closes connections that have timed out; now_ms is monotonic.  NULL is allowed. */
void metrics_tick(metrics_t *metrics, int64_t now_ms);
/* Closes the port and frees metrics; NULL is allowed. */
void metrics_close(metrics_t *metrics);

#endif
