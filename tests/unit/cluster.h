/*
 * A cluster of control replicas, proxies and targets as separate processes.
 * Tests control them by command line and signals and check their output.
 * Settings, logs and data are in a temporary folder.
 */
#ifndef CLUSTER_H
#define CLUSTER_H

#include <glib.h>
#include <stdbool.h>

enum { CLUSTER_REPLICAS = 3 };

typedef struct cluster cluster_t;

/* Creates the folder and reserves the ports of the replicas; starts no process. */
cluster_t *cluster_new(void);
/* Returns the folder of settings, logs and data; the string is valid until cluster_free(). */
const char *cluster_folder(const cluster_t *cluster);
/* Makes cluster_free() keep the folder. */
void cluster_keep_folder(cluster_t *cluster);
/*
 * Kills and reaps every process and removes the folder.  Processes that had
 * exited with a failure are reported with the last line of their log.
 */
void cluster_free(cluster_t *cluster);
/*
 * Starts a standin_link in front of every port on which control replicas and
 * proxies receive messages, to inject network faults; the links of a proxy start
 * when it is added.  Must be called before the first replica is formatted.
 */
void cluster_use_links(cluster_t *cluster);
/* Sends a command of standin_link to the links in front of a process; targets have no links. */
void cluster_send_link_command(cluster_t *cluster, const char *process, const char *command);
/* Preloads a library of the build folder into daemons started from now on; see cluster_write_fault_file(). */
void cluster_preload(cluster_t *cluster, const char *library);
/* Writes the file from which the library preloaded into a process reads the faults to inject. */
void cluster_write_fault_file(cluster_t *cluster, const char *process, const char *text);
/* Returns a free port of the loopback address, reserved until the cluster is freed. */
int cluster_reserve_port(cluster_t *cluster);
/* Creates the data folder of replica id, 1 to CLUSTER_REPLICAS, with carawayd --format. */
void cluster_format_replica(cluster_t *cluster, int id);
/* Starts a formatted replica, also again after it has ended, on the same port and data folder. */
void cluster_start_replica(cluster_t *cluster, int id);
/* Removes the data folder of a stopped replica, as if it had lost its disk. */
void cluster_remove_data(cluster_t *cluster, int id);
/*
 * Appends a torn record of at most length bytes to each log file of a stopped
 * replica, as a loss of power during an unsynced write leaves it: the beginning
 * of the file's first record, or zeros.
 */
void cluster_append_torn_record(cluster_t *cluster, int id, size_t length, bool zeros);
/* Sets lines that the [proxy] sections of proxies started from now on have besides, each with its end of line. */
void cluster_set_proxy_settings(cluster_t *cluster, const char *lines);
/* Adds a proxy, which cluster_start_proxy() starts, and starts its target. */
void cluster_add_proxy(cluster_t *cluster, const char *name, const char *zone, const char *service);
/* Starts the target of a proxy, also again after it has ended, on the same port. */
void cluster_start_target(cluster_t *cluster, const char *proxy);
/* Returns the port on which a proxy accepts calls over HTTP. */
int cluster_http_port(const cluster_t *cluster, const char *proxy);
/* Returns the port of the target of a proxy. */
int cluster_target_port(const cluster_t *cluster, const char *proxy);
/* Returns the path of the file in which a proxy's target logs its execution ids; the caller frees it. */
char *cluster_target_journal(const cluster_t *cluster, const char *proxy);
/* Starts a proxy that cluster_add_proxy() added, also again after it has ended, on the same ports. */
void cluster_start_proxy(cluster_t *cluster, const char *name);
/* Starts a process by name: a replica "r1" to "r3", a proxy by its own name, its target as "target-PROXY". */
void cluster_start(cluster_t *cluster, const char *process);
/* Starts a process whose disk is full from the start, until cluster_limit_file_size() removes the limit. */
void cluster_start_with_full_disk(cluster_t *cluster, const char *process);
void cluster_signal(cluster_t *cluster, const char *process, int signal_number);
/* Waits until a process has ended; returns its exit status, or -1 if a signal ended it. */
int cluster_wait(cluster_t *cluster, const char *process);
/* Limits the size of files that a process writes, to simulate a full disk; bytes < 0 removes the limit. */
void cluster_limit_file_size(cluster_t *cluster, const char *process, long bytes);
/* Returns the most memory that a running process has taken, in kB. */
long cluster_peak_memory_kb(const cluster_t *cluster, const char *process);
/* Returns the number of descriptors that a running process has open. */
int cluster_open_descriptors(const cluster_t *cluster, const char *process);
/*
 * Reaps a process if it has ended and returns true, without waiting.  *status is
 * its exit status or, if a signal ended it, the negative signal number.
 */
bool cluster_reap(cluster_t *cluster, const char *process, int *status);
/* Returns whether a process was started and not yet reaped. */
bool cluster_is_running(const cluster_t *cluster, const char *process);
/* Returns the names of the proxies in a zone, "*" for all zones; the array owns the strings (char *). */
GPtrArray *cluster_proxies_in_zone(const cluster_t *cluster, const char *zone);
/* Runs carawayctl, appends its output and errors; returns its exit status, -1 if a signal ended it. */
int cluster_run_carawayctl(cluster_t *cluster, const char *const *arguments, GString *out);
/* Returns the id of the replica that reports itself as leader with the newest term; 0 if none does. */
int cluster_leader(cluster_t *cluster);
/*
 * Sends GET to a proxy; returns HTTP status, outcome and reason, as "200" or
 * "503 not-run no-config", or "no " without a response; the caller frees it.
 */
char *cluster_http_get(cluster_t *cluster, const char *proxy, const char *path);
/* The same with header lines besides, each with its end of line. */
char *cluster_http_get_with(cluster_t *cluster, const char *proxy, const char *path, const char *headers);
/* Returns the configuration versions that a proxy has logged since it was first started (uint64_t). */
GArray *cluster_logged_versions(const cluster_t *cluster, const char *proxy);
/* Returns whether a process has logged an event since it was first started. */
bool cluster_has_logged(const cluster_t *cluster, const char *process, const char *event);

#endif
