/* The list of control replicas in a settings file. */
#include "settings_replicas.h"

#include <arpa/inet.h>
#include <string.h>

#include "ini.h"
#include "settings_rules.h"

#define SEEDS_KEY     "seeds"
#define SEED_PORT_KEY "seed-port"

/* Frees the address of a list element. */
static void clear_replica(void *data)
{
	control_replica_t *replica = data;

	g_free(replica->address);
}

/* Returns an empty list of control replicas. */
GArray *replica_list_new(void)
{
	GArray *replicas = g_array_new(FALSE, TRUE, sizeof(control_replica_t));

	g_array_set_clear_func(replicas, clear_replica);
	return replicas;
}

/* Returns the address of the replica with an id; NULL when the list lacks it. */
const char *replica_list_find(const GArray *replicas, uint32_t id)
{
	for (guint i = 0; i < replicas->len; i++) {
		const control_replica_t *replica = &g_array_index(replicas, control_replica_t, i);
		if (replica->id == id)
			return replica->address;
	}
	return NULL;
}

/* Returns whether a replica of the list already has this address. */
static bool has_address(const GArray *replicas, const char *address)
{
	for (guint i = 0; i < replicas->len; i++)
		if (g_strcmp0(g_array_index(replicas, control_replica_t, i).address, address) == 0)
			return true;
	return false;
}

/* Adds the replica of one entry, ID = ADDRESS. */
static cw_status_t add_replica(const char *file, GKeyFile *ini, const char *key, GArray *replicas)
{
	control_replica_t replica = {0};
	g_autofree char *value = g_key_file_get_string(ini, REPLICAS_GROUP, key, NULL);

	if (!value_parse_number(key, 1, MAX_REPLICA_ID, &replica.id) ||
	    replica_list_find(replicas, replica.id))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" REPLICAS_GROUP "] %s: give each replica its own id, from 1 to %d",
			       file, key, MAX_REPLICA_ID);
	if (!value || !value_is_address(value, 1))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" REPLICAS_GROUP
			       "] %s = \"%s\": give an IPv4 address and a port, such as 10.0.0.5:7101",
			       file, key, value ? value : "");
	if (has_address(replicas, value))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" REPLICAS_GROUP "] %s = \"%s\": another replica has this address", file,
			       key, value);
	replica.address = g_steal_pointer(&value);
	g_array_append_val(replicas, replica);
	return CW_OK;
}

/* Returns the IPv4 address of HOST or HOST:PORT as a number; 0 when HOST is not an IPv4 address. */
uint32_t replica_id_from_address(const char *address)
{
	g_autofree char *host = g_strndup(address, strcspn(address, ":"));
	struct in_addr number;

	return inet_pton(AF_INET, host, &number) == 1 ? ntohl(number.s_addr) : 0;
}

/* Returns whether the list holds seeds, whose ids are derived from their addresses. */
bool replica_list_has_seeds(const GArray *replicas)
{
	const control_replica_t *first = &g_array_index(replicas, control_replica_t, 0);

	return replicas->len && first->id == replica_id_from_address(first->address);
}

/* Adds one seed, the IPv4 address of a host on which a replica listens at the given port, unless listed. */
static cw_status_t add_seed(const char *file, const char *seed, uint32_t port, GArray *replicas)
{
	control_replica_t replica = {.id = replica_id_from_address(seed)};

	if (!replica.id)
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" REPLICAS_GROUP "] seeds: \"%s\" is not an IPv4 address", file, seed);
	if (replica_list_find(replicas, replica.id))
		return CW_OK;
	replica.address = g_strdup_printf("%.*s:%u", (int)strcspn(seed, ":"), seed, port);
	g_array_append_val(replicas, replica);
	return CW_OK;
}

/* Reads a list of seeds: replicas of the mesh through which the others are discovered. */
static cw_status_t load_seeds(const char *file, GKeyFile *ini, GArray *replicas)
{
	g_autofree char *text = g_key_file_get_string(ini, REPLICAS_GROUP, SEEDS_KEY, NULL);
	g_autofree char *port_text = g_key_file_get_string(ini, REPLICAS_GROUP, SEED_PORT_KEY, NULL);
	g_auto(GStrv) seeds = g_strsplit(text, ",", -1);
	cw_status_t status = CW_OK;
	uint32_t port;

	if (!port_text || !value_parse_number(port_text, 1, MAX_PORT, &port))
		return cw_fail(CW_ERR_SETTINGS,
			       "%s: [" REPLICAS_GROUP "] " SEED_PORT_KEY ": give a port number", file);
	for (size_t i = 0; seeds[i] && status == CW_OK; i++)
		status = add_seed(file, g_strstrip(seeds[i]), port, replicas);
	return status;
}

/* Reads the control replicas, or the seeds, of a parsed file. */
cw_status_t replica_list_load(const char *file, GKeyFile *ini, GArray *replicas)
{
	g_auto(GStrv) names = g_key_file_get_keys(ini, REPLICAS_GROUP, NULL, NULL);
	cw_status_t status = CW_OK;

	if (!names || !names[0])
		return cw_fail(CW_ERR_SETTINGS, "%s: [" REPLICAS_GROUP "] is missing; list each replica",
			       file);
	if (g_strv_contains((const char *const *)names, SEEDS_KEY))
		return load_seeds(file, ini, replicas);
	for (size_t i = 0; names[i] && status == CW_OK; i++)
		status = add_replica(file, ini, names[i], replicas);
	if (status == CW_OK && replicas->len > MAX_CONTROL_REPLICAS)
		status =
			cw_fail(CW_ERR_SETTINGS, "%s: [" REPLICAS_GROUP "] lists %u replicas; use at most %d",
				file, replicas->len, MAX_CONTROL_REPLICAS);
	return status;
}

/*
 * Reads the list of control replicas and the keys of a settings file.  The
 * caller frees *replicas with g_array_unref() and *keys with keys_free().
 */
cw_status_t settings_load_client(const char *file, GArray **replicas, keys_t **keys)
{
	g_autoptr(GKeyFile) ini = NULL;
	g_autoptr(GArray) loaded = replica_list_new();
	cw_status_t status = ini_load(file, &ini);

	if (status == CW_OK)
		status = replica_list_load(file, ini, loaded);
	if (status == CW_OK)
		status = keys_load(file, ini, keys);
	if (status == CW_OK)
		*replicas = g_steal_pointer(&loaded);
	return status;
}

/* Returns the addresses of the control replicas, borrowed from the list. */
GPtrArray *replica_list_addresses(const GArray *replicas)
{
	GPtrArray *addresses = g_ptr_array_new();

	for (guint i = 0; i < replicas->len; i++)
		g_ptr_array_add(addresses, g_array_index(replicas, control_replica_t, i).address);
	return addresses;
}
