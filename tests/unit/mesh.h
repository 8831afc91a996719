/*
 * A small mesh of real processes: two targets, the proxies "a" and "b" beside
 * them, a link before each, and a proxy "o" without a target for callers.  The
 * zone of "a" is that of "o", so that "o" sends to "a" while it can.
 */
#ifndef MESH_H
#define MESH_H

#include "caller.h"
#include "process.h"

enum { MESH_A, MESH_B, MESH_O, MESH_PROXIES };

typedef struct {
	process_t targets[2];
	int target_ports[2];
	process_t proxies[MESH_PROXIES];
	int http_ports[MESH_PROXIES];
	int call_ports[MESH_PROXIES];
	unsigned incarnations[MESH_PROXIES];
	process_t links[2];
	int link_ports[2];
	char *folder; /* of the view */
} mesh_t;

/* Starts everything and waits until a call through "o" succeeds; arguments are those of the targets. */
void mesh_start(mesh_t *mesh, const char *const *target_arguments);
void mesh_stop(mesh_t *mesh);
/* Starts a proxy, again on the ports it had, under a new incarnation, and publishes it. */
void mesh_start_proxy(mesh_t *mesh, int proxy);
void mesh_start_target(mesh_t *mesh, int target, const char *const *arguments);
/* How often a request id ran, on one target and on both. */
int mesh_ran_at(const mesh_t *mesh, int target, const char *id);
int mesh_ran(const mesh_t *mesh, const char *id);
/* Waits until a request id has run on a target. */
void mesh_wait_ran_at(const mesh_t *mesh, int target, const char *id);
/* Waits until a call through a proxy is answered by a target. */
void mesh_wait_served(const mesh_t *mesh, int proxy);
/* Waits until a target runs a call that came through the proxy beside it. */
void mesh_wait_used(const mesh_t *mesh, int target);
void mesh_set(const mesh_t *mesh, int target, const char *setting);

#endif
