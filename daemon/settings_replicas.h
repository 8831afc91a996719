/* The list of control replicas in a settings file. */
#ifndef SETTINGS_REPLICAS_H
#define SETTINGS_REPLICAS_H

#include "settings.h"

GArray *replica_list_new(void); /* control_replica_t */
/* Appends the control replicas, or the seeds, that a parsed settings file lists. */
cw_status_t replica_list_load(const char *file, GKeyFile *ini, GArray *replicas);
/* Returns char *, borrowed from the list. */
GPtrArray *replica_list_addresses(const GArray *replicas);
/* Returns the address of the replica with an id; NULL when the list lacks it. */
const char *replica_list_find(const GArray *replicas, uint32_t id);
/*
 * Returns the id of a replica in a mesh that lists seeds instead of ids: the IPv4
 * address of HOST or HOST:PORT as a number; 0 when it is not an IPv4 address.
 */
uint32_t replica_id_from_address(const char *address);
/* Returns whether the list holds seeds, which may be a subset of the replicas. */
bool replica_list_has_seeds(const GArray *replicas);

#endif
