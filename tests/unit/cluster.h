/*
 * Control replicas and proxies as real processes in a folder of their own,
 * driven through their command lines and judged by what they print.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include <glib.h>
#include <stdbool.h>

enum { CLUSTER_REPLICAS = 3 };

typedef struct cluster cluster_t;

cluster_t *cluster_new(void);
/* Returns the folder of settings, logs and data; it lasts as long as the cluster. */
const char *cluster_folder(const cluster_t *cluster);
/* Leaves the folder when the cluster is freed. */
void cluster_keep_folder(cluster_t *cluster);
/* Kills every process and removes the folder. */
void cluster_free(cluster_t *cluster);
/* Puts a link before every port of control replicas and proxies; called before anything is formatted. */
void cluster_use_links(cluster_t *cluster);
/* Gives a command to the links before a process, see standin_link; a target has none. */
void cluster_command_links(cluster_t *cluster, const char *process, const char *command);
/* Preloads a library of the build folder into the daemons; see cluster_misbehave(). */
void cluster_preload(cluster_t *cluster, const char *library);
/* Writes the file that tells the preloaded library of a process what to do. */
void cluster_misbehave(cluster_t *cluster, const char *process, const char *text);
/* Returns a port of the loopback address that nothing else is given while the cluster lasts. */
int cluster_reserve_port(cluster_t *cluster);
void cluster_format_replica(cluster_t *cluster, int id);
void cluster_start_replica(cluster_t *cluster, int id);
void cluster_remove_data(cluster_t *cluster, int id);
/* Appends a torn record to the log of a stopped replica, as a write that was never synced leaves it. */
void cluster_tear_log(cluster_t *cluster, int id, size_t length, bool zeros);
/* Adds a proxy and starts the target beside it; start the proxy to run it. */
void cluster_add_proxy(cluster_t *cluster, const char *name, const char *zone, const char *service);
void cluster_start_target(cluster_t *cluster, const char *proxy);
int cluster_http_port(const cluster_t *cluster, const char *proxy);
int cluster_target_port(const cluster_t *cluster, const char *proxy);
/* Returns the file that the target of a proxy appends the ids of its executions to; the caller frees it. */
char *cluster_target_journal(const cluster_t *cluster, const char *proxy);
void cluster_start_proxy(cluster_t *cluster, const char *name);
/* Names of the processes: "r1" and so on, the names of the proxies, and "target-" with these. */
void cluster_start(cluster_t *cluster, const char *process);
void cluster_signal(cluster_t *cluster, const char *process, int number);
/* Waits until a process has ended; returns its exit status, or -1 when a signal ended it. */
int cluster_wait(cluster_t *cluster, const char *process);
/* Limits the size of the files that a process writes, as a full disk does; bytes < 0: no longer. */
void cluster_limit_files(cluster_t *cluster, const char *process, long bytes);
/* Takes the end of a process when it has ended by itself; *status is its exit status, or the signal below 0. */
bool cluster_ended(cluster_t *cluster, const char *process, int *status);
bool cluster_runs(const cluster_t *cluster, const char *process);
GPtrArray *cluster_proxies_in(const cluster_t *cluster, const char *zone); /* char *, owned */
/* Runs the operators' tool; returns its exit status and appends what it printed. */
int cluster_ctl(cluster_t *cluster, const char *const *arguments, GString *out);
/* Returns the replica that says it leads with the newest term, or 0. */
int cluster_leader(cluster_t *cluster);
/* Returns the status and reason of a GET through a proxy, as "200" or "503 not-run no-config". */
char *cluster_get(cluster_t *cluster, const char *proxy, const char *path);
/* Returns the versions that a proxy logged, over all of its starts. */
GArray *cluster_versions(const cluster_t *cluster, const char *proxy); /* uint64_t */

#endif
