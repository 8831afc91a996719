/*
 * A mesh of three proxies as separate processes: "a" and "b" each have a target
 * and a standin_link in front of their call port; the origin "o" has no target.
 * "a" is in the zone of "o", so "o" prefers it to "b" as long as it is usable.
 */
#ifndef MESH_H
#define MESH_H

#include "caller.h"
#include "process.h"

enum { MESH_A, MESH_B, MESH_ORIGIN, MESH_PROXIES };

typedef struct {
	process_t targets[2]; /* indexed by MESH_A and MESH_B, like links and their ports */
	int target_ports[2];
	process_t proxies[MESH_PROXIES];
	int http_ports[MESH_PROXIES];
	int call_ports[MESH_PROXIES];
	unsigned incarnations[MESH_PROXIES]; /* of the last start; the next start adds 1 */
	process_t links[2];
	int link_ports[2];
	char *folder; /* contains the view file that all proxies read */
} mesh_t;

/* Starts all processes, targets with the given arguments; waits until a call to each proxy succeeds. */
void mesh_start(mesh_t *mesh, const char *const *target_arguments);
/* Kills all processes and removes the folder. */
void mesh_stop(mesh_t *mesh);
/* Starts or restarts a proxy with a new incarnation; a restart reuses its ports.  Updates the view file. */
void mesh_start_proxy(mesh_t *mesh, int proxy);
/* Starts or restarts a target; a restart reuses its port. */
void mesh_start_target(mesh_t *mesh, int target, const char *const *arguments);
/* Returns how often a target ran the request with this id. */
int mesh_executions_at(const mesh_t *mesh, int target, const char *id);
/* Returns how often both targets together ran the request with this id. */
int mesh_executions(const mesh_t *mesh, const char *id);
/* Waits until a target has started to run the request with this id; fails the test at the timeout. */
void mesh_wait_executed(const mesh_t *mesh, int target, const char *id);
/* Repeats calls through a proxy until one succeeds; fails the test at the timeout. */
void mesh_wait_call_succeeds(const mesh_t *mesh, int proxy);
/* Repeats calls to the proxy of a target until that target runs one; fails the test at the timeout. */
void mesh_wait_target_used(const mesh_t *mesh, int target);
/* Changes a setting of a target, given as NAME=VALUE; see standin_target. */
void mesh_change_target_setting(const mesh_t *mesh, int target, const char *setting);

#endif
